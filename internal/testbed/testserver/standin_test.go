package testserver

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"indigospool/internal/config"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/trafficlog"
)

// Any part of a key's content equals the same part of the whole, and Matches tells it from the
// content of another version.
func TestContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key, v := rapid.String().Draw(t, "key"), rapid.Int64Range(1, 9).Draw(t, "version")
		whole := make([]byte, 200)
		Content(whole, key, v, 0)
		off := rapid.IntRange(0, 150).Draw(t, "off")
		part := make([]byte, rapid.IntRange(8, 50).Draw(t, "len"))
		Content(part, key, v, int64(off))
		if string(part) != string(whole[off:off+len(part)]) {
			t.Fatal("a part differs from the whole")
		}
		if _, ok := Matches(part, key, v, int64(off)); !ok {
			t.Fatal("a part does not match its own version")
		}
		if _, ok := Matches(part, key, v+1, int64(off)); ok {
			t.Fatal("a part matches another version")
		}
		part[3] ^= 1
		if at, ok := Matches(part, key, v, int64(off)); ok || at != int64(off)+3 {
			t.Fatalf("a wrong byte at %d is reported at %d", off+3, at)
		}
	})
}

func TestSizes(t *testing.T) {
	sum := 0.0
	for i := range 4000 {
		sum += float64(SizeOf(fmt.Sprint("k", i), 60)) / 1024
	}
	if mean := sum / 4000; math.Abs(mean-60) > 3 {
		t.Errorf("the mean size is %.1f KB, want 60", mean)
	}
}

func get(t *testing.T, addr, path string, a fetchheader.Attempt) (int, http.Header, string) {
	req, _ := http.NewRequest("GET", "http://"+addr+path, nil)
	req.Header.Set(fetchheader.FillField, string(a.Append(nil)))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return res.StatusCode, res.Header, string(b)
}

// A cache follows docs/protocol.md for lookups, fills, maximum ages and purges.
func TestCacheFollowsProtocol(t *testing.T) {
	classes := []Class{{Name: "c", KB: 10}}
	o, err := Start(Config{ID: "o", Role: "origin", Flow: 100, Classes: classes}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Kill()
	b, err := Start(Config{ID: "b", Role: "box", Flow: 100, Classes: classes, MaxFills: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	lookup := fetchheader.Attempt{ID: "r", From: "t", Class: "c", Object: "/x", Group: 1, Keep: 1, Age: 1e9}
	fill := lookup
	fill.Source, fill.SourceAddress = "o", o.Addr()
	if code, h, _ := get(t, b.Addr(), "/x", lookup); code != 504 || !strings.Contains(h.Get("Cache-Status"), "fwd=miss") {
		t.Errorf("lookup of a missing object: status %d, header %v; want 504 and fwd=miss", code, h)
	}
	if code, h, _ := get(t, b.Addr(), "/x", fill); code != 200 || h.Get("Cache-Status") != `"o", "b";fwd=miss;stored` {
		t.Errorf("fill: status %d, header %v; want 200 and a miss that is stored, from o by b", code, h)
	}
	time.Sleep(20 * time.Millisecond)
	if code, h, _ := get(t, b.Addr(), "/x", lookup); code != 200 || !strings.Contains(h.Get("Cache-Status"), "hit") {
		t.Errorf("lookup of a cached object: status %d, header %v; want 200 and a hit", code, h)
	}
	recent := lookup
	recent.Age = 1
	if code, _, _ := get(t, b.Addr(), "/x", recent); code != 504 {
		t.Errorf("lookup of a copy that is too old: status %d, want 504", code)
	}
	o.Purge("/x", 1, 0)
	recent = fill
	recent.Age = 10
	if _, h, body := get(t, b.Addr(), "/x", recent); !strings.HasPrefix(h.Get("Spool-Copy"), "v=2,") {
		t.Errorf("fill after the purge: header %v, want a copy of version 2", h)
	} else if _, ok := Matches([]byte(body), "/x", 2, 0); !ok {
		t.Error("fill after the purge: the body is not that of the new version")
	}
	unreachable := fill
	unreachable.SourceAddress = "127.0.0.1:1"
	if code, h, _ := get(t, b.Addr(), "/y", unreachable); code != 503 || !strings.Contains(h.Get("Cache-Status"), "detail=source-unreached") {
		t.Errorf("fill from an unreachable source: status %d, header %v; want 503 and detail=source-unreached", code, h)
	}
	if code, _, body := get(t, b.Addr(), "/y", fetchheader.Attempt{ID: "r", Keep: 9}); code != 400 {
		t.Errorf("malformed attempt: status %d, body %q; want 400", code, body)
	}
}

// A cold cache that is overloaded for too long fails and stops answering.
func TestOverloadedCacheStopsAnswering(t *testing.T) {
	w := trafficlog.NewWriter(nil)
	b, err := Start(Config{ID: "b", Role: "box", Cold: true, Capacity: 1, WarmUpInitialShare: 0.2, WarmUpTime: 60000, OverloadFactor: 2, OverloadTime: 1000,
		Flow: 1, Classes: []Class{{Name: "c", KB: 100}}}, w)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	lookup := fetchheader.Attempt{ID: "r", Class: "c", Object: "/x", Age: 1e9}
	for i := range 8 { // 100 ms of work each; more than 400 ms is too much
		code, _, body := get(t, b.Addr(), "/x", lookup)
		if want := i < 4; (code == 504) != want {
			t.Fatalf("attempt %d: status %d, body %q; want status 504: %v", i, code, body, want)
		}
	}
}

func TestFaultValidation(t *testing.T) {
	f := newFaults(1)
	for _, x := range []Fault{{Kind: "sulk"}, {Kind: Hang, For: -1}, {Kind: Slow, Share: 2}} {
		if f.set(0, x) == nil {
			t.Errorf("fault %+v was accepted, want an error", x)
		}
	}
}

func TestFleetFile(t *testing.T) {
	var f Fleet
	err := config.Read("f.edn", `(machine a (role parent)) (machine a) (list (lag-from 9))`, &f)
	if err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("want three errors, got:\n%v", err)
	}
	if err := config.Read("f.edn", `(machine a (capacity 3)) (class c (kb 5))`, &f); err != nil {
		t.Fatal(err)
	}
	if c, err := f.Config("a"); err != nil || c.Capacity != 3 || c.Classes[0].KB != 5 {
		t.Errorf("configuration of machine a is %+v, error %v; want capacity 3 and a class of 5 KB", c, err)
	}
	if _, err := f.Config("b"); err == nil {
		t.Error("an unknown machine was accepted")
	}
}

// Pieces parses an assembled page, with or without its optional fragments, and rejects pages with
// damaged, repeated, reordered or missing pieces.
func TestPieces(t *testing.T) {
	key := "/page/1/" + PageName("o3", 3, 1000000, "thumb")
	list := Includes(key)
	if len(list) != 3 || !isPage(key) || !isText(list[0]) || isPage(list[0]) || isText("/a/1/o~b") || SizeOf(key, 9) != int64(len(text(key, 7))) {
		t.Fatalf("fragments %v: want 3, none of them a page, and a size that depends only on the key", list)
	}
	page := func(fragments ...string) []byte {
		return []byte("[" + key + " v0000000004 " + strings.Join(fragments, "") + "]")
	}
	a, b, c := string(text(list[0], 2)), string(text(list[1], 31)), string(text(list[2], 1))
	got, err := Pieces(key, page(a, b, c))
	if err != nil || len(got) != 4 || got[0].Version != 4 || got[2].Version != 31 || got[3].End != len(page(a, b, c))-1 {
		t.Fatalf("all fragments: pieces %+v, error %v; want versions 4 of the page and 31 of the second fragment", got, err)
	}
	if got, err = Pieces(key, page(a, c)); err != nil || !got[2].Missing || got[3].Version != 1 {
		t.Errorf("without the second fragment: pieces %+v, error %v; want it missing and version 1 of the third", got, err)
	}
	for what, body := range map[string][]byte{"repeated fragment": page(a, a, b, c), "out of order": page(b, a, c), "the first is missing": page(b, c), "incomplete fragment": page(a, b[:40], c),
		"two versions in a fragment": page(a, string(text(list[1], 31)[:60])+string(text(list[1], 32)[60:]), c), "truncated page": page(a, b, c)[:80], "empty": nil, "data after the page": append(page(a, b, c), 'x')} {
		if _, err := Pieces(key, body); err == nil {
			t.Errorf("%s: page was accepted, want an error", what)
		}
	}
}

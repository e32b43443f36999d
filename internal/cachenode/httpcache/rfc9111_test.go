package httpcache

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var wall = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// head is fields, "Name: value" each.
func head(lines ...string) http.Header {
	h := http.Header{}
	for _, l := range lines {
		name, value, _ := strings.Cut(l, ": ")
		h.Add(name, value)
	}
	return h
}

func got(lines ...string) *Answer {
	return &Answer{Status: 200, Head: head(lines...), Asked: 1000, Came: 1100, Wall: wall}
}

func TestStorable(t *testing.T) {
	for _, k := range []struct {
		ask  []string
		res  []string
		code int
		want string
	}{
		{res: []string{"Cache-Control: max-age=5"}},
		{},
		{res: []string{"Cache-Control: no-store"}, want: "no-store"},
		{res: []string{"Cache-Control: private, max-age=5"}, want: "private"},
		{ask: []string{"Cache-Control: no-store"}, want: "no-store"},
		{res: []string{"Set-Cookie: a=b", "Cache-Control: max-age=5"}, want: "cookie"},
		{res: []string{"Set-Cookie: a=b", "Cache-Control: public, max-age=5"}},
		{ask: []string{"Authorization: x"}, res: []string{"Cache-Control: max-age=5"}, want: "Authorization"},
		{ask: []string{"Authorization: x"}, res: []string{"Cache-Control: s-maxage=5"}},
		{res: []string{"Vary: Accept, *"}, want: "Vary"},
		{code: 206, res: []string{"Cache-Control: max-age=5"}, want: "206"},
		{code: 302, want: "302"},
		{code: 302, res: []string{"Cache-Control: max-age=5"}},
		{code: 404},
		{res: []string{"Cache-Control: max-age=x"}, want: "malformed"},
	} {
		a := got(k.res...)
		if k.code != 0 {
			a.Status = k.code
		}
		why, ok := Storable(Asking{"GET", head(k.ask...)}, a)
		if ok != (k.want == "") || !strings.Contains(why, k.want) {
			t.Errorf("%v, %d %v: %v %q", k.ask, a.Status, k.res, ok, why)
		}
	}
	if _, ok := Storable(Asking{"POST", nil}, got("Cache-Control: max-age=5")); ok {
		t.Error("the answer to a POST is kept")
	}
}

func TestDecide(t *testing.T) {
	for _, k := range []struct {
		name string
		res  []string
		ask  []string
		at   float64 // s after it came
		want Use
	}{
		{"fresh", []string{"Cache-Control: max-age=10"}, nil, 9, Serve},
		{"its own time counts", []string{"Cache-Control: max-age=10"}, nil, 9.95, Revalidate},
		{"Age counts", []string{"Cache-Control: max-age=10", "Age: 5"}, nil, 6, Revalidate},
		{"s-maxage goes before", []string{"Cache-Control: max-age=100, s-maxage=1"}, nil, 2, Revalidate},
		{"max-age goes before Expires", []string{"Cache-Control: max-age=100", "Expires: 0"}, nil, 50, Serve},
		{"Expires by Date", []string{"Date: Tue, 01 Dec 2026 12:00:00 GMT", "Expires: Tue, 01 Dec 2026 12:01:00 GMT"}, nil, 59, Serve},
		{"Expires that is none", []string{"Expires: 0"}, nil, 0, Revalidate},
		{"a Date that is long past", []string{"Date: Tue, 01 Dec 2026 11:00:00 GMT", "Cache-Control: max-age=600"}, nil, 0, Revalidate},
		{"a tenth since it was changed", []string{"Last-Modified: Tue, 01 Dec 2026 11:00:00 GMT"}, nil, 300, Serve},
		{"and no more", []string{"Last-Modified: Tue, 01 Dec 2026 11:00:00 GMT"}, nil, 400, Revalidate},
		{"nothing is said", nil, nil, 1, Revalidate},
		{"no-cache", []string{"Cache-Control: no-cache, max-age=10"}, nil, 1, Revalidate},
		{"the asker's no-cache", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: no-cache"}, 1, Revalidate},
		{"Pragma", []string{"Cache-Control: max-age=10"}, []string{"Pragma: no-cache"}, 1, Revalidate},
		{"Pragma beside Cache-Control", []string{"Cache-Control: max-age=10"}, []string{"Pragma: no-cache", "Cache-Control: max-age=5"}, 1, Serve},
		{"the asker's max-age", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-age=2"}, 3, Revalidate},
		{"min-fresh", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: min-fresh=5"}, 6, Revalidate},
		{"max-stale", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-stale=5"}, 14, Serve},
		{"past max-stale", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-stale=5"}, 16, Revalidate},
		{"any max-stale", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-stale"}, 1e6, Serve},
		{"must-revalidate goes before it", []string{"Cache-Control: max-age=10, must-revalidate"}, []string{"Cache-Control: max-stale"}, 16, Revalidate},
		{"only-if-cached, fresh", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: only-if-cached"}, 1, Serve},
		{"only-if-cached, stale", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: only-if-cached"}, 11, Unsatisfied},
		{"stale-while-revalidate", []string{"Cache-Control: max-age=10, stale-while-revalidate=5"}, nil, 14, ServeRenew},
		{"past it", []string{"Cache-Control: max-age=10, stale-while-revalidate=5"}, nil, 16, Revalidate},
		{"not for s-maxage", []string{"Cache-Control: s-maxage=10, stale-while-revalidate=5"}, nil, 14, Revalidate},
	} {
		if u := Decide(1100+k.at*1000, got(k.res...), Asking{"GET", head(k.ask...)}, 0); u != k.want {
			t.Errorf("%s: %d, want %d", k.name, u, k.want)
		}
	}
	if Decide(0, nil, Asking{"GET", head()}, 0) != Fetch || Decide(0, nil, Asking{"GET", head("Cache-Control: only-if-cached")}, 0) != Unsatisfied {
		t.Error("nothing is held")
	}
	if Decide(1200, got("Cache-Control: max-age=9"), Asking{"POST", head()}, 0) != Fetch {
		t.Error("a POST is answered from a copy")
	}
	if Decide(16_000, got("Cache-Control: max-age=10"), Asking{"GET", head()}, 6000) != ServeRenew {
		t.Error("the default for what is served while it is renewed")
	}
	if !OnError(20_000, got("Cache-Control: max-age=10, stale-if-error=60"), 0) || OnError(80_000, got("Cache-Control: max-age=10, stale-if-error=60"), 0) ||
		OnError(20_000, got("Cache-Control: max-age=10, must-revalidate, stale-if-error=60"), 1e9) {
		t.Error("stale-if-error")
	}
}

// A copy never gets younger, whatever its head says and however time goes on; and what
// is served without a question is fresh by its own word, or was allowed to be stale.
func TestAgeGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := got()
		if rapid.Bool().Draw(t, "date") {
			a.Head.Set("Date", wall.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "off"))*time.Second).Format(http.TimeFormat))
		}
		if rapid.Bool().Draw(t, "age") {
			a.Head.Set("Age", rapid.SampledFrom([]string{"0", "7", "-3", "x", "99999999999"}).Draw(t, "text"))
		}
		a.Head.Set("Cache-Control", "max-age="+rapid.SampledFrom([]string{"0", "5", "50"}).Draw(t, "life"))
		at := 1100 + rapid.Float64Range(0, 1e5).Draw(t, "at")
		later := at + rapid.Float64Range(0, 1e5).Draw(t, "later")
		if Age(a, later) < Age(a, at) || Age(a, at) < at-a.Asked-1e-6 {
			t.Fatalf("age %v and then %v, asked for %v ago", Age(a, at), Age(a, later), at-a.Asked)
		}
		if Decide(at, a, Asking{"GET", head()}, 0) == Serve && Age(a, at) >= Lifetime(a) {
			t.Fatal("served stale")
		}
		if Decide(at, a, Asking{"GET", head()}, 0) != Serve && Decide(later, a, Asking{"GET", head()}, 0) == Serve {
			t.Fatal("fresh again by time alone")
		}
	})
}

func TestVariants(t *testing.T) {
	same := func(vary string, a, b []string) bool { return Variant(vary, head(a...)) == Variant(vary, head(b...)) }
	if !same("Accept-Encoding", []string{"Accept-Encoding: gzip, br"}, []string{"Accept-Encoding: gzip,BR", "X: 1"}) ||
		same("Accept-Encoding, X", []string{"Accept-Encoding: gzip", "X: 1"}, []string{"Accept-Encoding: gzip"}) ||
		!same("x , accept-encoding, X", []string{"X: 1"}, []string{"X: 1"}) || Variant("", head("X: 1")) != "" ||
		same("X, Y", []string{"X: 1\x00Y=2"}, []string{"X: 1", "Y: 2"}) {
		t.Error("variants")
	}
}

func TestRenewed(t *testing.T) {
	a := got("Etag: \"1\"", "Content-Length: 10", "Cache-Control: max-age=1", "X-Old: 1", "Last-Modified: Tue, 01 Dec 2026 11:00:00 GMT")
	if c := Conditions(a); c.Get("If-None-Match") != `"1"` || c.Get("If-Modified-Since") == "" {
		t.Error(c)
	}
	n := Renewed(a, &Answer{Status: 304, Head: head("Etag: \"1\"", "Cache-Control: max-age=60", "Content-Length: 0"), Asked: 50_000, Came: 50_010, Wall: wall})
	if n.Status != 200 || n.Head.Get("Content-Length") != "10" || n.Head.Get("X-Old") != "1" || Decide(60_000, n, Asking{"GET", head()}, 0) != Serve || a.Head.Get("Cache-Control") != "max-age=1" {
		t.Error(n)
	}
	if !NotModified(a, head(`If-None-Match: W/"1"`)) || NotModified(a, head(`If-None-Match: "2"`, "If-Modified-Since: Tue, 01 Dec 2026 11:00:00 GMT")) ||
		!NotModified(a, head("If-Modified-Since: Tue, 01 Dec 2026 11:00:00 GMT")) || NotModified(a, head()) {
		t.Error("conditions")
	}
}

func TestRanged(t *testing.T) {
	a := got(`Etag: "1"`)
	for _, k := range []struct {
		r           string
		more        string
		status      int
		first, last int64
	}{
		{"bytes=0-9", "", 206, 0, 9}, {"bytes=90-200", "", 206, 90, 99}, {"bytes=-10", "", 206, 90, 99}, {"bytes=-1000", "", 206, 0, 99},
		{"bytes=50-", "", 206, 50, 99}, {"bytes=100-", "", 416, 0, 0}, {"bytes=-0", "", 416, 0, 0}, {"bytes=9-3", "", 200, 0, 99},
		{"bytes=0-1,4-5", "", 200, 0, 99}, {"items=0-1", "", 200, 0, 99}, {"bytes=a-b", "", 200, 0, 99}, {"bytes=--5", "", 200, 0, 99},
		{"bytes=0-9", `If-Range: "1"`, 206, 0, 9}, {"bytes=0-9", `If-Range: "2"`, 200, 0, 99}, {"bytes=0-9", `If-Range: W/"1"`, 200, 0, 99},
	} {
		h := head("Range: " + k.r)
		if k.more != "" {
			name, value, _ := strings.Cut(k.more, ": ")
			h.Set(name, value)
		}
		if status, first, last := Ranged(a, h, 100); status != k.status || first != k.first || last != k.last {
			t.Errorf("%s %s: %d %d-%d", k.r, k.more, status, first, last)
		}
	}
}

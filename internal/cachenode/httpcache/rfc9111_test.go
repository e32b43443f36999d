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

func response(lines ...string) *Response {
	return &Response{Status: 200, Header: head(lines...), RequestTime: 1000, ResponseTime: 1100, WallTime: wall}
}

func TestStorable(t *testing.T) {
	for _, c := range []struct {
		request  []string
		response []string
		status   int
		want     string
	}{
		{response: []string{"Cache-Control: max-age=5"}},
		{},
		{response: []string{"Cache-Control: no-store"}, want: "no-store"},
		{response: []string{"Cache-Control: private, max-age=5"}, want: "private"},
		{request: []string{"Cache-Control: no-store"}, want: "no-store"},
		{response: []string{"Set-Cookie: a=b", "Cache-Control: max-age=5"}, want: "cookie"},
		{response: []string{"Set-Cookie: a=b", "Cache-Control: public, max-age=5"}},
		{request: []string{"Authorization: x"}, response: []string{"Cache-Control: max-age=5"}, want: "Authorization"},
		{request: []string{"Authorization: x"}, response: []string{"Cache-Control: s-maxage=5"}},
		{response: []string{"Vary: Accept, *"}, want: "Vary"},
		{status: 206, response: []string{"Cache-Control: max-age=5"}, want: "206"},
		{status: 302, want: "302"},
		{status: 302, response: []string{"Cache-Control: max-age=5"}},
		{status: 404},
		{response: []string{"Cache-Control: max-age=x"}, want: "malformed"},
	} {
		stored := response(c.response...)
		if c.status != 0 {
			stored.Status = c.status
		}
		why, ok := Storable(Request{"GET", head(c.request...)}, stored)
		if ok != (c.want == "") || !strings.Contains(why, c.want) {
			t.Errorf("%v, %d %v: %v %q", c.request, stored.Status, c.response, ok, why)
		}
	}
	if _, ok := Storable(Request{"POST", nil}, response("Cache-Control: max-age=5")); ok {
		t.Error("the answer to a POST is kept")
	}
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name     string
		response []string
		request  []string
		at       float64 // s after it came
		want     Use
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
		{"stale-while-revalidate", []string{"Cache-Control: max-age=10, stale-while-revalidate=5"}, nil, 14, ServeAndRevalidate},
		{"past it", []string{"Cache-Control: max-age=10, stale-while-revalidate=5"}, nil, 16, Revalidate},
		{"not for s-maxage", []string{"Cache-Control: s-maxage=10, stale-while-revalidate=5"}, nil, 14, Revalidate},
	} {
		if u := Decide(1100+c.at*1000, response(c.response...), Request{"GET", head(c.request...)}, 0); u != c.want {
			t.Errorf("%s: %d, want %d", c.name, u, c.want)
		}
	}
	if Decide(0, nil, Request{"GET", head()}, 0) != Fetch || Decide(0, nil, Request{"GET", head("Cache-Control: only-if-cached")}, 0) != Unsatisfied {
		t.Error("nothing is held")
	}
	if Decide(1200, response("Cache-Control: max-age=9"), Request{"POST", head()}, 0) != Fetch {
		t.Error("a POST is answered from a copy")
	}
	if Decide(16_000, response("Cache-Control: max-age=10"), Request{"GET", head()}, 6000) != ServeAndRevalidate {
		t.Error("the default for what is served while it is renewed")
	}
	if !ServableOnError(20_000, response("Cache-Control: max-age=10, stale-if-error=60"), 0) || ServableOnError(80_000, response("Cache-Control: max-age=10, stale-if-error=60"), 0) ||
		ServableOnError(20_000, response("Cache-Control: max-age=10, must-revalidate, stale-if-error=60"), 1e9) {
		t.Error("stale-if-error")
	}
}

// A copy never gets younger, whatever its head says and however time goes on; and what
// is served without a question is fresh by its own word, or was allowed to be stale.
func TestAgeGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := response()
		if rapid.Bool().Draw(t, "date") {
			stored.Header.Set("Date", wall.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "off"))*time.Second).Format(http.TimeFormat))
		}
		if rapid.Bool().Draw(t, "age") {
			stored.Header.Set("Age", rapid.SampledFrom([]string{"0", "7", "-3", "x", "99999999999"}).Draw(t, "text"))
		}
		stored.Header.Set("Cache-Control", "max-age="+rapid.SampledFrom([]string{"0", "5", "50"}).Draw(t, "life"))
		at := 1100 + rapid.Float64Range(0, 1e5).Draw(t, "at")
		later := at + rapid.Float64Range(0, 1e5).Draw(t, "later")
		if Age(stored, later) < Age(stored, at) || Age(stored, at) < at-stored.RequestTime-1e-6 {
			t.Fatalf("age %v and then %v, asked for %v ago", Age(stored, at), Age(stored, later), at-stored.RequestTime)
		}
		if Decide(at, stored, Request{"GET", head()}, 0) == Serve && Age(stored, at) >= Lifetime(stored) {
			t.Fatal("served stale")
		}
		if Decide(at, stored, Request{"GET", head()}, 0) != Serve && Decide(later, stored, Request{"GET", head()}, 0) == Serve {
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

func TestFreshened(t *testing.T) {
	stored := response("Etag: \"1\"", "Content-Length: 10", "Cache-Control: max-age=1", "X-Old: 1", "Last-Modified: Tue, 01 Dec 2026 11:00:00 GMT")
	if c := ConditionalFields(stored); c.Get("If-None-Match") != `"1"` || c.Get("If-Modified-Since") == "" {
		t.Error(c)
	}
	freshened := Freshened(stored, &Response{Status: 304, Header: head("Etag: \"1\"", "Cache-Control: max-age=60", "Content-Length: 0"), RequestTime: 50_000, ResponseTime: 50_010, WallTime: wall})
	if freshened.Status != 200 || freshened.Header.Get("Content-Length") != "10" || freshened.Header.Get("X-Old") != "1" || Decide(60_000, freshened, Request{"GET", head()}, 0) != Serve || stored.Header.Get("Cache-Control") != "max-age=1" {
		t.Error(freshened)
	}
	if !NotModified(stored, head(`If-None-Match: W/"1"`)) || NotModified(stored, head(`If-None-Match: "2"`, "If-Modified-Since: Tue, 01 Dec 2026 11:00:00 GMT")) ||
		!NotModified(stored, head("If-Modified-Since: Tue, 01 Dec 2026 11:00:00 GMT")) || NotModified(stored, head()) {
		t.Error("conditions")
	}
}

func TestRanged(t *testing.T) {
	stored := response(`Etag: "1"`)
	for _, c := range []struct {
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
		h := head("Range: " + c.r)
		if c.more != "" {
			name, value, _ := strings.Cut(c.more, ": ")
			h.Set(name, value)
		}
		if status, first, last := SelectRange(stored, h, 100); status != c.status || first != c.first || last != c.last {
			t.Errorf("%s %s: %d %d-%d", c.r, c.more, status, first, last)
		}
	}
}

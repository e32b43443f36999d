package httpcache

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var wall = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// head builds a header from lines of the form "Name: value".
func head(lines ...string) http.Header {
	h := http.Header{}
	for _, line := range lines {
		name, value, _ := strings.Cut(line, ": ")
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
		reason, ok := Storable(Request{"GET", head(c.request...)}, stored)
		if ok != (c.want == "") || !strings.Contains(reason, c.want) {
			t.Errorf("request %v, response %d %v: storable %v, reason %q; want the reason %q (empty: storable)", c.request, stored.Status, c.response, ok, reason, c.want)
		}
	}
	if _, ok := Storable(Request{"POST", nil}, response("Cache-Control: max-age=5")); ok {
		t.Error("the response to a POST is storable")
	}
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name     string
		response []string
		request  []string
		at       float64 // seconds after the response was received
		want     Use
	}{
		{"fresh", []string{"Cache-Control: max-age=10"}, nil, 9, Serve},
		{"response delay counts", []string{"Cache-Control: max-age=10"}, nil, 9.95, Revalidate},
		{"Age counts", []string{"Cache-Control: max-age=10", "Age: 5"}, nil, 6, Revalidate},
		{"s-maxage overrides max-age", []string{"Cache-Control: max-age=100, s-maxage=1"}, nil, 2, Revalidate},
		{"max-age overrides Expires", []string{"Cache-Control: max-age=100", "Expires: 0"}, nil, 50, Serve},
		{"Expires relative to Date", []string{"Date: Tue, 01 Dec 2026 12:00:00 GMT", "Expires: Tue, 01 Dec 2026 12:01:00 GMT"}, nil, 59, Serve},
		{"invalid Expires", []string{"Expires: 0"}, nil, 0, Revalidate},
		{"Date an hour ago", []string{"Date: Tue, 01 Dec 2026 11:00:00 GMT", "Cache-Control: max-age=600"}, nil, 0, Revalidate},
		{"heuristic lifetime", []string{"Last-Modified: Tue, 01 Dec 2026 11:00:00 GMT"}, nil, 300, Serve},
		{"past the heuristic lifetime", []string{"Last-Modified: Tue, 01 Dec 2026 11:00:00 GMT"}, nil, 400, Revalidate},
		{"no freshness information", nil, nil, 1, Revalidate},
		{"no-cache", []string{"Cache-Control: no-cache, max-age=10"}, nil, 1, Revalidate},
		{"request no-cache", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: no-cache"}, 1, Revalidate},
		{"Pragma", []string{"Cache-Control: max-age=10"}, []string{"Pragma: no-cache"}, 1, Revalidate},
		{"Pragma ignored with Cache-Control", []string{"Cache-Control: max-age=10"}, []string{"Pragma: no-cache", "Cache-Control: max-age=5"}, 1, Serve},
		{"request max-age", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-age=2"}, 3, Revalidate},
		{"min-fresh", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: min-fresh=5"}, 6, Revalidate},
		{"max-stale", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-stale=5"}, 14, Serve},
		{"past max-stale", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-stale=5"}, 16, Revalidate},
		{"max-stale without a value", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: max-stale"}, 1e6, Serve},
		{"must-revalidate overrides max-stale", []string{"Cache-Control: max-age=10, must-revalidate"}, []string{"Cache-Control: max-stale"}, 16, Revalidate},
		{"only-if-cached, fresh", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: only-if-cached"}, 1, Serve},
		{"only-if-cached, stale", []string{"Cache-Control: max-age=10"}, []string{"Cache-Control: only-if-cached"}, 11, Unsatisfied},
		{"stale-while-revalidate", []string{"Cache-Control: max-age=10, stale-while-revalidate=5"}, nil, 14, ServeAndRevalidate},
		{"past stale-while-revalidate", []string{"Cache-Control: max-age=10, stale-while-revalidate=5"}, nil, 16, Revalidate},
		{"s-maxage overrides stale-while-revalidate", []string{"Cache-Control: s-maxage=10, stale-while-revalidate=5"}, nil, 14, Revalidate},
	} {
		if u := Decide(1100+c.at*1000, response(c.response...), Request{"GET", head(c.request...)}, 0); u != c.want {
			t.Errorf("%s: use %d, want %d", c.name, u, c.want)
		}
	}
	if Decide(0, nil, Request{"GET", head()}, 0) != Fetch || Decide(0, nil, Request{"GET", head("Cache-Control: only-if-cached")}, 0) != Unsatisfied {
		t.Error("wrong use without a stored response")
	}
	if Decide(1200, response("Cache-Control: max-age=9"), Request{"POST", head()}, 0) != Fetch {
		t.Error("a POST is answered from a stored response")
	}
	if Decide(16_000, response("Cache-Control: max-age=10"), Request{"GET", head()}, 6000) != ServeAndRevalidate {
		t.Error("the default of stale-while-revalidate is not applied")
	}
	if !ServableOnError(20_000, response("Cache-Control: max-age=10, stale-if-error=60"), 0) || ServableOnError(80_000, response("Cache-Control: max-age=10, stale-if-error=60"), 0) ||
		ServableOnError(20_000, response("Cache-Control: max-age=10, must-revalidate, stale-if-error=60"), 1e9) {
		t.Error("stale-if-error is not followed")
	}
}

// The age of a stored response never decreases and is at least the time since the request,
// whatever its Date and Age say. A response that is served without validation is fresh, and
// one that has become stale does not become fresh again.
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
			t.Fatalf("age %v ms, later %v ms; requested %v ms before the first", Age(stored, at), Age(stored, later), at-stored.RequestTime)
		}
		if Decide(at, stored, Request{"GET", head()}, 0) == Serve && Age(stored, at) >= Lifetime(stored) {
			t.Fatal("a stale response is served without validation")
		}
		if Decide(at, stored, Request{"GET", head()}, 0) != Serve && Decide(later, stored, Request{"GET", head()}, 0) == Serve {
			t.Fatal("a response that needed validation is served without it later")
		}
	})
}

func TestVariants(t *testing.T) {
	same := func(vary string, a, b []string) bool { return Variant(vary, head(a...)) == Variant(vary, head(b...)) }
	if !same("Accept-Encoding", []string{"Accept-Encoding: gzip, br"}, []string{"Accept-Encoding: gzip,BR", "X: 1"}) ||
		same("Accept-Encoding, X", []string{"Accept-Encoding: gzip", "X: 1"}, []string{"Accept-Encoding: gzip"}) ||
		!same("x , accept-encoding, X", []string{"X: 1"}, []string{"X: 1"}) || Variant("", head("X: 1")) != "" ||
		same("X, Y", []string{"X: 1\x00Y=2"}, []string{"X: 1", "Y: 2"}) {
		t.Error("Variant is not equal exactly for requests that may share a stored response")
	}
}

func TestFreshened(t *testing.T) {
	stored := response("Etag: \"1\"", "Content-Length: 10", "Cache-Control: max-age=1", "X-Old: 1", "Last-Modified: Tue, 01 Dec 2026 11:00:00 GMT")
	if c := ConditionalFields(stored); c.Get("If-None-Match") != `"1"` || c.Get("If-Modified-Since") == "" {
		t.Errorf("conditional fields %v", c)
	}
	freshened := Freshened(stored, &Response{Status: 304, Header: head("Etag: \"1\"", "Cache-Control: max-age=60", "Content-Length: 0"), RequestTime: 50_000, ResponseTime: 50_010, WallTime: wall})
	if freshened.Status != 200 || freshened.Header.Get("Content-Length") != "10" || freshened.Header.Get("X-Old") != "1" || Decide(60_000, freshened, Request{"GET", head()}, 0) != Serve || stored.Header.Get("Cache-Control") != "max-age=1" {
		t.Errorf("after a 304: %+v", freshened)
	}
	if !NotModified(stored, head(`If-None-Match: W/"1"`)) || NotModified(stored, head(`If-None-Match: "2"`, "If-Modified-Since: Tue, 01 Dec 2026 11:00:00 GMT")) ||
		!NotModified(stored, head("If-Modified-Since: Tue, 01 Dec 2026 11:00:00 GMT")) || NotModified(stored, head()) {
		t.Error("NotModified does not follow RFC 9110, section 13.2.2")
	}
}

func TestSelectRange(t *testing.T) {
	stored := response(`Etag: "1"`)
	for _, c := range []struct {
		byteRange   string
		extraField  string
		status      int
		first, last int64
	}{
		{"bytes=0-9", "", 206, 0, 9}, {"bytes=90-200", "", 206, 90, 99}, {"bytes=-10", "", 206, 90, 99}, {"bytes=-1000", "", 206, 0, 99},
		{"bytes=50-", "", 206, 50, 99}, {"bytes=100-", "", 416, 0, 0}, {"bytes=-0", "", 416, 0, 0}, {"bytes=9-3", "", 200, 0, 99},
		{"bytes=0-1,4-5", "", 200, 0, 99}, {"items=0-1", "", 200, 0, 99}, {"bytes=a-b", "", 200, 0, 99}, {"bytes=--5", "", 200, 0, 99},
		{"bytes=0-9", `If-Range: "1"`, 206, 0, 9}, {"bytes=0-9", `If-Range: "2"`, 200, 0, 99}, {"bytes=0-9", `If-Range: W/"1"`, 200, 0, 99},
	} {
		h := head("Range: " + c.byteRange)
		if c.extraField != "" {
			name, value, _ := strings.Cut(c.extraField, ": ")
			h.Set(name, value)
		}
		if status, first, last := SelectRange(stored, h, 100); status != c.status || first != c.first || last != c.last {
			t.Errorf("Range %s, %s: status %d, bytes %d-%d; want %d, %d-%d", c.byteRange, c.extraField, status, first, last, c.status, c.first, c.last)
		}
	}
}

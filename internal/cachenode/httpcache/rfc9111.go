package httpcache

import (
	"math"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pquerna/cachecontrol/cacheobject"
)

// What HTTP says of copies (RFC 9111, and RFC 5861 for stale ones), for a shared cache.
// It decides what a copy may be used for; where it is fetched from is a router's to say.
// Times are in ms on the caller's clock, but for what heads say.

// Answer is an answer as it was received.
type Answer struct {
	Status      int
	Head        http.Header
	Asked, Came float64   // when the request was sent, and when the head came
	Wall        time.Time // of Came, to compare with Date and Expires
}

// Asking is what of a request matters to a cache.
type Asking struct {
	Method string
	Head   http.Header
}

// Use is what a copy may be used for.
type Use uint8

// The uses.
const (
	Fetch       Use = iota + 1 // it can't be used, or there is none
	Serve                      // as it is
	ServeRenew                 // as it is, and it is renewed behind the answer
	Revalidate                 // after its source has said that it is still good
	Unsatisfied                // the asker wants a copy only, and none will do: 504
)

// keptStatus are those that may be kept without an explicit word (RFC 9110, section 15.1).
var keptStatus = []int{200, 203, 204, 300, 301, 308, 404, 405, 410, 414, 501}

// Storable reports whether a shared cache may keep an answer, and else why not (RFC 9111,
// section 3). Answers in part are not kept here.
func Storable(q Asking, a *Answer) (why string, ok bool) {
	rcc, err := cacheobject.ParseResponseCacheControl(field(a.Head, "Cache-Control"))
	if err != nil {
		return "its Cache-Control is malformed", false
	}
	qcc, err := cacheobject.ParseRequestCacheControl(field(q.Head, "Cache-Control"))
	if err != nil {
		return "the request's Cache-Control is malformed", false
	}
	explicit := rcc.MaxAge >= 0 || rcc.SMaxAge >= 0 || rcc.Public || a.Head.Get("Expires") != ""
	switch {
	case q.Method != "GET":
		return "the request is no GET", false
	case rcc.NoStore || qcc.NoStore:
		return "no-store", false
	case rcc.PrivatePresent:
		return "private", false
	case a.Status < 200 || a.Status == 206 || a.Status == 304:
		return "status " + strconv.Itoa(a.Status), false
	case q.Head.Get("Authorization") != "" && !rcc.Public && rcc.SMaxAge < 0 && !rcc.MustRevalidate:
		return "it was asked for with Authorization", false
	case a.Head.Get("Set-Cookie") != "" && !rcc.Public && rcc.SMaxAge < 0:
		return "it sets a cookie", false
	case strings.Contains(field(a.Head, "Vary"), "*"):
		return "Vary: *", false
	case !explicit && !slices.Contains(keptStatus, a.Status):
		return "status " + strconv.Itoa(a.Status) + " without a lifetime", false
	}
	return "", true
}

// field is a field's lines as one.
func field(h http.Header, name string) string { return strings.Join(h.Values(name), ", ") }

// Lifetime is for how long an answer is fresh, in ms (section 4.2.1); a tenth of the time
// since it was changed, a day at most, where nothing is said (4.2.2).
func Lifetime(a *Answer) float64 {
	rcc, err := cacheobject.ParseResponseCacheControl(field(a.Head, "Cache-Control"))
	switch {
	case err != nil:
		return 0
	case rcc.SMaxAge >= 0:
		return float64(rcc.SMaxAge) * 1000
	case rcc.MaxAge >= 0:
		return float64(rcc.MaxAge) * 1000
	}
	date := dateOf(a)
	if v := a.Head.Values("Expires"); len(v) > 0 {
		t, err := http.ParseTime(v[0])
		if err != nil || len(v) > 1 { // "0" above all: it is past
			return 0
		}
		return max(float64(t.Sub(date).Milliseconds()), 0)
	}
	if t, err := http.ParseTime(a.Head.Get("Last-Modified")); err == nil && slices.Contains(keptStatus, a.Status) {
		return min(max(float64(date.Sub(t).Milliseconds())/10, 0), 24*3600*1000)
	}
	return 0
}

func dateOf(a *Answer) time.Time {
	if t, err := http.ParseTime(a.Head.Get("Date")); err == nil {
		return t
	}
	return a.Wall
}

// Age is how old an answer is now, in ms (section 4.2.3). A clock that was stepped makes
// it no younger than what has passed here since it was asked for.
func Age(a *Answer, now float64) float64 {
	apparent := max(float64(a.Wall.Sub(dateOf(a)).Milliseconds()), 0)
	stated := 0.0
	if n, err := strconv.ParseUint(strings.TrimSpace(a.Head.Get("Age")), 10, 31); err == nil {
		stated = float64(n) * 1000
	}
	corrected := stated + max(a.Came-a.Asked, 0)
	return max(apparent, corrected) + max(now-a.Came, 0)
}

// Decide is what a copy may be used for now (section 4); nil: there is none. behind is for
// how long past its freshness it is served while it is renewed, where it does not say.
func Decide(now float64, a *Answer, q Asking, behind float64) Use {
	qcc, err := cacheobject.ParseRequestCacheControl(field(q.Head, "Cache-Control"))
	if err != nil {
		qcc = &cacheobject.RequestCacheDirectives{MaxAge: -1, MaxStale: -1, MinFresh: -1}
	}
	want := func(u Use) Use {
		if qcc.OnlyIfCached && (u == Fetch || u == Revalidate) {
			return Unsatisfied
		}
		return u
	}
	if a == nil || q.Method != "GET" && q.Method != "HEAD" {
		return want(Fetch)
	}
	rcc, err := cacheobject.ParseResponseCacheControl(field(a.Head, "Cache-Control"))
	if err != nil {
		return want(Revalidate)
	}
	if rcc.NoCachePresent || qcc.NoCache || qcc.MaxAge < 0 && strings.Contains(strings.ToLower(field(q.Head, "Pragma")), "no-cache") && q.Head.Get("Cache-Control") == "" {
		return want(Revalidate)
	}
	age, life := Age(a, now), Lifetime(a)
	if qcc.MaxAge >= 0 && age > float64(qcc.MaxAge)*1000 {
		return want(Revalidate)
	}
	left := life - age
	if qcc.MinFresh >= 0 {
		left -= float64(qcc.MinFresh) * 1000
	}
	if left > 0 {
		return Serve
	}
	if rcc.MustRevalidate || rcc.ProxyRevalidate || rcc.SMaxAge >= 0 {
		return want(Revalidate)
	}
	if qcc.MaxStaleSet || qcc.MaxStale >= 0 && -left <= float64(qcc.MaxStale)*1000 {
		return Serve
	}
	if rcc.StaleWhileRevalidate >= 0 {
		behind = float64(rcc.StaleWhileRevalidate) * 1000
	}
	if -left <= behind && qcc.MaxAge < 0 && qcc.MinFresh < 0 {
		return ServeRenew
	}
	return want(Revalidate)
}

// OnError reports whether a stale copy will do now that its source fails (RFC 5861,
// section 4). otherwise is for how long where it does not say.
func OnError(now float64, a *Answer, otherwise float64) bool {
	rcc, err := cacheobject.ParseResponseCacheControl(field(a.Head, "Cache-Control"))
	if err != nil || rcc.MustRevalidate || rcc.ProxyRevalidate || rcc.NoCachePresent || rcc.SMaxAge >= 0 {
		return false
	}
	if rcc.StaleIfError >= 0 {
		otherwise = float64(rcc.StaleIfError) * 1000
	}
	return Age(a, now)-Lifetime(a) <= otherwise
}

// Variant is the part of a copy's name that tells apart what its Vary lists (section 4.1):
// the request's fields, each with its values as they are, but for white space and case
// where the field is a list of tokens. names come from the answer's Vary.
func Variant(vary string, q http.Header) string {
	var names []string
	for name := range strings.SplitSeq(vary, ",") {
		if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	var b strings.Builder
	for _, name := range names {
		v := field(q, name)
		if name == "Accept-Encoding" || name == "Accept-Language" {
			v = strings.ToLower(strings.ReplaceAll(v, " ", ""))
		}
		b.WriteString("\x00" + name + "=" + strconv.Quote(strings.TrimSpace(v)))
	}
	return b.String()
}

// Conditions are the fields that ask a source whether a copy is still good (section 4.3.1);
// none: it can't be asked.
func Conditions(a *Answer) http.Header {
	h := http.Header{}
	if tag := a.Head.Get("Etag"); tag != "" {
		h.Set("If-None-Match", tag)
	}
	if at := a.Head.Get("Last-Modified"); at != "" {
		h.Set("If-Modified-Since", at)
	}
	return h
}

// Renewed is a copy whose source has said by a 304 that it is still good (section 4.3.4):
// the fields of the 304 in the place of its own, but for those of its body.
func Renewed(a, by *Answer) *Answer {
	out := *a
	out.Head = a.Head.Clone()
	for name, v := range by.Head {
		switch name {
		case "Content-Encoding", "Content-Type", "Content-Range", "Content-Length", "Transfer-Encoding", "Connection":
			continue
		}
		out.Head[name] = slices.Clone(v)
	}
	out.Asked, out.Came, out.Wall = by.Asked, by.Came, by.Wall
	return &out
}

// NotModified reports whether a request's own conditions are met by a copy, so that it is
// answered 304 (RFC 9110, section 13.2.2).
func NotModified(a *Answer, q http.Header) bool {
	if v := field(q, "If-None-Match"); v != "" {
		tag := strings.TrimPrefix(a.Head.Get("Etag"), "W/")
		for one := range strings.SplitSeq(v, ",") {
			one = strings.TrimSpace(one)
			if one == "*" || tag != "" && strings.TrimPrefix(one, "W/") == tag {
				return true
			}
		}
		return false
	}
	since, err := http.ParseTime(q.Get("If-Modified-Since"))
	at, err2 := http.ParseTime(a.Head.Get("Last-Modified"))
	return err == nil && err2 == nil && !at.After(since)
}

// Ranged is what a request's Range selects of a copy of size bytes: status 206 with the
// first and last byte, 416, or 200 with all (RFC 9110, section 14.2). Several ranges, and
// those that If-Range says no more hold, are answered with all.
func Ranged(a *Answer, q http.Header, size int64) (status int, first, last int64) {
	v, is := strings.CutPrefix(q.Get("Range"), "bytes=")
	if !is || strings.Contains(v, ",") || len(q.Values("Range")) > 1 {
		return 200, 0, size - 1
	}
	if cond := q.Get("If-Range"); cond != "" {
		tag, at := a.Head.Get("Etag"), a.Head.Get("Last-Modified")
		if strings.HasPrefix(cond, "W/") || cond != tag && (at == "" || cond != at) {
			return 200, 0, size - 1
		}
	}
	from, to, ok := strings.Cut(strings.TrimSpace(v), "-")
	first, err := strconv.ParseInt(from, 10, 64)
	last, err2 := strconv.ParseInt(to, 10, 64)
	switch {
	case !ok || from == "" && (err2 != nil || last < 0), from != "" && err != nil, to != "" && err2 != nil:
		return 200, 0, size - 1
	case from == "":
		if last == 0 || size == 0 {
			return 416, 0, 0
		}
		return 206, max(size-last, 0), size - 1
	case to == "":
		last = math.MaxInt64
	case last < first:
		return 200, 0, size - 1
	}
	if first >= size {
		return 416, 0, 0
	}
	return 206, first, min(last, size-1)
}

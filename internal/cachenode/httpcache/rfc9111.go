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

// Response is an answer as it was received.
type Response struct {
	Status                    int
	Header                    http.Header
	RequestTime, ResponseTime float64   // when the request was sent, and when the head came
	WallTime                  time.Time // of Came, to compare with Date and Expires
}

// Request is what of a request matters to a cache.
type Request struct {
	Method string
	Header http.Header
}

// Use is what a copy may be used for.
type Use uint8

// The uses.
const (
	Fetch              Use = iota + 1 // it can't be used, or there is none
	Serve                             // as it is
	ServeAndRevalidate                // as it is, and it is renewed behind the answer
	Revalidate                        // after its source has said that it is still good
	Unsatisfied                       // the asker wants a copy only, and none will do: 504
)

// heuristicStatuses are those that may be kept without an explicit word (RFC 9110, section 15.1).
var heuristicStatuses = []int{200, 203, 204, 300, 301, 308, 404, 405, 410, 414, 501}

// Storable reports whether a shared cache may keep an answer, and else why not (RFC 9111,
// section 3). Answers in part are not kept here.
func Storable(request Request, response *Response) (reason string, ok bool) {
	responseDirectives, err := cacheobject.ParseResponseCacheControl(fieldValue(response.Header, "Cache-Control"))
	if err != nil {
		return "its Cache-Control is malformed", false
	}
	requestDirectives, err := cacheobject.ParseRequestCacheControl(fieldValue(request.Header, "Cache-Control"))
	if err != nil {
		return "the request's Cache-Control is malformed", false
	}
	explicit := responseDirectives.MaxAge >= 0 || responseDirectives.SMaxAge >= 0 || responseDirectives.Public || response.Header.Get("Expires") != ""
	switch {
	case request.Method != "GET":
		return "the request is no GET", false
	case responseDirectives.NoStore || requestDirectives.NoStore:
		return "no-store", false
	case responseDirectives.PrivatePresent:
		return "private", false
	case response.Status < 200 || response.Status == 206 || response.Status == 304:
		return "status " + strconv.Itoa(response.Status), false
	case request.Header.Get("Authorization") != "" && !responseDirectives.Public && responseDirectives.SMaxAge < 0 && !responseDirectives.MustRevalidate:
		return "it was asked for with Authorization", false
	case response.Header.Get("Set-Cookie") != "" && !responseDirectives.Public && responseDirectives.SMaxAge < 0:
		return "it sets a cookie", false
	case strings.Contains(fieldValue(response.Header, "Vary"), "*"):
		return "Vary: *", false
	case !explicit && !slices.Contains(heuristicStatuses, response.Status):
		return "status " + strconv.Itoa(response.Status) + " without a lifetime", false
	}
	return "", true
}

// fieldValue is a field's lines as one.
func fieldValue(h http.Header, name string) string { return strings.Join(h.Values(name), ", ") }

// Lifetime is for how long an answer is fresh, in ms (section 4.2.1); a tenth of the time
// since it was changed, a day at most, where nothing is said (4.2.2).
func Lifetime(response *Response) float64 {
	responseDirectives, err := cacheobject.ParseResponseCacheControl(fieldValue(response.Header, "Cache-Control"))
	switch {
	case err != nil:
		return 0
	case responseDirectives.SMaxAge >= 0:
		return float64(responseDirectives.SMaxAge) * 1000
	case responseDirectives.MaxAge >= 0:
		return float64(responseDirectives.MaxAge) * 1000
	}
	date := responseDate(response)
	if v := response.Header.Values("Expires"); len(v) > 0 {
		t, err := http.ParseTime(v[0])
		if err != nil || len(v) > 1 { // "0" above all: it is past
			return 0
		}
		return max(float64(t.Sub(date).Milliseconds()), 0)
	}
	if t, err := http.ParseTime(response.Header.Get("Last-Modified")); err == nil && slices.Contains(heuristicStatuses, response.Status) {
		return min(max(float64(date.Sub(t).Milliseconds())/10, 0), 24*3600*1000)
	}
	return 0
}

func responseDate(response *Response) time.Time {
	if t, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		return t
	}
	return response.WallTime
}

// Age is how old an answer is now, in ms (section 4.2.3). A clock that was stepped makes
// it no younger than what has passed here since it was asked for.
func Age(response *Response, now float64) float64 {
	apparentAge := max(float64(response.WallTime.Sub(responseDate(response)).Milliseconds()), 0)
	ageValue := 0.0
	if n, err := strconv.ParseUint(strings.TrimSpace(response.Header.Get("Age")), 10, 31); err == nil {
		ageValue = float64(n) * 1000
	}
	correctedAge := ageValue + max(response.ResponseTime-response.RequestTime, 0)
	return max(apparentAge, correctedAge) + max(now-response.ResponseTime, 0)
}

// Decide is what a copy may be used for now (section 4); nil: there is none. behind is for
// how long past its freshness it is served while it is renewed, where it does not say.
func Decide(now float64, response *Response, request Request, staleWhileRevalidate float64) Use {
	requestDirectives, err := cacheobject.ParseRequestCacheControl(fieldValue(request.Header, "Cache-Control"))
	if err != nil {
		requestDirectives = &cacheobject.RequestCacheDirectives{MaxAge: -1, MaxStale: -1, MinFresh: -1}
	}
	unlessOnlyIfCached := func(u Use) Use {
		if requestDirectives.OnlyIfCached && (u == Fetch || u == Revalidate) {
			return Unsatisfied
		}
		return u
	}
	if response == nil || request.Method != "GET" && request.Method != "HEAD" {
		return unlessOnlyIfCached(Fetch)
	}
	responseDirectives, err := cacheobject.ParseResponseCacheControl(fieldValue(response.Header, "Cache-Control"))
	if err != nil {
		return unlessOnlyIfCached(Revalidate)
	}
	if responseDirectives.NoCachePresent || requestDirectives.NoCache || requestDirectives.MaxAge < 0 && strings.Contains(strings.ToLower(fieldValue(request.Header, "Pragma")), "no-cache") && request.Header.Get("Cache-Control") == "" {
		return unlessOnlyIfCached(Revalidate)
	}
	age, lifetime := Age(response, now), Lifetime(response)
	if requestDirectives.MaxAge >= 0 && age > float64(requestDirectives.MaxAge)*1000 {
		return unlessOnlyIfCached(Revalidate)
	}
	remaining := lifetime - age
	if requestDirectives.MinFresh >= 0 {
		remaining -= float64(requestDirectives.MinFresh) * 1000
	}
	if remaining > 0 {
		return Serve
	}
	if responseDirectives.MustRevalidate || responseDirectives.ProxyRevalidate || responseDirectives.SMaxAge >= 0 {
		return unlessOnlyIfCached(Revalidate)
	}
	if requestDirectives.MaxStaleSet || requestDirectives.MaxStale >= 0 && -remaining <= float64(requestDirectives.MaxStale)*1000 {
		return Serve
	}
	if responseDirectives.StaleWhileRevalidate >= 0 {
		staleWhileRevalidate = float64(responseDirectives.StaleWhileRevalidate) * 1000
	}
	if -remaining <= staleWhileRevalidate && requestDirectives.MaxAge < 0 && requestDirectives.MinFresh < 0 {
		return ServeAndRevalidate
	}
	return unlessOnlyIfCached(Revalidate)
}

// ServableOnError reports whether a stale copy will do now that its source fails (RFC 5861,
// section 4). otherwise is for how long where it does not say.
func ServableOnError(now float64, response *Response, staleIfError float64) bool {
	responseDirectives, err := cacheobject.ParseResponseCacheControl(fieldValue(response.Header, "Cache-Control"))
	if err != nil || responseDirectives.MustRevalidate || responseDirectives.ProxyRevalidate || responseDirectives.NoCachePresent || responseDirectives.SMaxAge >= 0 {
		return false
	}
	if responseDirectives.StaleIfError >= 0 {
		staleIfError = float64(responseDirectives.StaleIfError) * 1000
	}
	return Age(response, now)-Lifetime(response) <= staleIfError
}

// Variant is the part of a copy's name that tells apart what its Vary lists (section 4.1):
// the request's fields, each with its values as they are, but for white space and case
// where the field is a list of tokens. names come from the answer's Vary.
func Variant(vary string, requestHeader http.Header) string {
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
		v := fieldValue(requestHeader, name)
		if name == "Accept-Encoding" || name == "Accept-Language" {
			v = strings.ToLower(strings.ReplaceAll(v, " ", ""))
		}
		b.WriteString("\x00" + name + "=" + strconv.Quote(strings.TrimSpace(v)))
	}
	return b.String()
}

// ConditionalFields are the fields that ask a source whether a copy is still good (section 4.3.1);
// none: it can't be asked.
func ConditionalFields(response *Response) http.Header {
	h := http.Header{}
	if tag := response.Header.Get("Etag"); tag != "" {
		h.Set("If-None-Match", tag)
	}
	if at := response.Header.Get("Last-Modified"); at != "" {
		h.Set("If-Modified-Since", at)
	}
	return h
}

// Freshened is a copy whose source has said by a 304 that it is still good (section 4.3.4):
// the fields of the 304 in the place of its own, but for those of its body.
func Freshened(stored, notModified *Response) *Response {
	out := *stored
	out.Header = stored.Header.Clone()
	for name, v := range notModified.Header {
		switch name {
		case "Content-Encoding", "Content-Type", "Content-Range", "Content-Length", "Transfer-Encoding", "Connection":
			continue
		}
		out.Header[name] = slices.Clone(v)
	}
	out.RequestTime, out.ResponseTime, out.WallTime = notModified.RequestTime, notModified.ResponseTime, notModified.WallTime
	return &out
}

// NotModified reports whether a request's own conditions are met by a copy, so that it is
// answered 304 (RFC 9110, section 13.2.2).
func NotModified(response *Response, requestHeader http.Header) bool {
	if v := fieldValue(requestHeader, "If-None-Match"); v != "" {
		tag := strings.TrimPrefix(response.Header.Get("Etag"), "W/")
		for candidate := range strings.SplitSeq(v, ",") {
			candidate = strings.TrimSpace(candidate)
			if candidate == "*" || tag != "" && strings.TrimPrefix(candidate, "W/") == tag {
				return true
			}
		}
		return false
	}
	since, err := http.ParseTime(requestHeader.Get("If-Modified-Since"))
	lastModified, modifiedErr := http.ParseTime(response.Header.Get("Last-Modified"))
	return err == nil && modifiedErr == nil && !lastModified.After(since)
}

// SelectRange is what a request's Range selects of a copy of size bytes: status 206 with the
// first and last byte, 416, or 200 with all (RFC 9110, section 14.2). Several ranges, and
// those that If-Range says no more hold, are answered with all.
func SelectRange(response *Response, requestHeader http.Header, size int64) (status int, first, last int64) {
	v, isBytes := strings.CutPrefix(requestHeader.Get("Range"), "bytes=")
	if !isBytes || strings.Contains(v, ",") || len(requestHeader.Values("Range")) > 1 {
		return 200, 0, size - 1
	}
	if condition := requestHeader.Get("If-Range"); condition != "" {
		tag, lastModified := response.Header.Get("Etag"), response.Header.Get("Last-Modified")
		if strings.HasPrefix(condition, "W/") || condition != tag && (lastModified == "" || condition != lastModified) {
			return 200, 0, size - 1
		}
	}
	from, to, ok := strings.Cut(strings.TrimSpace(v), "-")
	first, err := strconv.ParseInt(from, 10, 64)
	last, lastErr := strconv.ParseInt(to, 10, 64)
	switch {
	case !ok || from == "" && (lastErr != nil || last < 0), from != "" && err != nil, to != "" && lastErr != nil:
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

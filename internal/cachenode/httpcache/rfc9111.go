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

// This file implements the rules for a shared cache of RFC 9111, and those for stale responses
// of RFC 5861. It decides how a stored response may be used; routers decide from which source
// a response is fetched. Times are in ms on the caller's clock, except for those in header
// fields.

// Response is a response as it was received.
type Response struct {
	Status                    int
	Header                    http.Header
	RequestTime, ResponseTime float64   // when the request was sent and the response header was received
	WallTime                  time.Time // wall-clock time of ResponseTime, to compare with Date and Expires
}

// Request holds the parts of a request that matter to a cache.
type Request struct {
	Method string
	Header http.Header
}

// Use says how a stored response may be used for a request.
type Use uint8

// The values of Use.
const (
	Fetch              Use = iota + 1 // there is no stored response, or it can't be used
	Serve                             // serve it without validation
	ServeAndRevalidate                // serve it, and validate it in the background
	Revalidate                        // serve it only if its source confirms that it is still valid
	Unsatisfied                       // respond 504: only-if-cached, and no stored response can be used
)

// heuristicStatuses are the status codes that are cacheable without explicit freshness
// information (RFC 9110, section 15.1).
var heuristicStatuses = []int{200, 203, 204, 300, 301, 308, 404, 405, 410, 414, 501}

// Storable reports whether a shared cache may store a response, and the reason if it may not
// (RFC 9111, section 3). Partial responses (206) are not stored.
func Storable(request Request, response *Response) (reason string, ok bool) {
	responseDirectives, err := cacheobject.ParseResponseCacheControl(fieldValue(response.Header, "Cache-Control"))
	if err != nil {
		return "the response's Cache-Control is malformed", false
	}
	requestDirectives, err := cacheobject.ParseRequestCacheControl(fieldValue(request.Header, "Cache-Control"))
	if err != nil {
		return "the request's Cache-Control is malformed", false
	}
	explicit := responseDirectives.MaxAge >= 0 || responseDirectives.SMaxAge >= 0 || responseDirectives.Public || response.Header.Get("Expires") != ""
	switch {
	case request.Method != "GET":
		return "the method is not GET", false
	case responseDirectives.NoStore || requestDirectives.NoStore:
		return "no-store", false
	case responseDirectives.PrivatePresent:
		return "private", false
	case response.Status < 200 || response.Status == 206 || response.Status == 304:
		return "status " + strconv.Itoa(response.Status), false
	case request.Header.Get("Authorization") != "" && !responseDirectives.Public && responseDirectives.SMaxAge < 0 && !responseDirectives.MustRevalidate:
		return "the request has Authorization", false
	case response.Header.Get("Set-Cookie") != "" && !responseDirectives.Public && responseDirectives.SMaxAge < 0:
		return "the response sets a cookie", false
	case strings.Contains(fieldValue(response.Header, "Vary"), "*"):
		return "Vary: *", false
	case !explicit && !slices.Contains(heuristicStatuses, response.Status):
		return "status " + strconv.Itoa(response.Status) + " without a lifetime", false
	}
	return "", true
}

// fieldValue joins the lines of a field into one value.
func fieldValue(h http.Header, name string) string { return strings.Join(h.Values(name), ", ") }

// Lifetime returns the freshness lifetime of a response, in ms (RFC 9111, section 4.2.1).
// Without explicit freshness information it is a tenth of the time since Last-Modified, at
// most a day (section 4.2.2).
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
		if err != nil || len(v) > 1 { // invalid, such as "0", or repeated: already expired
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

// Age returns the current age of a response, in ms (RFC 9111, section 4.2.3). Whatever the
// wall clock and Date say, it is at least the time that has passed on the caller's clock since
// RequestTime.
func Age(response *Response, now float64) float64 {
	apparentAge := max(float64(response.WallTime.Sub(responseDate(response)).Milliseconds()), 0)
	ageValue := 0.0
	if n, err := strconv.ParseUint(strings.TrimSpace(response.Header.Get("Age")), 10, 31); err == nil {
		ageValue = float64(n) * 1000
	}
	correctedAge := ageValue + max(response.ResponseTime-response.RequestTime, 0)
	return max(apparentAge, correctedAge) + max(now-response.ResponseTime, 0)
}

// Decide returns how a stored response may be used for a request now (RFC 9111, section 4).
// The response is nil if none is stored. staleWhileRevalidate is the time in ms after the end
// of its freshness during which a response without that directive is served while it is
// validated (RFC 5861, section 3).
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

// ServableOnError reports whether a stale response may be served because its source fails (RFC
// 5861, section 4). staleIfError is the time in ms after the end of its freshness during which
// a response without that directive may be.
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

// Variant returns a key for the request header fields that the Vary of a response lists (RFC
// 9111, section 4.1). Requests with different keys need different stored responses. The values
// are used as they are, except that spaces and case are ignored in Accept-Encoding and
// Accept-Language, which are lists of tokens.
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

// ConditionalFields returns the header fields of a request that validates a stored response
// (RFC 9111, section 4.3.1). It returns none if the response has no validator.
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

// Freshened returns a stored response after its source has answered 304 (RFC 9111, section
// 4.3.4): the header fields of the 304 replace the stored ones, except for those that describe
// the body.
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

// NotModified reports whether the conditions of a client's request make the answer 304 (RFC
// 9110, section 13.2.2).
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

// SelectRange evaluates the Range of a request for a response of size bytes (RFC 9110, section
// 14.2). It returns status 206 with the first and the last byte of the range, 416, or 200 with
// those of the whole body. The whole body is sent for several ranges, an invalid range, and one
// whose If-Range doesn't match.
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

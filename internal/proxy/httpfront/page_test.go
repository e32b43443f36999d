package httpfront

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"indigospool/internal/proxy/engine"
)

// pageRig is a testRig with a member that serves pages and fragments, and records the requests.
type pageRig struct {
	*testRig
	server         *httptest.Server
	mu             sync.Mutex
	requestCounts  map[string]int
	requestHeaders map[string]http.Header
	handlers       map[string]func(w http.ResponseWriter, r *http.Request)
	cancelled      map[string]int // requests that were cancelled before they were answered
}

// surrogateControl is the value of Surrogate-Control that requests ESI processing.
const surrogateControl = `content="ESI/1.0"`

// newPageRig starts a rig with a class of pages, and additional settings for pages.
func newPageRig(t *testing.T, limits, pages string) *pageRig {
	old := extraSettings
	extraSettings = `(class page (pages) (deadline 3000)) (route "/p/{group}/{object}" (class page)) (pages ` + pages + `)`
	defer func() { extraSettings = old }()
	rig := &pageRig{testRig: newRig(t, 0, limits), requestCounts: map[string]int{}, requestHeaders: map[string]http.Header{}, cancelled: map[string]int{},
		handlers: map[string]func(http.ResponseWriter, *http.Request){}}
	rig.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.Path
		rig.mu.Lock()
		rig.requestCounts[path]++
		rig.requestHeaders[path] = r.Header.Clone()
		handler := rig.handlers[path]
		rig.mu.Unlock()
		w.Header().Set("Cache-Status", "b0; hit")
		if handler == nil {
			http.NotFound(w, r)
			return
		}
		handler(w, r)
		if r.Context().Err() != nil {
			rig.mu.Lock()
			rig.cancelled[path]++
			rig.mu.Unlock()
		}
	}))
	t.Cleanup(func() { rig.stop(); rig.server.CloseClientConnections(); rig.server.Close() })
	rig.setMember("b0", "box", "z", "serving", rig.server.Listener.Addr().String())
	rig.waitFor("the member", func(_ *Stats, c *engine.Core) bool { _, ok := c.Member("b0"); return ok })
	return rig
}

// serve makes the member serve text at a path, with fields given as names and values in turn.
// Pages get a Surrogate-Control that requests ESI processing unless fields has one.
func (s *pageRig) serve(path, text string, fields ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[path] = func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i+1 < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		if strings.HasPrefix(path, "/p/") && w.Header().Get("Surrogate-Control") == "" {
			w.Header().Set("Surrogate-Control", surrogateControl)
		}
		io.WriteString(w, text)
	}
}

// handle makes the member call f for a path.
func (s *pageRig) handle(path string, f func(w http.ResponseWriter, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[path] = f
}

// count returns how many requests for a path the member received.
func (s *pageRig) count(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[path]
}

// request sends a client's request, with the fields given as names and values in turn.
func (s *pageRig) request(method, path string, fields ...string) (*http.Response, string, error) {
	s.t.Helper()
	req, _ := http.NewRequest(method, "http://"+s.edge.Addr()+path, nil)
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	res, err := (&http.Client{Transport: transport, Timeout: 8 * time.Second}).Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

// mustGetText sends a GET, and fails the test unless the response is 200 with the given text.
func (s *pageRig) mustGetText(path, text string, fields ...string) *http.Response {
	s.t.Helper()
	res, got, err := s.request("GET", path, fields...)
	if err != nil || res.StatusCode != 200 || got != text {
		s.t.Fatalf("%s: body %.300q, response %v, error %v; want 200 and body %.300q", path, got, res, err, text)
	}
	return res
}

// include returns an ESI include of a path, with more attributes.
func include(path string, more ...string) string {
	return `<esi:include src="` + path + `"` + strings.Join(more, "") + `/>`
}

// Pages are assembled: fragments appear in order, and one that is included ten times is fetched once.
// Alternatives, onerror and try work, and so do nested and compressed pages and fragments.
func TestPages(t *testing.T) {
	rig := newPageRig(t, "", "")
	rig.serve("/p/1/a", "<h>"+strings.Repeat(include("/s/1/x"), 10)+include("/s/1/no", ` alt="/s/1/y"`)+include("/s/1/none", ` onerror="continue"`)+
		"<esi:try><esi:attempt>"+include("/s/1/none2")+"</esi:attempt><esi:except>E</esi:except></esi:try></h>", "Set-Cookie", "t=1")
	rig.serve("/s/1/x", "x", "Set-Cookie", "frag=1")
	rig.serve("/s/1/y", "y")
	res := rig.mustGetText("/p/1/a", "<h>xxxxxxxxxxyE</h>", "Cookie", "secret=1", "Accept-Encoding", "br")
	if n := rig.count("/s/1/x"); n != 1 {
		t.Errorf("a fragment that is included ten times was fetched %d times, want 1", n)
	}
	if c := res.Header["Set-Cookie"]; len(c) != 1 || c[0] != "t=1" || res.Header.Get("Surrogate-Control") != "" {
		t.Errorf("page with header %v, want only the template's cookie t=1 and no Surrogate-Control", res.Header)
	}
	rig.mu.Lock()
	for path, h := range rig.requestHeaders {
		if h.Get("Cookie") != "" || h.Get("Accept-Encoding") != "gzip" || !strings.Contains(h.Get("Surrogate-Capability"), `="ESI/1.0"`) {
			t.Errorf("%s was requested with %v", path, h)
		}
	}
	rig.mu.Unlock()

	compress := func(text string) string {
		var body bytes.Buffer
		writer := gzip.NewWriter(&body)
		writer.Write([]byte(text))
		writer.Close()
		return body.String()
	}
	rig.serve("/p/1/z", compress("[<esi:vars>$(QUERY_STRING{q})</esi:vars>"+include("/p/1/in")+"]"), "Content-Encoding", "gzip")
	rig.serve("/p/1/in", compress("in"+include("/s/1/big")), "Content-Encoding", "gzip")
	big := strings.Repeat("0123456789abcdef", 20<<10) // 320 KB, which is streamed
	rig.serve("/s/1/big", big)
	rig.mustGetText("/p/1/z?q=%3Cb%3E", "[%3Cb%3Ein"+big+"]")
	bomb := compress(strings.Repeat("x", 4<<20))
	rig.serve("/p/1/bomb", "a"+include("/s/1/bomb", ` onerror="continue"`)+"b")
	rig.serve("/s/1/bomb", bomb, "Content-Encoding", "gzip")
	rig.mustGetText("/p/1/bomb", "ab")

	// A response that does not request ESI is relayed unprocessed, as is one of another class.
	rig.serve("/p/1/plain", "<esi:include src='/s/1/x'/>", "Surrogate-Control", "max-age=5", "ETag", `"e"`)
	if res := rig.mustGetText("/p/1/plain", "<esi:include src='/s/1/x'/>"); res.Header.Get("ETag") != `"e"` || res.ContentLength != 27 {
		t.Error(res.Header, res.ContentLength)
	}
	rig.serve("/s/1/raw", include("/s/1/x"), "Surrogate-Control", surrogateControl)
	rig.mustGetText("/s/1/raw", include("/s/1/x"))
	if res, _, _ := rig.request("GET", "/p/1/absent"); res.StatusCode != 404 {
		t.Error(res.Status)
	}

	// Without a required fragment the page is an error response, or visibly incomplete.
	rig.serve("/p/1/m", include("/s/1/none"))
	if res, _, err := rig.request("GET", "/p/1/m"); err != nil || res.StatusCode != 502 || !strings.Contains(res.Header.Get("Cache-Status"), "detail=page") {
		t.Error(res, err)
	}
	rig.serve("/p/1/m2", "begun"+include("/s/1/none"))
	if _, output, err := rig.request("GET", "/p/1/m2"); err == nil {
		t.Errorf("incomplete page ended without an error: %q", output)
	}
	rig.serve("/p/1/mal", "a<esi:what/>")
	if res, _, err := rig.request("GET", "/p/1/mal"); err == nil && res.StatusCode != 502 {
		t.Error(res, err)
	}
	// The response to a HEAD that fails has no body, so that the next response follows its head.
	output := rig.exchange("HEAD /p/1/m HTTP/1.1\r\nHost: h\r\n\r\nHEAD /p/1/absent HTTP/1.1\r\nHost: h\r\n\r\nGET /p/1/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	reader := bufio.NewReader(strings.NewReader(output))
	for i, method := range []string{"HEAD", "HEAD", "GET"} {
		res, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("response %d: error %v in %.600q", i, err, output)
		}
		body, err := io.ReadAll(res.Body)
		if i < 2 && res.StatusCode < 400 || i == 2 && string(body) != "<h>xxxxxxxxxxyE</h>" {
			t.Errorf("response %d: status %v, body %q, error %v; want an error status for the HEADs and the page for the GET", i, res.Status, body, err)
		}
	}
	rig.edge.Query(func(st *Stats, c *engine.Core) {
		if len(rig.edge.requests) > 0 || len(rig.edge.pages) > 0 {
			t.Errorf("%d requests and %d pages remain, want none", len(rig.edge.requests), len(rig.edge.pages))
		}
	})
}

// HEAD, ranges and conditions apply to the assembled page, and its head combines the freshness and
// the validators of the template and the fragments.
func TestPageHeads(t *testing.T) {
	rig := newPageRig(t, "", "")
	rig.serve("/p/1/a", "0123"+include("/s/1/x")+"89", "Cache-Control", "max-age=60", "ETag", `"t1"`, "Last-Modified", "Tue, 01 Dec 2026 10:00:00 GMT")
	rig.serve("/s/1/x", "4567", "Cache-Control", "max-age=30", "ETag", `"x1"`, "Last-Modified", "Tue, 01 Dec 2026 11:00:00 GMT")
	res, got, err := rig.request("HEAD", "/p/1/a")
	if err != nil || got != "" || res.ContentLength != 10 || res.Header.Get("Last-Modified") != "Tue, 01 Dec 2026 11:00:00 GMT" {
		t.Fatal(res, got, err)
	}
	tag := res.Header.Get("ETag")
	if control := res.Header.Get("Cache-Control"); !strings.HasPrefix(tag, `W/"p`) || control != "max-age=29" && control != "max-age=30" {
		t.Fatal(tag, res.Header)
	}
	for _, test := range []struct {
		status int
		text   string
		fields []string
	}{
		{304, "", []string{"If-None-Match", `"other", ` + tag}},
		{200, "0123456789", []string{"If-None-Match", `"other"`}},
		{304, "", []string{"If-Modified-Since", "Tue, 01 Dec 2026 11:00:00 GMT"}},
		{200, "0123456789", []string{"If-Modified-Since", "Tue, 01 Dec 2026 10:30:00 GMT"}},
		{206, "345", []string{"Range", "bytes=3-5"}},
		{206, "89", []string{"Range", "bytes=-2"}},
		{206, "6789", []string{"Range", "bytes=6-"}},
		{416, "", []string{"Range", "bytes=10-"}},
		{200, "0123456789", []string{"Range", "bytes=3-5", "If-Range", tag}},
		{200, "0123456789", []string{"Range", "bytes=5-3"}},
	} {
		res, got, err := rig.request("GET", "/p/1/a", test.fields...)
		if err != nil || res.StatusCode != test.status || got != test.text {
			t.Errorf("%v: status %v, body %q, error %v", test.fields, res.Status, got, err)
		}
		if test.status == 206 && !strings.HasSuffix(res.Header.Get("Content-Range"), "/10") {
			t.Error(res.Header)
		}
	}
	rig.mu.Lock()
	for path, h := range rig.requestHeaders {
		if h.Get("Range")+h.Get("If-None-Match")+h.Get("If-Modified-Since") != "" {
			t.Errorf("%s was requested with %v", path, h)
		}
	}
	rig.mu.Unlock()
	rig.serve("/s/1/x", "4567", "Cache-Control", "private, max-age=30") // without a tag, the page has none either
	if res, _, _ = rig.request("HEAD", "/p/1/a"); !strings.HasPrefix(res.Header.Get("Cache-Control"), "private") || res.Header.Get("ETag") != "" {
		t.Error(res.Header)
	}
	rig.serve("/s/1/x", "4567")
	if res, _, _ = rig.request("GET", "/p/1/a", "Range", "bytes=0-3"); res.Header.Get("Cache-Control") != "no-cache" {
		t.Error(res.Header)
	}
}

// A fragment is never answered. The page is complete in time with its alternative, or without it,
// and no request remains.
func TestHangingFragment(t *testing.T) {
	rig := newPageRig(t, "", "")
	rig.handle("/s/1/hang", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	rig.handle("/s/1/half", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	rig.serve("/s/1/y", "y")
	rig.serve("/p/1/a", "a"+include("/s/1/hang", ` alt="/s/1/y"`)+include("/s/1/half", ` onerror="continue"`)+"b")
	began := time.Now()
	rig.mustGetText("/p/1/a", "ayb", "Spool-Deadline", "1500")
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("the page took %v, want at most 1.5 s", took)
	}
	rig.serve("/p/1/b", include("/s/1/hang"))
	if res, _, err := rig.request("GET", "/p/1/b", "Spool-Deadline", "600"); err != nil || res.StatusCode != 504 {
		t.Error(res, err)
	}
	rig.waitFor("the end of all requests", func(*Stats, *engine.Core) bool { return len(rig.edge.requests) == 0 && len(rig.edge.pages) == 0 })
}

// A page of 200 fragments fetches 8 of them at a time at most.
func TestManyFragments(t *testing.T) {
	rig := newPageRig(t, "", "")
	var text, want strings.Builder
	var inFlight, maxInFlight int
	for i := range 200 {
		path := fmt.Sprintf("/s/%d/f%d", i, i)
		rig.handle(path, func(w http.ResponseWriter, r *http.Request) {
			rig.mu.Lock()
			inFlight++
			maxInFlight = max(maxInFlight, inFlight)
			rig.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			rig.mu.Lock()
			inFlight--
			rig.mu.Unlock()
			fmt.Fprintf(w, "<%d>", i)
		})
		text.WriteString(include(path))
		fmt.Fprintf(&want, "<%d>", i)
	}
	rig.serve("/p/1/a", text.String())
	rig.mustGetText("/p/1/a", want.String())
	if maxInFlight > 8 || maxInFlight < 4 {
		t.Errorf("%d fragments in flight at once, want 4 to 8", maxInFlight)
	}
}

// Purges during the assembly. A fragment that was received, but not sent, is fetched again, and the
// old copy is not sent. A purged template is fetched again.
func TestPurgeOfFragment(t *testing.T) {
	rig := newPageRig(t, "", "")
	proceed := make(chan bool)
	rig.handle("/s/1/slow", func(w http.ResponseWriter, r *http.Request) { <-proceed; io.WriteString(w, "S") })
	rig.serve("/s/2/thumb", "old")
	rig.serve("/p/3/a", include("/s/1/slow")+include("/s/2/thumb"))
	got := make(chan string, 1)
	go func() { _, b, err := rig.request("GET", "/p/3/a"); got <- fmt.Sprint(b, err) }()
	rig.waitFor("the fragment", func(*Stats, *engine.Core) bool { return rig.count("/s/2/thumb") == 1 && rig.count("/s/1/slow") == 1 })
	time.Sleep(50 * time.Millisecond)
	rig.serve("/s/2/thumb", "new")
	rig.listService.Purge("/s/2/thumb", 0, 0)
	rig.waitFor("the fragment to be fetched again", func(*Stats, *engine.Core) bool { return rig.count("/s/2/thumb") == 2 })
	proceed <- true
	if b := <-got; b != "Snew<nil>" {
		t.Errorf("the client got %q, want the new copies and no error", b)
	}
	go func() { _, b, err := rig.request("GET", "/p/3/a"); got <- fmt.Sprint(b, err) }()
	rig.waitFor("the fragment", func(*Stats, *engine.Core) bool { return rig.count("/s/1/slow") == 2 })
	rig.serve("/p/3/a", "anew"+include("/s/2/thumb"))
	rig.listService.Purge("/p/3/a", 0, 0)
	if b := <-got; b != "anewnew<nil>" {
		t.Errorf("the client got %q, want the new copies and no error", b)
	}
	close(proceed)
}

// When the client leaves during the assembly, the open requests for fragments are cancelled, and no
// more are sent.
func TestPageClientLeaves(t *testing.T) {
	rig := newPageRig(t, "", "(parallel 2)")
	for i := range 6 {
		rig.handle(fmt.Sprintf("/s/1/h%d", i), func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	rig.serve("/p/1/a", "a"+include("/s/1/h0")+include("/s/1/h1")+include("/s/1/h2")+include("/s/1/h3"))
	conn := rig.dial()
	fmt.Fprint(conn, "GET /p/1/a HTTP/1.1\r\nHost: h\r\n\r\n")
	rig.waitFor("two fragments", func(*Stats, *engine.Core) bool { return rig.count("/s/1/h0")+rig.count("/s/1/h1") == 2 })
	conn.Close()
	rig.waitFor("the cancelled fragments", func(*Stats, *engine.Core) bool {
		rig.mu.Lock()
		defer rig.mu.Unlock()
		return len(rig.edge.requests) == 0 && len(rig.edge.pages) == 0 && rig.cancelled["/s/1/h0"]+rig.cancelled["/s/1/h1"] == 2
	})
	if n := rig.count("/s/1/h2") + rig.count("/s/1/h3"); n > 0 {
		t.Errorf("%d fragments were fetched after the client had left, want 0", n)
	}
}

// For a slow client the buffered fragments stay bounded, and the page is complete in the end, even
// after its deadline.
func TestPageSlowClient(t *testing.T) {
	rig := newPageRig(t, "(socket-kb 256)", "(held-kb 64) (whole-kb 16)")
	part := strings.Repeat("0123456789abcdef", 8<<10) // 128 KB
	var text strings.Builder
	for i := range 24 {
		path := fmt.Sprintf("/s/1/b%d", i)
		rig.serve(path, part)
		text.WriteString(include(path))
	}
	rig.serve("/p/1/a", text.String())
	conn, err := net.Dial("tcp4", rig.edge.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprint(conn, "GET /p/1/a HTTP/1.1\r\nHost: h\r\nSpool-Deadline: 900\r\nConnection: close\r\n\r\n")
	time.Sleep(600 * time.Millisecond)
	var buffered int64
	rig.edge.Query(func(*Stats, *engine.Core) {
		for pg := range rig.edge.pages {
			buffered = pg.assembly.MaxWaiting()
		}
	})
	if buffered == 0 || buffered > 64<<10+8*128<<10+128<<10 {
		t.Errorf("%d bytes are buffered, want above 0 and at most 1216 KB", buffered)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // past the page's deadline
	b, err := io.ReadAll(res.Body)
	if err != nil || string(b) != strings.Repeat(part, 24) {
		t.Errorf("%d bytes of body, error %v; want 24 whole parts", len(b), err)
	}
}

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

// shop is a member that has pages and fragments, and notes what it is asked for.
type shop struct {
	*testRig
	srv   *httptest.Server
	mu    sync.Mutex
	asked map[string]int
	heads map[string]http.Header
	body  map[string]func(w http.ResponseWriter, r *http.Request)
	gone  map[string]int // asks that were given up while they were out
}

const pageHead = `content="ESI/1.0"`

func newShop(t *testing.T, limits, pages string) *shop {
	had := testPages
	testPages = `(class page (pages) (deadline 3000)) (route "/p/{group}/{object}" (class page)) (pages ` + pages + `)`
	defer func() { testPages = had }()
	s := &shop{testRig: newRig(t, 0, limits), asked: map[string]int{}, heads: map[string]http.Header{}, gone: map[string]int{},
		body: map[string]func(http.ResponseWriter, *http.Request){}}
	s.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.Path
		s.mu.Lock()
		s.asked[path]++
		s.heads[path] = r.Header.Clone()
		f := s.body[path]
		s.mu.Unlock()
		w.Header().Set("Cache-Status", "b0; hit")
		if f == nil {
			http.NotFound(w, r)
			return
		}
		f(w, r)
		if r.Context().Err() != nil {
			s.mu.Lock()
			s.gone[path]++
			s.mu.Unlock()
		}
	}))
	t.Cleanup(func() { s.stop(); s.srv.CloseClientConnections(); s.srv.Close() })
	s.set("b0", "box", "z", "serving", s.srv.Listener.Addr().String())
	s.waitFor("the member", func(_ *Stats, c *engine.Core) bool { _, ok := c.Member("b0"); return ok })
	return s
}

func (s *shop) has(path, text string, fields ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body[path] = func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i+1 < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		if strings.HasPrefix(path, "/p/") && w.Header().Get("Surrogate-Control") == "" {
			w.Header().Set("Surrogate-Control", pageHead)
		}
		io.WriteString(w, text)
	}
}

func (s *shop) does(path string, f func(w http.ResponseWriter, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body[path] = f
}

func (s *shop) times(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[path]
}

// ask is a request of a page's client.
func (s *shop) ask(method, path string, fields ...string) (*http.Response, string, error) {
	s.t.Helper()
	req, _ := http.NewRequest(method, "http://"+s.e.Addr()+path, nil)
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	res, err := (&http.Client{Transport: tr, Timeout: 8 * time.Second}).Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

func (s *shop) want(path, text string, fields ...string) *http.Response {
	s.t.Helper()
	res, got, err := s.ask("GET", path, fields...)
	if err != nil || res.StatusCode != 200 || got != text {
		s.t.Fatalf("%s: %.300q %v %v, want %.300q", path, got, res, err, text)
	}
	return res
}

func inc(path string, more ...string) string {
	return `<esi:include src="` + path + `"` + strings.Join(more, "") + `/>`
}

// Pages as clients get them: fragments in order, the same ten times asked for once, with
// alternatives and without; what stands around; nested; compressed.
func TestPages(t *testing.T) {
	s := newShop(t, "", "")
	s.has("/p/1/a", "<h>"+strings.Repeat(inc("/s/1/x"), 10)+inc("/s/1/no", ` alt="/s/1/y"`)+inc("/s/1/none", ` onerror="continue"`)+
		"<esi:try><esi:attempt>"+inc("/s/1/none2")+"</esi:attempt><esi:except>E</esi:except></esi:try></h>", "Set-Cookie", "t=1")
	s.has("/s/1/x", "x", "Set-Cookie", "frag=1")
	s.has("/s/1/y", "y")
	res := s.want("/p/1/a", "<h>xxxxxxxxxxyE</h>", "Cookie", "secret=1", "Accept-Encoding", "br")
	if n := s.times("/s/1/x"); n != 1 {
		t.Errorf("a fragment that is named ten times was asked for %d times", n)
	}
	if c := res.Header["Set-Cookie"]; len(c) != 1 || c[0] != "t=1" || res.Header.Get("Surrogate-Control") != "" {
		t.Errorf("head %v", res.Header)
	}
	s.mu.Lock()
	for path, h := range s.heads {
		if h.Get("Cookie") != "" || h.Get("Accept-Encoding") != "gzip" || !strings.Contains(h.Get("Surrogate-Capability"), `="ESI/1.0"`) {
			t.Errorf("%s was asked for with %v", path, h)
		}
	}
	s.mu.Unlock()

	zip := func(text string) string {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		z.Write([]byte(text))
		z.Close()
		return b.String()
	}
	s.has("/p/1/z", zip("[<esi:vars>$(QUERY_STRING{q})</esi:vars>"+inc("/p/1/in")+"]"), "Content-Encoding", "gzip")
	s.has("/p/1/in", zip("in"+inc("/s/1/big")), "Content-Encoding", "gzip")
	big := strings.Repeat("0123456789abcdef", 20<<10) // 320 KB: it streams
	s.has("/s/1/big", big)
	s.want("/p/1/z?q=%3Cb%3E", "[%3Cb%3Ein"+big+"]")
	bomb := zip(strings.Repeat("x", 4<<20))
	s.has("/p/1/bomb", "a"+inc("/s/1/bomb", ` onerror="continue"`)+"b")
	s.has("/s/1/bomb", bomb, "Content-Encoding", "gzip")
	s.want("/p/1/bomb", "ab")

	// what says nothing of ESI goes on as it is, and so does what is no page's class
	s.has("/p/1/plain", "<esi:include src='/s/1/x'/>", "Surrogate-Control", "max-age=5", "ETag", `"e"`)
	if res := s.want("/p/1/plain", "<esi:include src='/s/1/x'/>"); res.Header.Get("ETag") != `"e"` || res.ContentLength != 27 {
		t.Error(res.Header, res.ContentLength)
	}
	s.has("/s/1/raw", inc("/s/1/x"), "Surrogate-Control", pageHead)
	s.want("/s/1/raw", inc("/s/1/x"))
	if res, _, _ := s.ask("GET", "/p/1/absent"); res.StatusCode != 404 {
		t.Error(res.Status)
	}

	// a required fragment is missing: an answer that says so, or one that is seen to be cut
	s.has("/p/1/m", inc("/s/1/none"))
	if res, _, err := s.ask("GET", "/p/1/m"); err != nil || res.StatusCode != 502 || !strings.Contains(res.Header.Get("Cache-Status"), "detail=page") {
		t.Error(res, err)
	}
	s.has("/p/1/m2", "begun"+inc("/s/1/none"))
	if _, got, err := s.ask("GET", "/p/1/m2"); err == nil {
		t.Errorf("it ends as if it were whole: %q", got)
	}
	s.has("/p/1/mal", "a<esi:what/>")
	if res, _, err := s.ask("GET", "/p/1/mal"); err == nil && res.StatusCode != 502 {
		t.Error(res, err)
	}
	// a HEAD that fails has no body: what follows on the connection is the next answer
	got := s.talk("HEAD /p/1/m HTTP/1.1\r\nHost: h\r\n\r\nHEAD /p/1/absent HTTP/1.1\r\nHost: h\r\n\r\nGET /p/1/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	br := bufio.NewReader(strings.NewReader(got))
	for i, method := range []string{"HEAD", "HEAD", "GET"} {
		res, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("answer %d: %v in %.600q", i, err, got)
		}
		b, err := io.ReadAll(res.Body)
		if i < 2 && res.StatusCode < 400 || i == 2 && string(b) != "<h>xxxxxxxxxxyE</h>" {
			t.Errorf("answer %d: %v %q %v", i, res.Status, b, err)
		}
	}
	s.e.Query(func(st *Stats, c *engine.Core) {
		if len(s.e.requests) > 0 || len(s.e.pages) > 0 {
			t.Errorf("%d requests, %d pages are left", len(s.e.requests), len(s.e.pages))
		}
	})
}

// What clients ask of the whole: HEAD, ranges, conditions; how long it may be kept.
func TestPageHeads(t *testing.T) {
	s := newShop(t, "", "")
	s.has("/p/1/a", "0123"+inc("/s/1/x")+"89", "Cache-Control", "max-age=60", "ETag", `"t1"`, "Last-Modified", "Tue, 01 Dec 2026 10:00:00 GMT")
	s.has("/s/1/x", "4567", "Cache-Control", "max-age=30", "ETag", `"x1"`, "Last-Modified", "Tue, 01 Dec 2026 11:00:00 GMT")
	res, got, err := s.ask("HEAD", "/p/1/a")
	if err != nil || got != "" || res.ContentLength != 10 || res.Header.Get("Last-Modified") != "Tue, 01 Dec 2026 11:00:00 GMT" {
		t.Fatal(res, got, err)
	}
	tag := res.Header.Get("ETag")
	if cc := res.Header.Get("Cache-Control"); !strings.HasPrefix(tag, `W/"p`) || cc != "max-age=29" && cc != "max-age=30" {
		t.Fatal(tag, res.Header)
	}
	for _, k := range []struct {
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
		res, got, err := s.ask("GET", "/p/1/a", k.fields...)
		if err != nil || res.StatusCode != k.status || got != k.text {
			t.Errorf("%v: %v %q %v", k.fields, res.Status, got, err)
		}
		if k.status == 206 && !strings.HasSuffix(res.Header.Get("Content-Range"), "/10") {
			t.Error(res.Header)
		}
	}
	s.mu.Lock()
	for path, h := range s.heads {
		if h.Get("Range")+h.Get("If-None-Match")+h.Get("If-Modified-Since") != "" {
			t.Errorf("%s was asked for with %v", path, h)
		}
	}
	s.mu.Unlock()
	s.has("/s/1/x", "4567", "Cache-Control", "private, max-age=30") // of another version: no tag
	if res, _, _ = s.ask("HEAD", "/p/1/a"); !strings.HasPrefix(res.Header.Get("Cache-Control"), "private") || res.Header.Get("ETag") != "" {
		t.Error(res.Header)
	}
	s.has("/s/1/x", "4567")
	if res, _, _ = s.ask("GET", "/p/1/a", "Range", "bytes=0-3"); res.Header.Get("Cache-Control") != "no-cache" {
		t.Error(res.Header)
	}
}

// One fragment never answers: the page is in time without it, or with its alternative;
// nothing is left out for it.
func TestFragmentThatHangs(t *testing.T) {
	s := newShop(t, "", "")
	s.does("/s/1/hang", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	s.does("/s/1/half", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	s.has("/s/1/y", "y")
	s.has("/p/1/a", "a"+inc("/s/1/hang", ` alt="/s/1/y"`)+inc("/s/1/half", ` onerror="continue"`)+"b")
	began := time.Now()
	s.want("/p/1/a", "ayb", "Spool-Deadline", "1500")
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("it took %v", took)
	}
	s.has("/p/1/b", inc("/s/1/hang"))
	if res, _, err := s.ask("GET", "/p/1/b", "Spool-Deadline", "600"); err != nil || res.StatusCode != 504 {
		t.Error(res, err)
	}
	s.waitFor("nothing to be left", func(*Stats, *engine.Core) bool { return len(s.e.requests) == 0 && len(s.e.pages) == 0 })
}

// 200 fragments, at most 8 of them at once; and the client hears the first before the
// last is there.
func TestManyFragments(t *testing.T) {
	s := newShop(t, "", "")
	var text, want strings.Builder
	var at, most int
	for i := range 200 {
		path := fmt.Sprintf("/s/%d/f%d", i, i)
		s.does(path, func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			at++
			most = max(most, at)
			s.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			s.mu.Lock()
			at--
			s.mu.Unlock()
			fmt.Fprintf(w, "<%d>", i)
		})
		text.WriteString(inc(path))
		fmt.Fprintf(&want, "<%d>", i)
	}
	s.has("/p/1/a", text.String())
	s.want("/p/1/a", want.String())
	if most > 8 || most < 4 {
		t.Errorf("%d were out at once", most)
	}
}

// A purge while the page is put together: a fragment that is here, and has not been sent,
// is asked for again, and the old one is not sent; a template begins anew.
func TestPurgeOfFragment(t *testing.T) {
	s := newShop(t, "", "")
	let := make(chan bool)
	s.does("/s/1/slow", func(w http.ResponseWriter, r *http.Request) { <-let; io.WriteString(w, "S") })
	s.has("/s/2/thumb", "old")
	s.has("/p/3/a", inc("/s/1/slow")+inc("/s/2/thumb"))
	got := make(chan string, 1)
	go func() { _, b, err := s.ask("GET", "/p/3/a"); got <- fmt.Sprint(b, err) }()
	s.waitFor("the fragment", func(*Stats, *engine.Core) bool { return s.times("/s/2/thumb") == 1 && s.times("/s/1/slow") == 1 })
	time.Sleep(50 * time.Millisecond)
	s.has("/s/2/thumb", "new")
	s.list.Purge("/s/2/thumb", 0, 0)
	s.waitFor("it to be asked for again", func(*Stats, *engine.Core) bool { return s.times("/s/2/thumb") == 2 })
	let <- true
	if b := <-got; b != "Snew<nil>" {
		t.Errorf("the client has %q", b)
	}
	go func() { _, b, err := s.ask("GET", "/p/3/a"); got <- fmt.Sprint(b, err) }()
	s.waitFor("the fragment", func(*Stats, *engine.Core) bool { return s.times("/s/1/slow") == 2 })
	s.has("/p/3/a", "anew"+inc("/s/2/thumb"))
	s.list.Purge("/p/3/a", 0, 0)
	if b := <-got; b != "anewnew<nil>" {
		t.Errorf("the client has %q", b)
	}
	close(let)
}

// A client that leaves half-way: what is out for it ends, and nothing more is asked for.
func TestPageClientLeaves(t *testing.T) {
	s := newShop(t, "", "(parallel 2)")
	for i := range 6 {
		s.does(fmt.Sprintf("/s/1/h%d", i), func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	s.has("/p/1/a", "a"+inc("/s/1/h0")+inc("/s/1/h1")+inc("/s/1/h2")+inc("/s/1/h3"))
	c := s.dial()
	fmt.Fprint(c, "GET /p/1/a HTTP/1.1\r\nHost: h\r\n\r\n")
	s.waitFor("two fragments", func(*Stats, *engine.Core) bool { return s.times("/s/1/h0")+s.times("/s/1/h1") == 2 })
	c.Close()
	s.waitFor("nothing to be out", func(*Stats, *engine.Core) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.e.requests) == 0 && len(s.e.pages) == 0 && s.gone["/s/1/h0"]+s.gone["/s/1/h1"] == 2
	})
	if n := s.times("/s/1/h2") + s.times("/s/1/h3"); n > 0 {
		t.Errorf("%d were asked for after the client had gone", n)
	}
}

// A slow client while fragments pile up: what is held stays bounded, and the page comes
// whole in the end.
func TestPageSlowClient(t *testing.T) {
	s := newShop(t, "(socket-kb 256)", "(held-kb 64) (whole-kb 16)")
	part := strings.Repeat("0123456789abcdef", 8<<10) // 128 KB
	var text strings.Builder
	for i := range 24 {
		path := fmt.Sprintf("/s/1/b%d", i)
		s.has(path, part)
		text.WriteString(inc(path))
	}
	s.has("/p/1/a", text.String())
	c, err := net.Dial("tcp4", s.e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(32 << 10)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprint(c, "GET /p/1/a HTTP/1.1\r\nHost: h\r\nSpool-Deadline: 900\r\nConnection: close\r\n\r\n")
	time.Sleep(600 * time.Millisecond)
	var held int64
	s.e.Query(func(*Stats, *engine.Core) {
		for pg := range s.e.pages {
			held = pg.assembly.Most()
		}
	})
	if held == 0 || held > 64<<10+8*128<<10+128<<10 {
		t.Errorf("%d bytes are held", held)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // its own time: past the page's deadline
	b, err := io.ReadAll(res.Body)
	if err != nil || string(b) != strings.Repeat(part, 24) {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// testRig is a router with test servers in the place of the list service, the caches, a parent and
// the origin, all in this process.
type testRig struct {
	t           testing.TB
	edge        *Edge
	records     *trafficlog.Writer // what the test servers have received and sent
	listService *testserver.ListService
	caches      map[string]*testserver.Server
	origin      *testserver.Server
	log         *bytes.Buffer // the router's log, guarded by logMu
	logMu       sync.Mutex
	done        chan error // receives the result of Run
	stopped     bool
}

// lockedWriter serializes the writes to w.
type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

var testClasses = []testserver.Class{{Name: "still", KB: 4}, {Name: "film", KB: 200}, {Name: "order", Write: true, Window: 2000}}

// extraSettings is appended to the settings of new rigs.
var extraSettings string

const routerSettings = `
(router (name e1) (zone z) (listen "127.0.0.1:0") (admin "127.0.0.1:0") (list "%s"))
(zone z (routers 1))
(limits (linger 200) (connect 150) %s)
(fill (flow 100) (direct) (joins) (range-kb 16))
(class still (aim 400) (deadline 3000))
(class film (parts) (aim 600) (deadline 6000))
(class order (write) (effect guarded) (group all) (window 2000) (deadline 1500))
(route "/s/{group}/{object}" (class still))
(route "/v/{group}/{object}/{part}" (class film))
(route "/o/{object}" (class order))
(route "/r/{object}" (class film) (ranges))
`

// newRig starts a router with the given number of caches and additional limits.
func newRig(t testing.TB, cacheCount int, limits string) *testRig {
	rig := &testRig{t: t, records: trafficlog.NewWriter(nil), caches: map[string]*testserver.Server{}, log: &bytes.Buffer{}, done: make(chan error, 1)}
	var err error
	if rig.listService, err = testserver.StartListService(testserver.ListServiceConfig{ID: "list"}, rig.records); err != nil {
		t.Fatal(err)
	}
	rig.origin = rig.start(testserver.Config{ID: "o", Role: "origin"})
	rig.setMember("o", "origin", "", "serving", rig.origin.Addr())
	parent := rig.start(testserver.Config{ID: "p", Role: "parent", Upstream: rig.origin.Addr()})
	rig.setMember("p", "parent", "", "serving", parent.Addr())
	for i := range cacheCount {
		id := fmt.Sprintf("b%d", i)
		rig.caches[id] = rig.start(testserver.Config{ID: id, Role: "box"})
		rig.setMember(id, "box", "z", "serving", rig.caches[id].Addr())
	}
	var settings config.Settings
	if err := config.Read("test.edn", fmt.Sprintf(routerSettings, rig.listService.Addr(), limits)+extraSettings, &settings); err != nil {
		t.Fatal(err)
	}
	log := newAccessLog(lockedWriter{&rig.logMu, rig.log}, 1000, "info")
	if rig.edge, err = New(&settings, log); err != nil {
		t.Fatal(err)
	}
	go func() { rig.done <- rig.edge.Run() }()
	t.Cleanup(func() {
		rig.stop()
		for _, cache := range rig.caches {
			cache.Kill()
		}
		parent.Kill()
		rig.origin.Kill()
		rig.listService.Close()
		log.Close()
		if t.Failed() {
			rig.logMu.Lock()
			t.Logf("log:\n%s", rig.log.String())
			rig.logMu.Unlock()
		}
	})
	rig.waitFor("the endpoint list", func(stats *Stats, core *engine.Core) bool { return core.Rev() >= int64(cacheCount+2) })
	return rig
}

// start starts a test server.
func (r *testRig) start(c testserver.Config) *testserver.Server {
	c.Flow, c.Classes, c.FillTimeout = 100, testClasses, 1000
	s, err := testserver.Start(c, r.records)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// setMember adds a member to the endpoint list, or changes it.
func (r *testRig) setMember(id, kind, zone, state, addr string) {
	r.listService.Set(engine.Row{ID: id, Kind: kind, Zone: zone, State: state, Address: addr}, 0)
}

func (r *testRig) stop() {
	if !r.stopped {
		r.stopped = true
		r.edge.Stop()
		if err := <-r.done; err != nil {
			r.t.Error(err)
		}
	}
}

// waitFor waits up to 5 s for ok to report true, and fails the test if it does not.
func (r *testRig) waitFor(what string, ok func(*Stats, *engine.Core) bool) {
	r.t.Helper()
	for range 500 {
		good := false
		if err := r.edge.Query(func(s *Stats, c *engine.Core) { good = ok(s, c) }); err != nil {
			r.t.Fatal(err)
		}
		if good {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("timed out waiting for %s", what)
}

func (r *testRig) dial() net.Conn {
	c, err := net.Dial("tcp", r.edge.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	r.t.Cleanup(func() { c.Close() })
	return c
}

// exchange sends text on a new connection, and returns all input until the router closes it.
func (r *testRig) exchange(text string) string {
	c := r.dial()
	io.WriteString(c, text)
	b, _ := io.ReadAll(c)
	return string(b)
}

// get sends a GET on a new connection.
func (r *testRig) get(path string) (*http.Response, []byte, error) {
	req, _ := http.NewRequest("GET", "http://"+r.edge.Addr()+path, nil)
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, b, err
}

// countRecords returns how many of the test servers' records match.
func (r *testRig) countRecords(f func(trafficlog.Record) bool) (n int) {
	for _, rec := range r.records.Records() {
		if f(rec) {
			n++
		}
	}
	return n
}

// The first request for an object is a miss, filled from the parent, and the second one a hit. The
// bytes are those of the origin's version.
func TestFillThenHit(t *testing.T) {
	rig := newRig(t, 3, "")
	for i, want := range []string{"fwd=miss", "hit"} {
		for _, path := range []string{"/s/7/a.jpg", "/v/7/film/0"} {
			res, body, err := rig.get(path)
			if err != nil || res.StatusCode != 200 {
				t.Fatal(res, err)
			}
			if cacheStatus := res.Header.Get("Cache-Status"); !strings.Contains(cacheStatus, want) {
				t.Errorf("round %d, %s: Cache-Status %q, want %q in it", i, path, cacheStatus, want)
			}
			if at, ok := testserver.Matches(body, path, 1, 0); !ok {
				t.Errorf("%s: byte %d of the body is not that of the origin's object", path, at)
			}
		}
	}
	if n := rig.countRecords(func(x trafficlog.Record) bool { return x.Event == trafficlog.AttemptReceived && x.Role == "origin" }); n != 2 {
		t.Errorf("the origin was asked %d times, want 2", n)
	}
}

// A HEAD request gets the head of GET without a body, and the connection persists.
func TestHeadAndKeepAlive(t *testing.T) {
	rig := newRig(t, 2, "")
	conn := rig.dial()
	reader := bufio.NewReader(conn)
	for i, method := range []string{"GET", "HEAD", "GET"} {
		fmt.Fprintf(conn, "%s /s/1/a HTTP/1.1\r\nHost: h\r\n\r\n", method)
		req, _ := http.NewRequest(method, "/", nil)
		res, err := http.ReadResponse(reader, req)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		b, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != 200 || res.ContentLength <= 0 || method == "HEAD" && len(b) > 0 || method == "GET" && len(b) == 0 {
			t.Fatalf("response %d: status %d, Content-Length %d, %d bytes of body, error %v; want 200, a length above 0 and a body only for GET", i, res.StatusCode, res.ContentLength, len(b), err)
		}
	}
}

// Pipelined requests are answered in order. A malformed one among them is answered in its turn,
// and the connection is closed after it.
func TestPipelinedBurst(t *testing.T) {
	rig := newRig(t, 2, "")
	got := rig.exchange("GET /s/1/a HTTP/1.1\r\nHost: h\r\n\r\nGET /s/1/b HTTP/1.1\r\nHost: h\r\n\r\n" +
		"GET /s/1/c HTTP/1.1\r\nHost : h\r\n\r\nGET /s/1/d HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(strings.NewReader(got))
	for i, want := range []int{200, 200, 400} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		b, _ := io.ReadAll(res.Body)
		if res.StatusCode != want {
			t.Errorf("response %d: %d, want %d", i, res.StatusCode, want)
		}
		if want == 200 {
			if _, ok := testserver.Matches(b, "/s/1/"+string(rune('a'+i)), 1, 0); !ok {
				t.Errorf("response %d: body is that of another object", i)
			}
		}
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("%q followed the response to the malformed request, want nothing", rest)
	}
}

func TestBadRequests(t *testing.T) {
	rig := newRig(t, 1, "(head-time 300) (body 10)")
	for _, test := range []struct{ name, in, want string }{
		{"two lengths", "POST /o/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"length and chunked", "POST /o/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"bare LF", "GET /s/1/a HTTP/1.1\nHost: h\n\n", "400"},
		{"head 64 KB", "GET /s/1/a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 65536) + "\r\n\r\n", "431"},
		{"target", "GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\nHost: h\r\n\r\n", "414"},
		{"version", "GET /s/1/a HTTP/3.0\r\nHost: h\r\n\r\n", "505"},
		{"coding", "POST /o/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", "501"},
		{"body", "POST /o/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 11\r\n\r\nhello hello", "413"},
		{"chunked body", "POST /o/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello hello\r\n0\r\n\r\n", "413"},
		{"half a request", "GET /s/1/a HTT", "408"},
		{"half a body", "POST /o/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nhe", "408"},
		{"no route", "GET /nowhere HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "404"},
		{"method", "PUT /s/1/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "405"},
		{"no key", "POST /o/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "400"},
	} {
		got := rig.exchange(test.in)
		if !strings.HasPrefix(got, "HTTP/1.1 "+test.want) || !strings.Contains(got, "Connection: close\r\n") {
			t.Errorf("%s: response %.80q, want %s and the connection closed", test.name, got, test.want)
		}
		if strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%s: response %q, want exactly one", test.name, got)
		}
	}
	for _, test := range []struct{ in, detail, body string }{ // the body of a 4xx says what to change
		{"POST /o/1", "no-idempotency-key", "needs an Idempotency-Key: add the field"},
		{"GET /nowhere", "no-route", "no route fits the path"},
		{"GET /v/1/a/x", "bad-part", "write one, from 0"},
		{"PUT /s/1/a", "bad-method", "does not take the method"},
	} {
		if got := rig.exchange(test.in + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); !strings.Contains(got, "detail="+test.detail+"\r\n") || !strings.Contains(got, test.body) {
			t.Errorf("%s: response %q, want detail %s and %q in it", test.in, got, test.detail, test.body)
		}
	}
	if n := rig.countRecords(func(x trafficlog.Record) bool { return x.Event == trafficlog.WriteExecuted }); n > 0 {
		t.Errorf("%d invalid requests were executed at the origin, want 0", n)
	}
}

// A write goes to the origin and runs once. A client that expects 100 (Continue) gets it.
func TestWrite(t *testing.T) {
	rig := newRig(t, 1, "")
	conn := rig.dial()
	fmt.Fprintf(conn, "POST /o/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k1\r\nContent-Length: 5\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n")
	reader := bufio.NewReader(conn)
	if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
		t.Fatal(line, err)
	}
	reader.ReadString('\n')
	io.WriteString(conn, "hello")
	res, err := http.ReadResponse(reader, nil)
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	ran := 0
	for _, record := range rig.records.Records() {
		if record.Event == trafficlog.WriteExecuted {
			ran++
			if record.Key != "k1" || record.Bytes != 5 {
				t.Errorf("the write was executed as %+v, want key k1 and 5 bytes", record)
			}
		}
	}
	if ran != 1 {
		t.Errorf("the write was executed %d times, want 1", ran)
	}
}

// Invalid responses of a cache end its attempt. The client is served by another attempt, or sees
// that its response is incomplete, but never gets other bytes than the object's.
func TestInvalidResponses(t *testing.T) {
	for _, kind := range []string{testserver.ResetBody, testserver.Truncated, testserver.Overlong, testserver.Garbage, testserver.TwoLengths,
		testserver.LengthAndChunked, testserver.BareLF, testserver.LargeHeader, testserver.FastErrors, testserver.AcceptClose} {
		t.Run(kind, func(t *testing.T) {
			rig := newRig(t, 2, "")
			if _, _, err := rig.get("/s/1/a"); err != nil { // so that a cache holds it
				t.Fatal(err)
			}
			for _, cache := range rig.caches {
				cache.Fault(testserver.Fault{Kind: kind, For: 60000})
			}
			failed := 0
			for range 5 {
				res, body, err := rig.get("/s/1/a")
				if res == nil || err != nil {
					failed++
				} else if _, ok := testserver.Matches(body, "/s/1/a", 1, 0); res.StatusCode == 200 && (!ok || int64(len(body)) != res.ContentLength) {
					t.Errorf("other bytes than the object's were relayed")
				}
			}
			if inBody := kind == testserver.ResetBody || kind == testserver.Truncated; inBody && failed == 0 {
				t.Error("no request failed, though the responses of the member were incomplete")
			} else if !inBody && failed > 0 {
				t.Errorf("%d of 5 requests failed, want 0, since no response had begun", failed)
			}
		})
	}
}

// When a client leaves, its request ends and its attempt is cancelled.
func TestClientGone(t *testing.T) {
	rig := newRig(t, 1, "")
	for _, b := range rig.caches {
		b.Fault(testserver.Fault{Kind: testserver.Hang, For: 60000})
	}
	conn := rig.dial()
	io.WriteString(conn, "GET /s/1/a HTTP/1.1\r\nHost: h\r\n\r\n")
	rig.waitFor("the attempt", func(s *Stats, _ *engine.Core) bool { return s.Held == 1 })
	conn.Close()
	rig.waitFor("the end of the request", func(s *Stats, _ *engine.Core) bool { return s.Held == 0 && s.Gone == 1 && s.Connections == 0 })
}

// Reading from a member pauses while its client is slow. No more than the limit is buffered, and
// the client gets the whole response in the end.
func TestBackpressure(t *testing.T) {
	rig := newRig(t, 1, "(buffer 65536)")
	conn := rig.dial().(*net.TCPConn)
	conn.SetReadBuffer(4096)
	const path = "/v/1/long/0"
	for range 2 {
		if _, _, err := rig.get(path); err != nil {
			t.Fatal(err)
		}
	}
	io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	time.Sleep(300 * time.Millisecond)
	rig.edge.Query(func(*Stats, *engine.Core) {
		for client := range rig.edge.clients {
			if waiting := client.output.Len(); waiting > 65536+len(rig.edge.scratch) {
				t.Errorf("%d bytes are buffered for a slow client, want at most 64 KB and one read", waiting)
			}
		}
	})
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if at, ok := testserver.Matches(body, path, 1, 0); !ok || int64(len(body)) != res.ContentLength {
		t.Errorf("%d bytes of %d, first wrong byte at %d", len(body), res.ContentLength, at)
	}
}

// A cache that drains gets no new attempts, and no idle connections to it are kept.
func TestDrainedCache(t *testing.T) {
	rig := newRig(t, 2, "")
	for i := range 20 {
		if _, _, err := rig.get(fmt.Sprintf("/s/1/x%d", i)); err != nil {
			t.Fatal(err)
		}
	}
	before := rig.edge.core.Rev()
	rig.setMember("b0", "box", "z", "draining", rig.caches["b0"].Addr())
	rig.waitFor("the drain", func(_ *Stats, c *engine.Core) bool { return c.Rev() > before })
	drainedAt := trafficlog.Now()
	rig.edge.Query(func(*Stats, *engine.Core) {
		if p := rig.edge.pools[rig.caches["b0"].Addr()]; p != nil && len(p.idle) > 0 {
			t.Errorf("%d idle connections to a draining cache are kept, want 0", len(p.idle))
		}
	})
	for i := range 20 {
		if res, _, err := rig.get(fmt.Sprintf("/s/1/x%d", i)); err != nil || res.StatusCode != 200 {
			t.Fatal(res, err)
		}
	}
	if n := rig.countRecords(func(x trafficlog.Record) bool {
		return x.Event == trafficlog.AttemptReceived && (x.Subject == "b0" || x.Source == "b0") && x.Time > drainedAt
	}); n > 0 {
		t.Errorf("%d attempts at a draining cache, want 0", n)
	}
}

// After a purge no older copy is used, though the caches still hold one.
func TestPurge(t *testing.T) {
	rig := newRig(t, 2, "")
	rig.get("/s/5/a")
	made := rig.origin.Purge("/s/5/a", 5, 0)
	rig.listService.Purge("/s/5/a", 5, made)
	time.Sleep(300 * time.Millisecond)
	res, body, err := rig.get("/s/5/a")
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := testserver.Matches(body, "/s/5/a", 2, 0); !ok {
		t.Errorf("answered from copy %s after the purge, want version 2", res.Header.Get("Spool-Copy"))
	}
}

// A discovery stream breaks off within a line, and then resumes with an older revision of the
// endpoint list. A drain that was announced before stays in force.
func TestListStreamCutAndReset(t *testing.T) {
	rig := newRig(t, 2, "(list-backoff 20)")
	rig.setMember("b0", "box", "z", "draining", rig.caches["b0"].Addr())
	drained := func(_ *Stats, c *engine.Core) bool { m, _ := c.Member("b0"); return m.State != 0 }
	rig.waitFor("the drain", drained)
	rig.listService.RollBackRevision(2)
	rig.listService.CutStreams("")
	rig.waitFor("the cut", func(*Stats, *engine.Core) bool { return rig.edge.listState.Load() != "following" })
	time.Sleep(100 * time.Millisecond)
	rig.listService.RollBackRevision(0)
	rig.waitFor("the stream", func(*Stats, *engine.Core) bool { return rig.edge.listState.Load() == "following" })
	rig.waitFor("the drain to be still in force", drained)
	rig.setMember("b0", "box", "z", "serving", rig.caches["b0"].Addr())
	rig.listService.CutStreams("") // a router that ignored outdated updates gets a full snapshot again
	rig.waitFor("the cache to serve again", func(_ *Stats, c *engine.Core) bool { m, _ := c.Member("b0"); return m.State == 0 })
}

// On a drain, requests in flight are answered, idle connections are closed, no connections are
// accepted, and Run returns.
func TestDrain(t *testing.T) {
	rig := newRig(t, 1, "")
	idle := rig.dial()
	for _, b := range rig.caches {
		b.Fault(testserver.Fault{Kind: testserver.Hang, For: 300})
	}
	busy := rig.dial()
	io.WriteString(busy, "GET /s/1/a HTTP/1.1\r\nHost: h\r\n\r\n")
	rig.waitFor("the request", func(s *Stats, _ *engine.Core) bool { return s.Held == 1 && s.Connections == 2 })
	rig.edge.Drain()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	res, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Errorf("request in flight: response %v, error %v; want 200 and the connection closed", res, err)
	}
	io.Copy(io.Discard, res.Body)
	rig.stopped = true
	if err := <-rig.done; err != nil {
		t.Error(err)
	}
	if _, err := net.DialTimeout("tcp", rig.edge.Addr(), time.Second); err == nil {
		t.Error("connections are still accepted")
	}
}

func TestAdmin(t *testing.T) {
	rig := newRig(t, 1, "")
	rig.get("/s/1/a")
	do := func(method, path string) (int, string) {
		req, _ := http.NewRequest(method, "http://"+rig.edge.AdminAddr()+path, nil)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(b)
	}
	if code, _ := do("PURGE", "/s/1/a"); code != 204 {
		t.Errorf("PURGE: status %d, want 204", code)
	}
	res, _, _ := rig.get("/s/1/a")
	if cacheStatus := res.Header.Get("Cache-Status"); strings.Contains(cacheStatus, "b0; hit") || !strings.Contains(cacheStatus, "fwd=miss") {
		t.Errorf("Cache-Status after PURGE %s, want fwd=miss and no hit at b0", cacheStatus)
	}
	if code, text := do("GET", "/state"); code != 200 || !strings.Contains(text, `"Served":2`) {
		t.Errorf("/state: status %d, body %s; want 200 and 2 requests served", code, text)
	}
	if code, text := do("GET", "/members"); code != 200 || !strings.Contains(text, `"ID":"b0"`) {
		t.Errorf("/members: status %d, body %s; want 200 and member b0", code, text)
	}
}

// A purge arrives during a fill. The request that began before it may get the old copy, but no
// request after the purge grace does, and the cache does not keep that copy.
func TestPurgeDuringFill(t *testing.T) {
	rig := newRig(t, 1, "")
	const path = "/s/5/slow"
	rig.origin.Fault(testserver.Fault{Kind: testserver.Pauses, For: 400, Every: 1000, Length: 400})
	first := make(chan string, 1)
	go func() {
		res, _, err := rig.get(path)
		if err != nil {
			first <- err.Error()
			return
		}
		first <- res.Header.Get("Spool-Copy")
	}()
	rig.waitFor("the fill", func(s *Stats, _ *engine.Core) bool { return s.Held == 1 })
	made := rig.origin.Purge(path, 5, 0)
	rig.listService.Purge(path, 5, made)
	for _, b := range rig.caches {
		b.Purge(path, 5, made)
	}
	if v := <-first; !strings.HasPrefix(v, "v=") {
		t.Errorf("the request in flight was answered from copy %q, want any version", v)
	}
	time.Sleep(300 * time.Millisecond)
	for range 3 {
		res, body, err := rig.get(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := testserver.Matches(body, path, 2, 0); !ok {
			t.Errorf("answered from copy %s after the purge, want version 2", res.Header.Get("Spool-Copy"))
		}
	}
}

// Idle connections hold no buffers. Requests are served beside ten thousand of them, and all are
// closed after client-idle.
func TestTenThousandIdle(t *testing.T) {
	conns := 10_000
	var limit unix.Rlimit
	unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if maxConns := int(limit.Cur)/2 - 200; maxConns < conns {
		conns = maxConns
		t.Logf("only %d connections, because of the descriptor limit", conns)
	}
	rig := newRig(t, 1, "(client-idle 6000) (connections-per-address 20000)")
	rig.get("/s/1/a")
	addr, _ := net.ResolveTCPAddr("tcp4", rig.edge.Addr())
	sockaddr := &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	for i := range conns {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unix.Close(fd) })
		if err := unix.Connect(fd, sockaddr); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	rig.waitFor("the connections", func(s *Stats, _ *engine.Core) bool { return s.Connections >= uint64(conns) })
	for i := range 20 {
		if res, _, err := rig.get(fmt.Sprintf("/s/1/x%d", i)); err != nil || res.StatusCode != 200 {
			t.Fatal(res, err)
		}
	}
	bufferBytes := 0
	rig.edge.Query(func(*Stats, *engine.Core) {
		for c := range rig.edge.clients {
			bufferBytes += cap(c.unparsed) + c.output.Cap()
		}
	})
	if bufferBytes > 64<<10 {
		t.Errorf("idle connections hold %d bytes of buffers, want at most 64 KB", bufferBytes)
	}
	for range 40 { // client-idle is 6 s
		time.Sleep(500 * time.Millisecond)
		connections := uint64(1)
		rig.edge.Query(func(s *Stats, _ *engine.Core) { connections = s.Connections })
		if connections == 0 {
			return
		}
	}
	t.Error("idle connections are still open")
}

// Attempts that wait for a connection to a member when it begins to drain do not reach it later.
// The module sends them elsewhere.
func TestDrainWhileConnecting(t *testing.T) {
	rig := newRig(t, 2, "(upstream 1)")
	for _, b := range rig.caches {
		b.Fault(testserver.Fault{Kind: testserver.Hang, For: 800})
	}
	var wg sync.WaitGroup
	for i := range 12 { // each cache has one connection, for which the others wait
		wg.Go(func() { rig.get(fmt.Sprintf("/s/1/w%d", i)) })
	}
	rig.waitFor("attempts that wait", func(*Stats, *engine.Core) bool {
		pool := rig.edge.pools[rig.caches["b0"].Addr()]
		return pool != nil && len(pool.waiting) > 0
	})
	rig.setMember("b0", "box", "z", "draining", rig.caches["b0"].Addr())
	rig.waitFor("the drain", func(_ *Stats, c *engine.Core) bool { m, _ := c.Member("b0"); return m.State != 0 })
	drainedAt := trafficlog.Now()
	rig.edge.Query(func(*Stats, *engine.Core) {
		if pool := rig.edge.pools[rig.caches["b0"].Addr()]; pool != nil && len(pool.waiting) > 0 {
			t.Errorf("%d attempts still wait for a draining cache, want 0", len(pool.waiting))
		}
	})
	wg.Wait()
	if n := rig.countRecords(func(x trafficlog.Record) bool {
		return x.Event == trafficlog.AttemptReceived && x.Subject == "b0" && x.Time > drainedAt+50
	}); n > 0 {
		t.Errorf("%d attempts reached the cache later than 50 ms after it began to drain, want 0", n)
	}
}

// An attempt that may be sent only within 50 ms, and waits longer for a connection, is not sent.
func TestSendWindowWhileWaiting(t *testing.T) {
	rig := newRig(t, 1, "(upstream 1)")
	rig.caches["b0"].Fault(testserver.Fault{Kind: testserver.Hang, For: 800})
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() { rig.get(fmt.Sprintf("/s/1/l%d", i)) })
	}
	rig.waitFor("attempts that wait", func(*Stats, *engine.Core) bool {
		pool := rig.edge.pools[rig.caches["b0"].Addr()]
		return pool != nil && len(pool.waiting) > 0
	})
	var attempt *upstreamAttempt
	rig.edge.Query(func(*Stats, *engine.Core) {
		for id, request := range rig.edge.requests {
			rig.edge.sendAttempt(&spool.Send{ID: id, Cache: "b0", Source: "b0", Within: 50})
			attempt = request.attempts[len(request.attempts)-1]
			return
		}
	})
	time.Sleep(200 * time.Millisecond)
	rig.edge.Query(func(*Stats, *engine.Core) {
		if !attempt.done || attempt.written {
			t.Errorf("attempt after the time within which it had to be written: done %v, written %v; want done and not written", attempt.done, attempt.written)
		}
	})
	wg.Wait()
}

// GETs are pipelined on one connection to a member, up to the limit. Each gets its own object, and
// the response to one whose client leaves is discarded.
func TestPipelinedToMember(t *testing.T) {
	rig := newRig(t, 1, "(upstream 1) (pipeline 8)")
	for i := range 12 {
		rig.get(fmt.Sprintf("/s/1/p%d", i))
	}
	rig.caches["b0"].Fault(testserver.Fault{Kind: testserver.Pauses, For: 300, Every: 1000, Length: 300})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			path := fmt.Sprintf("/s/1/p%d", i)
			res, body, err := rig.get(path)
			if err != nil || res.StatusCode != 200 {
				t.Errorf("%s: response %v, error %v; want 200", path, res, err)
			} else if _, ok := testserver.Matches(body, path, 1, 0); !ok {
				t.Errorf("%s: response for another object", path)
			}
		})
	}
	pipelined := 0
	leaving := rig.dial()
	io.WriteString(leaving, "GET /s/1/p3 HTTP/1.1\r\nHost: h\r\n\r\n")
	rig.waitFor("pipelined attempts", func(*Stats, *engine.Core) bool {
		if p := rig.edge.pools[rig.caches["b0"].Addr()]; p != nil {
			for u := range p.connections {
				pipelined = max(pipelined, len(u.pipelined))
			}
		}
		return pipelined >= 7
	})
	leaving.Close()
	wg.Wait()
	if res, _, err := rig.get("/s/1/p1"); err != nil || !strings.Contains(res.Header.Get("Cache-Status"), "hit") {
		t.Errorf("request afterwards: response %v, error %v; want a hit", res, err)
	}
	rig.waitFor("the end of all requests", func(s *Stats, _ *engine.Core) bool { return s.Held == 0 })
}

// A pipelined request whose head is longer than the limit of pipelined input, and arrives in two
// pieces, is read to the end in its turn.
func TestLongPipelinedHead(t *testing.T) {
	rig := newRig(t, 1, "(pipelined 2048) (head-time 2000)")
	rig.caches["b0"].Fault(testserver.Fault{Kind: testserver.Pauses, For: 200, Every: 1000, Length: 200})
	conn := rig.dial()
	io.WriteString(conn, "GET /s/1/a HTTP/1.1\r\nHost: h\r\n\r\n")
	rig.waitFor("the first request", func(s *Stats, _ *engine.Core) bool { return s.Held == 1 })
	io.WriteString(conn, "GET /s/1/b HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 6000))
	reader := bufio.NewReader(conn)
	for i := range 2 {
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("response %d: %v, error %v; want 200", i, res, err)
		}
		io.Copy(io.Discard, res.Body)
		if i == 0 {
			io.WriteString(conn, "x\r\n\r\n")
		}
	}
}

// Parts that are requested with Range have copies of their own, and get a 206 response.
func TestRanges(t *testing.T) {
	rig := newRig(t, 2, "")
	for round, want := range []string{"fwd=miss", "hit"} {
		for part := range 3 {
			req, _ := http.NewRequest("GET", "http://"+rig.edge.Addr()+"/r/film", nil)
			req.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", part*16384, part*16384+16383))
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			res.Body.Close()
			if err != nil || res.StatusCode != 206 || len(body) != 16384 || !strings.Contains(res.Header.Get("Cache-Status"), want) ||
				!strings.HasPrefix(res.Header.Get("Content-Range"), fmt.Sprintf("bytes %d-", part*16384)) {
				t.Fatalf("round %d, part %d: status %d, %d bytes, header %v, error %v; want 206 with the part", round, part, res.StatusCode, len(body), res.Header, err)
			}
		}
	}
}

// Logging never blocks on a slow writer: lines are dropped and counted, and the number is logged.
func TestLogNeverBlocks(t *testing.T) {
	pipeReader, pipeWriter := io.Pipe()
	log := newAccessLog(pipeWriter, 16, "info")
	done := make(chan struct{})
	go func() {
		for range 1000 {
			log.Log.Info("a line")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waited for a reader that is not there")
	}
	if n := log.Dropped(); n < 900 {
		t.Errorf("%d lines dropped, want nearly all", n)
	}
	var written bytes.Buffer
	read := make(chan struct{})
	go func() { io.Copy(&written, pipeReader); close(read) }()
	log.Close()
	pipeWriter.Close()
	<-read
	if !strings.Contains(written.String(), `"msg":"log lines dropped"`) || strings.Count(written.String(), `"a line"`) < 16 {
		t.Errorf("log %s, want the warning about dropped lines and at least 16 lines", written.String())
	}
}

// rawMember adds a member that reads a request on each connection, and then calls serve.
func (r *testRig) rawMember(serve func(net.Conn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					serve(conn)
				}
			}()
		}
	}()
	before := int64(0)
	r.edge.Query(func(_ *Stats, core *engine.Core) { before = core.Rev() })
	r.setMember("raw", "box", "z", "serving", listener.Addr().String())
	r.waitFor("the member", func(_ *Stats, core *engine.Core) bool { return core.Rev() > before })
}

// The head is relayed to the client before any of the body has arrived. If the member then resets
// the connection, the client has the head, and sees that the body is incomplete.
func TestHeadBeforeBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10", "Transfer-Encoding: chunked"} {
		rig := newRig(t, 0, "")
		proceed := make(chan struct{})
		rig.rawMember(func(conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", framing)
			<-proceed
			conn.(*net.TCPConn).SetLinger(0)
		})
		conn := rig.dial()
		io.WriteString(conn, "GET /s/1/a HTTP/1.1\r\nHost: h\r\n\r\n")
		reader := bufio.NewReader(conn)
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, err := reader.Peek(20); err != nil {
			t.Fatalf("%s: no head while the body waits: %v", framing, err)
		}
		close(proceed)
		rig.waitFor("the broken response", func(s *Stats, _ *engine.Core) bool { return s.Broken == 1 })
		time.Sleep(20 * time.Millisecond) // the client reads only now
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("%s: the head is lost: %v", framing, err)
		}
		if _, err := io.ReadAll(res.Body); err != io.ErrUnexpectedEOF {
			t.Errorf("%s: body ended with %v, want an unexpected EOF", framing, err)
		}
	}
}

// For an HTTP/1.0 client, a body without a length ends with the connection. If the member's response
// is incomplete, the connection is reset, so that the body does not seem complete.
func TestIncompleteResponseToHTTP10Client(t *testing.T) {
	rig := newRig(t, 0, "")
	rig.rawMember(func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		time.Sleep(50 * time.Millisecond)
	})
	conn := rig.dial()
	io.WriteString(conn, "GET /s/1/a HTTP/1.0\r\n\r\n")
	if b, err := io.ReadAll(conn); err == nil {
		t.Errorf("incomplete body ended with a clean EOF: %q", b)
	}
}

// A request that is in flight at a cache when it begins to drain is finished there.
func TestDrainWithRequestInFlight(t *testing.T) {
	rig := newRig(t, 1, "")
	rig.get("/s/1/a")
	rig.caches["b0"].Fault(testserver.Fault{Kind: testserver.Pauses, For: 400, Every: 1000, Length: 400})
	got := make(chan string, 1)
	go func() {
		res, _, err := rig.get("/s/1/a")
		if err != nil {
			got <- err.Error()
			return
		}
		got <- res.Header.Get("Cache-Status")
	}()
	rig.waitFor("the attempt", func(s *Stats, _ *engine.Core) bool { return s.Held == 1 })
	rig.setMember("b0", "box", "z", "draining", rig.caches["b0"].Addr())
	rig.waitFor("the drain", func(_ *Stats, c *engine.Core) bool { m, _ := c.Member("b0"); return m.State != 0 })
	if cs := <-got; cs != `"b0";hit` {
		t.Errorf("the request in flight got Cache-Status %q, want a hit at b0", cs)
	}
	rig.waitFor("the end of its connection", func(s *Stats, _ *engine.Core) bool {
		p := rig.edge.pools[rig.caches["b0"].Addr()]
		return p == nil || len(p.connections) == 0
	})
}

// A probe reports whether a member accepts connections.
func TestProbe(t *testing.T) {
	rig := newRig(t, 1, "")
	rig.setMember("dead", "box", "z", "serving", "127.0.0.1:1")
	rig.waitFor("the member", func(_ *Stats, c *engine.Core) bool { return c.Address("dead") != "" })
	for id, want := range map[string]bool{"b0": true, "dead": false, "unknown": false} {
		got := make(chan bool, 1)
		rig.edge.Query(func(*Stats, *engine.Core) {
			rig.edge.observeProbe = func(p spool.Probed) { got <- p.OK && p.Cache == id }
			rig.edge.probe(id)
		})
		if ok := <-got; ok != want {
			t.Errorf("%s: result of the probe is %v, want %v", id, ok, want)
		}
	}
}

// Unsolicited bytes or the end of an idle connection are noticed before it is used again, even if
// the loop has not handled them yet. They are not taken for the next response, and no request is
// lost.
func TestUnsolicitedBytes(t *testing.T) {
	for _, unsolicited := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxxx", ""} {
		rig := newRig(t, 1, "")
		if res, _, err := rig.get("/s/1/a"); err != nil || res.StatusCode != 200 {
			t.Fatal(res, err)
		}
		var before Stats
		rig.edge.Query(func(s *Stats, _ *engine.Core) {
			before = *s
			replaced := 0
			for _, pool := range rig.edge.pools {
				for _, upstream := range pool.idle { // as if the member had sent them while the loop was busy
					pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
					if err != nil {
						t.Fatal(err)
					}
					unix.Write(pair[1], []byte(unsolicited))
					unix.Close(pair[1])
					rig.edge.loop.Remove(upstream.fd)
					unix.Close(upstream.fd)
					upstream.fd = pair[0]
					replaced++
				}
			}
			if replaced == 0 {
				t.Error("no idle connection")
			}
		})
		res, body, err := rig.get("/s/1/a")
		if err != nil || res.StatusCode != 200 || string(body) == "xxx" {
			t.Errorf("unsolicited %q: response %v, error %v, body %.20q; want 200 and the body of the object", unsolicited, res, err, body)
		}
		rig.edge.Query(func(s *Stats, _ *engine.Core) {
			if s.Attempts != before.Attempts+1 || s.Reused != before.Reused {
				t.Errorf("unsolicited %q: %d attempts, %d on idle connections; want 1 on a new connection", unsolicited, s.Attempts-before.Attempts, s.Reused-before.Reused)
			}
		})
	}
}

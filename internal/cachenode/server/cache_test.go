package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"indigospool/internal/cachenode/store"
	"indigospool/internal/config"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// rig runs a cache and a test origin.
type rig struct {
	t          testing.TB
	server     *Server
	origin     *testserver.Server
	trafficLog *trafficlog.Writer
	cfg        Config
	done       chan error
	client     *http.Client
	fs         store.FS         // nil: the folder of cfg
	wallClock  func() time.Time // nil: time.Now
}

var classes = []testserver.Class{{Name: "still", KB: 40}, {Name: "film", KB: 900}, {Name: "order", Write: true, Window: 2000}}

func newRig(t testing.TB, extraSettings string) *rig {
	r := &rig{t: t, trafficLog: trafficlog.NewWriter(nil), client: newClient()}
	var err error
	if r.origin, err = testserver.Start(testserver.Config{ID: "o", Role: "origin", Flow: 500, Classes: classes}, r.trafficLog); err != nil {
		t.Fatal(err)
	}
	var settings Settings
	if err := config.Read("box.edn", fmt.Sprintf("(cache b1 (folder %q) %s)", filepath.Join(t.TempDir(), "store"), extraSettings), &settings); err != nil {
		t.Fatal(err)
	}
	r.cfg = settings.Cache
	r.start()
	t.Cleanup(func() {
		r.stop()
		r.origin.Kill()
	})
	return r
}

func (r *rig) start() {
	r.t.Helper()
	fs, wallClock := r.fs, r.wallClock
	if fs == nil {
		fs = store.Dir(r.cfg.Folder)
	}
	if wallClock == nil {
		wallClock = time.Now
	}
	s, err := start(r.cfg, func(w string) { r.t.Log(w) }, fs, wallClock)
	if err != nil {
		r.t.Fatal(err)
	}
	r.server, r.done = s, make(chan error, 1)
	go func() { r.done <- s.Run() }()
}

func (r *rig) stop() {
	if r.server != nil {
		r.server.Stop()
		if err := <-r.done; err != nil {
			r.t.Error(err)
		}
		r.server = nil
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 8 * time.Second}
}

// fetchFrom sends an attempt that allows a fill to the cache at addr, which may run in another process.
func (r *rig) fetchFrom(addr, path string) (*http.Response, []byte, error) {
	a := fetchheader.Attempt{ID: "q" + path, From: "r1", Class: "still", Object: path, Group: 7, Keep: 2, Join: true, Source: "o", SourceAddress: r.origin.Addr()}
	req, _ := http.NewRequest("GET", "http://"+addr+path, nil)
	req.Header.Set(fetchheader.FillField, string(a.Append(nil)))
	res, err := r.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, b, err
}

// Values of the parameter mayFill of fetch and fetchVerified.
const (
	allowFill  = true
	storedOnly = false // an object that is not stored, or must be validated, gets 504
)

// fetch sends an attempt to the cache. mayFill allows a fill from the origin. change, if not nil,
// modifies the attempt and the request before they are sent.
func (r *rig) fetch(path string, mayFill bool, change func(*fetchheader.Attempt, *http.Request)) (*http.Response, []byte, error) {
	class := strings.Split(path, "/")[1]
	a := fetchheader.Attempt{ID: "q" + path, From: "r1", Class: class, Object: path, Group: 7, Keep: 2, Join: true}
	if mayFill {
		a.Source, a.SourceAddress = "o", r.origin.Addr()
	}
	req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+path, nil)
	if change != nil {
		change(&a, req)
	}
	req.Header.Set(fetchheader.FillField, string(a.Append(nil)))
	res, err := r.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, b, err
}

// fetchVerified fetches a path and compares the body with the origin's content. It returns the
// Cache-Status field and the version.
func (r *rig) fetchVerified(path string, mayFill bool) (status string, version int64) {
	r.t.Helper()
	res, b, err := r.fetch(path, mayFill, nil)
	if err != nil || res.StatusCode != 200 {
		r.t.Fatalf("%s: response %v, error %v; want status 200", path, res, err)
	}
	v, err := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
	if err != nil {
		r.t.Fatal(err)
	}
	if at, ok := testserver.Matches(b, path, v.Number, 0); !ok || int64(len(b)) != res.ContentLength {
		r.t.Fatalf("%s: first wrong byte of version %d at %d; got %d bytes of %d", path, v.Number, at, len(b), res.ContentLength)
	}
	return res.Header.Get(fetchheader.StatusField), v.Number
}

// waitStored waits until the cache has stored n objects since its start.
func (r *rig) waitStored(n uint64) {
	r.t.Helper()
	for range 400 {
		if st, err := r.server.State(); err == nil && st.Kept >= n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatalf("fewer than %d objects are stored after 2 s", n)
}

func (r *rig) purge(text string) int {
	r.t.Helper()
	res, err := r.client.Post("http://"+r.server.Addr()+"/-/purge", "application/json", strings.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	return res.StatusCode
}

// After a restart the cache may have missed purges. It serves a stored object only after the
// source has confirmed it with a 304, or after the cache was told that it has all purges. A
// purged object is not served, neither before nor after a restart.
func TestWarmAfterRestart(t *testing.T) {
	r := newRig(t, "")
	if res, _, err := r.fetch("/still/1/a", storedOnly, nil); err != nil || res.StatusCode != 504 || !strings.Contains(res.Header.Get(fetchheader.StatusField), "fwd=miss") {
		t.Fatalf("an object that is not stored: response %v, error %v; want status 504 and fwd=miss", res, err)
	}
	name := func(i int) string { return fmt.Sprintf("/still/1/o%d", i) }
	for i := range 20 {
		if s, _ := r.fetchVerified(name(i), allowFill); !strings.Contains(s, "fwd=miss") || !strings.Contains(s, "stored") {
			t.Fatalf("%s: Cache-Status %s, want fwd=miss and stored", name(i), s)
		}
	}
	r.fetchVerified("/film/1/big", allowFill)
	r.waitStored(21)
	hit := func(path string) {
		t.Helper()
		if s, _ := r.fetchVerified(path, storedOnly); !strings.Contains(s, "hit") {
			t.Fatalf("%s: Cache-Status %s, want hit", path, s)
		}
	}
	for i := range 20 {
		hit(name(i))
	}
	r.stop()
	madeAt := r.origin.Purge(name(7), 0, 0) // while the cache is down; an origin ignores the group of a purge by object, and the time
	r.start()
	if r.server.Recovered.Objects != 21 {
		t.Errorf("recovered %+v, want 21 objects", r.server.Recovered)
	}
	if res, _, _ := r.fetch(name(1), storedOnly, nil); res.StatusCode != 504 {
		t.Errorf("an object of which a purge may have been missed got status %d, want 504", res.StatusCode)
	}
	for i := range 20 {
		if _, v := r.fetchVerified(name(i), allowFill); i == 7 && v != 2 {
			t.Errorf("got version %d after a purge that the cache missed, want 2", v)
		}
		if i != 7 {
			hit(name(i))
		}
	}
	if st, _ := r.server.State(); st.Renewed != 19 || st.In > 30<<10+int64(testserver.SizeOf(name(7), 40)) {
		t.Errorf("%d objects confirmed by the source, want 19; %d bytes received from the source, want %d or fewer", st.Renewed, st.In, 30<<10+int64(testserver.SizeOf(name(7), 40)))
	}
	r.stop()
	r.start()
	r.purge(fmt.Sprintf(`{"object":%q,"made":%f}`, name(7), madeAt))
	res, err := r.client.Post("http://"+r.server.Addr()+"/-/caught-up", "", nil)
	if err != nil || res.StatusCode != 200 {
		t.Fatalf("POST /-/caught-up: response %v, error %v; want status 200", res, err)
	}
	res.Body.Close()
	for i := range 20 {
		if i != 7 {
			hit(name(i))
		}
	}
	hit("/film/1/big")
	if code := r.purge(`{"object":"/still/1/o3"}`); code != 200 {
		t.Fatalf("the purge of an object got status %d, want 200", code)
	}
	if code := r.purge(`{"object":`); code != 400 {
		t.Errorf("a malformed purge got status %d, want 400", code)
	}
	for range 2 {
		if res, _, _ := r.fetch("/still/1/o3", storedOnly, nil); res.StatusCode != 504 {
			t.Errorf("a purged object got status %d, want 504", res.StatusCode)
		}
		r.stop()
		r.start()
		r.server.store.MarkPurgesCaughtUp()
	}
	hit(name(4))
	if code := r.purge(`{"group":7}`); code != 200 {
		t.Fatalf("the purge of a group got status %d, want 200", code)
	}
	if res, _, _ := r.fetch("/still/1/o4", storedOnly, nil); res.StatusCode != 504 {
		t.Errorf("an object whose group was purged got status %d, want 504", res.StatusCode)
	}
}

// Concurrent requests for an object share one fill, and each receives the whole body.
func TestConcurrentRequestsShareFill(t *testing.T) {
	r := newRig(t, "")
	var wg sync.WaitGroup
	joined := make(chan bool, 40)
	for range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, b, err := r.fetch("/film/1/same", allowFill, nil)
			if err != nil || res.StatusCode != 200 {
				t.Errorf("response %v, error %v; want status 200", res, err)
				return
			}
			if _, ok := testserver.Matches(b, "/film/1/same", 1, 0); !ok || int64(len(b)) != res.ContentLength {
				t.Error("the body is wrong or incomplete")
			}
			joined <- strings.Contains(res.Header.Get(fetchheader.StatusField), "collapsed")
		}()
	}
	wg.Wait()
	fills := 0
	for _, record := range r.trafficLog.Records() {
		if record.Event == trafficlog.AttemptReceived && record.Subject == "o" {
			fills++
		}
	}
	close(joined)
	collapsed := 0
	for wasJoined := range joined {
		if wasJoined {
			collapsed++
		}
	}
	if fills != 1 || collapsed < 20 {
		t.Errorf("%d fills, want 1; %d requests joined, want 20 or more", fills, collapsed)
	}
}

// A purge during a fill: the object, which may be older than the purge, is not stored.
func TestPurgeDuringFill(t *testing.T) {
	r := newRig(t, "")
	if err := r.origin.Fault(testserver.Fault{Kind: testserver.Slow, For: 5000, Factor: 2000}); err != nil { // 2000 times slower for 5 s: slow enough that the fill is in flight at the purge
		t.Skip(err)
	}
	got := make(chan error, 1)
	go func() {
		_, _, err := r.fetch("/film/1/slow", allowFill, nil)
		got <- err
	}()
	for range 400 {
		if st, _ := r.server.State(); st.In > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	madeAt := r.origin.Purge("/film/1/slow", 0, 0) // an origin ignores the group of a purge by object, and the time
	if code := r.purge(fmt.Sprintf(`{"object":"/film/1/slow","made":%f}`, madeAt)); code != 200 {
		t.Fatalf("the purge got status %d, want 200", code)
	}
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if res, _, _ := r.fetch("/film/1/slow", storedOnly, nil); res.StatusCode != 504 {
		t.Errorf("the object of a fill that began before the purge got status %d, want 504 (not stored)", res.StatusCode)
	}
}

// Objects of rank 0 are not stored, an object above the maximum age of the attempt is a miss,
// writes are forwarded, a range is stored as an object of its own, and HEAD gets no body.
func TestAttempts(t *testing.T) {
	r := newRig(t, "")
	for range 2 {
		res, _, err := r.fetch("/still/1/pass", allowFill, func(a *fetchheader.Attempt, _ *http.Request) { a.Keep = 0 })
		if err != nil || strings.Contains(res.Header.Get(fetchheader.StatusField), "stored") {
			t.Fatalf("an object of rank 0: response %v, error %v; want one that is not stored", res, err)
		}
	}
	if res, _, _ := r.fetch("/still/1/pass", storedOnly, nil); res.StatusCode != 504 {
		t.Errorf("an object of rank 0 got status %d, want 504 (not stored)", res.StatusCode)
	}
	r.fetchVerified("/still/1/age", allowFill)
	r.waitStored(1)
	time.Sleep(30 * time.Millisecond)
	if res, _, _ := r.fetch("/still/1/age", storedOnly, func(a *fetchheader.Attempt, _ *http.Request) { a.Age = 10 }); res.StatusCode != 504 {
		t.Errorf("an object above the maximum age got status %d, want 504", res.StatusCode)
	}
	res, b, err := r.fetch("/order/1", allowFill, func(a *fetchheader.Attempt, q *http.Request) {
		q.Method, q.Body, q.ContentLength = "POST", io.NopCloser(strings.NewReader("hello")), 5
		q.Header.Set(fetchheader.IdempotencyKeyField, "k1")
	})
	if err != nil || res.StatusCode != 200 || !bytes.Contains(b, []byte("5 bytes")) {
		t.Errorf("write: response %v, body %q, error %v", res, b, err)
	}
	part := func(mayFill bool) (int, string) {
		res, b, err := r.fetch("/film/1/r", mayFill, func(_ *fetchheader.Attempt, q *http.Request) { q.Header.Set("Range", "bytes=100-299") })
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, fmt.Sprint(len(b), res.Header.Get("Content-Range"))
	}
	code, text := part(allowFill)
	r.waitStored(2)
	if again, same := part(storedOnly); code != 206 || again != 206 || text != same || !strings.HasPrefix(text, "200bytes 100-299/") {
		t.Errorf("range: status %d, length and Content-Range %q; then from the store %d, %q; want 206 and 200bytes 100-299/ both times", code, text, again, same)
	}
	res, b, err = r.fetch("/still/1/age", storedOnly, func(_ *fetchheader.Attempt, q *http.Request) { q.Method = "HEAD" })
	if err != nil || res.StatusCode != 200 || len(b) > 0 || res.ContentLength < 100 {
		t.Errorf("HEAD: response %v with %d bytes, error %v; want status 200, a Content-Length and no body", res, len(b), err)
	}
	if res, err := http.Get("http://" + r.server.Addr() + "/-/state"); err != nil {
		t.Error(err)
	} else {
		var state map[string]any
		if json.NewDecoder(res.Body).Decode(&state); state["name"] != "b1" || state["copies"].(float64) < 2 {
			t.Errorf("state %v, want name b1 and 2 copies or more", state)
		}
		res.Body.Close()
	}
	req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+"/still/1/a", nil)
	req.Header.Set(fetchheader.FillField, "nonsense(")
	if res, err := r.client.Do(req); err != nil || res.StatusCode != 400 {
		t.Errorf("invalid Spool-Fill: response %v, error %v; want status 400", res, err)
	}
}

// When a source fails, the response has the status and the detail of docs/protocol.md, and no
// fill is left in flight.
func TestSourceFails(t *testing.T) {
	r := newRig(t, "(fill-wait 200)")
	for what, want := range map[string]string{"gone": fetchheader.SourceUnreached, "hangs": fetchheader.SourceUnreached, "lacks": fetchheader.SourceLacks} {
		res, _, err := r.fetch("/still/1/"+what, allowFill, func(a *fetchheader.Attempt, _ *http.Request) {
			switch what {
			case "gone":
				a.SourceAddress = "127.0.0.1:1"
			case "hangs":
				if err := r.origin.Fault(testserver.Fault{Kind: testserver.Hang, For: 400}); err != nil {
					t.Fatal(err)
				}
			case "lacks":
				a.Held = true
				a.SourceAddress = r.server.Addr() // the cache itself, which has not stored the object
			}
		})
		if err != nil || res.StatusCode != 503 || !strings.Contains(res.Header.Get(fetchheader.StatusField), want) {
			t.Errorf("source %s: response %v, error %v; want status 503 and %s", what, res, err, want)
		}
		time.Sleep(450 * time.Millisecond)
	}
	if st, _ := r.server.State(); r.server.loop == nil || st.Kept != 0 {
		t.Errorf("counters %+v, want no object stored", st)
	}
	r.fetchVerified("/still/1/after", allowFill)
	r.server.loop.Call(time.Second, func() {
		if r.server.fillsInFlight > 1 || len(r.server.fills) > 1 {
			t.Errorf("%d fills are still in flight, %d of them can be joined; want 1 or fewer", r.server.fillsInFlight, len(r.server.fills))
		}
	})
}

// While the disk hangs, requests are answered from the source without delay: the event loop does
// not wait for the disk.
func TestDiskHangs(t *testing.T) {
	r := newRig(t, "(threads 2) (queue 4) (patience 50)")
	r.fetchVerified("/still/1/a", allowFill)
	r.waitStored(1)
	release := make(chan bool)
	for range 2 {
		r.server.disk.Submit(func() { <-release })
	}
	for r.server.disk.Submit(func() {}) {
		time.Sleep(time.Millisecond)
	}
	at := time.Now()
	for i := range 5 {
		if s, _ := r.fetchVerified(fmt.Sprintf("/still/1/h%d", i), allowFill); strings.Contains(s, "stored") {
			t.Error("an object is reported as stored while the disk hangs:", s)
		}
	}
	if took := time.Since(at); took > 2*time.Second {
		t.Errorf("five requests took %v, want at most 2 s", took)
	}
	close(release)
	for range 400 { // the queued jobs have to run first
		if res, _, err := r.fetch("/still/1/a", storedOnly, nil); err == nil && res.StatusCode == 200 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("no object is found after the disk works again")
}

func storeMeta(path string) store.Meta {
	return store.Meta{Key: path, Object: path, Rank: 2, GeneratedAt: time.Now().UnixMilli(), Fields: map[string]string{"Content-Type": "image/jpeg"}}
}

// An object that is too old is validated, and fetched again only if it has changed. When the
// source fails, an object above the maximum age of the attempt is not served, although its
// stale-if-error allows it.
func TestRevalidation(t *testing.T) {
	r := newRig(t, "(fill-wait 300)")
	var mu sync.Mutex
	tag, fails, fullResponses, requests := `"1"`, false, 0, 0
	src := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		requests++
		w.Header().Set("ETag", tag)
		w.Header().Set("Cache-Control", "max-age=1, stale-if-error=60")
		switch {
		case fails:
			w.WriteHeader(500)
		case q.Header.Get("If-None-Match") == tag:
			w.WriteHeader(304)
		default:
			fullResponses++
			io.WriteString(w, "body of "+tag)
		}
	}))
	defer src.Close()
	at := src.Listener.Addr().String()
	// ask requests the object with age as the maximum age of the attempt, in ms.
	ask := func(age float64, withoutAttempt bool) (int, string) {
		req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+"/still/1/x", nil)
		if !withoutAttempt {
			a := fetchheader.Attempt{ID: "q", From: "r", Class: "still", Object: "/still/1/x", Group: -1, Keep: 2, Age: age, Source: "o", SourceAddress: at}
			req.Header.Set(fetchheader.FillField, string(a.Append(nil)))
		}
		res, err := r.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, string(b)
	}
	set := func(to string, fail bool) {
		mu.Lock()
		defer mu.Unlock()
		tag, fails = to, fail
	}
	// want asks for the object and checks its body, and how many full responses and requests the source has had so far.
	want := func(what string, age float64, body string, wantFull, wantRequests int) {
		t.Helper()
		code, got := ask(age, false)
		mu.Lock()
		defer mu.Unlock()
		if code != 200 || got != body || fullResponses != wantFull || requests != wantRequests {
			t.Errorf("%s: status %d, body %q, %d full responses to %d requests; want body %q, %d to %d", what, code, got, fullResponses, requests, body, wantFull, wantRequests)
		}
	}
	want("no stored object", 1e6, `body of "1"`, 1, 1)
	r.waitStored(1)
	want("a hit", 1e6, `body of "1"`, 1, 1)
	time.Sleep(120 * time.Millisecond)
	want("too old, unchanged", 100, `body of "1"`, 1, 2)
	want("after the validation", 100, `body of "1"`, 1, 2)
	r.stop()
	r.start()
	want("after a restart", 1e6, `body of "1"`, 1, 3)
	want("validated after the restart", 1e6, `body of "1"`, 1, 3)
	time.Sleep(120 * time.Millisecond)
	set(`"2"`, false)
	want("too old, changed", 100, `body of "2"`, 2, 4)
	r.waitStored(1)
	time.Sleep(120 * time.Millisecond)
	set(`"2"`, true)
	if code, _ := ask(100, false); code < 500 {
		t.Errorf("status %d for an object above the maximum age whose source fails, want 5xx", code)
	}
	if st, _ := r.server.State(); st.Renewed != 0 && st.Stale != 0 { // since the restart
		t.Errorf("counters %+v, want no confirmed or no stale objects", st)
	}
}

// For a request without Spool-Fill the freshness of an object follows from its header alone.
func TestRequestWithoutRouter(t *testing.T) {
	var mu sync.Mutex
	fails, n := false, 0
	src := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if fails {
			w.WriteHeader(500)
			return
		}
		n++
		w.Header().Set("Cache-Control", "max-age=1, stale-if-error=60")
		if q.URL.Path == "/private" {
			w.Header().Set("Cache-Control", "private")
		}
		fmt.Fprint(w, "answer ", n)
	}))
	defer src.Close()
	r := newRig(t, fmt.Sprintf("(upstream %q)", src.Listener.Addr()))
	get := func(path string) string {
		res, err := r.client.Get("http://" + r.server.Addr() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		return fmt.Sprint(res.StatusCode, " ", string(b))
	}
	if s := get("/a"); s != "200 answer 1" {
		t.Fatalf("the first response is %q, want \"200 answer 1\"", s)
	}
	r.waitStored(1)
	if s := get("/a"); s != "200 answer 1" {
		t.Errorf("got %q for a fresh object, want \"200 answer 1\" from the store", s)
	}
	get("/private")
	if s := get("/private"); s != "200 answer 3" {
		t.Errorf("got %q for a private response, want \"200 answer 3\", not stored", s)
	}
	time.Sleep(1100 * time.Millisecond)
	mu.Lock()
	fails = true
	mu.Unlock()
	if s := get("/a"); s != "200 answer 1" {
		t.Errorf("got %q for a stale object whose source fails, want \"200 answer 1\"", s)
	}
	mu.Lock()
	fails = false
	mu.Unlock()
	if s := get("/a"); s != "200 answer 4" {
		t.Errorf("got %q for a stale object whose source works, want \"200 answer 4\"", s)
	}
}

// Variants of an object by Accept-Encoding are stored separately, also when they are requested
// concurrently, and are found after a restart. A purge of the object drops all of them.
func TestVary(t *testing.T) {
	src := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Vary", "Accept-Encoding, User-Agent")
		fmt.Fprint(w, "for ", q.Header.Get("Accept-Encoding"))
	}))
	defer src.Close()
	r := newRig(t, fmt.Sprintf("(upstream %q)", src.Listener.Addr()))
	// get requests a variant. With onlyIfStored it sends an attempt that allows no fill.
	get := func(accept string, onlyIfStored bool) string {
		req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+"/v", nil)
		req.Header.Set("Accept-Encoding", accept)
		if onlyIfStored {
			a := fetchheader.Attempt{ID: "q", From: "r", Class: "still", Object: "/v", Group: -1}
			req.Header.Set(fetchheader.FillField, string(a.Append(nil)))
		}
		res, err := r.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		return string(b)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			accept := []string{"gzip", "br", "identity"}[i%3]
			if got := get(accept, false); got != "for "+accept {
				t.Errorf("Accept-Encoding %s: got %q", accept, got)
			}
		}()
	}
	wg.Wait()
	r.waitStored(3)
	for range 2 {
		for _, accept := range []string{"gzip", "br", "identity"} {
			if got := get(accept, true); got != "for "+accept {
				t.Errorf("Accept-Encoding %s: got %q from the store", accept, got)
			}
		}
		if got := get("zstd", true); got != "" {
			t.Errorf("a variant that was never requested is in the store: %q", got)
		}
		r.stop()
		r.start()
		r.server.store.MarkPurgesCaughtUp()
	}
	r.purge(`{"object":"/v"}`)
	for _, accept := range []string{"gzip", "br", "identity"} {
		if got := get(accept, true); got != "" {
			t.Errorf("Accept-Encoding %s: got %q from the store after the purge", accept, got)
		}
	}
}

// During stale-while-revalidate all requests are served the stale object without delay, and the
// source is asked to validate it once. Afterwards the object is fresh.
func TestStaleWhileRevalidate(t *testing.T) {
	var mu sync.Mutex
	requests, fullResponses := 0, 0
	src := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		requests++
		mu.Unlock()
		w.Header().Set("Cache-Control", "max-age=1, stale-while-revalidate=60")
		w.Header().Set("ETag", `"1"`)
		if q.Header.Get("If-None-Match") != "" {
			time.Sleep(150 * time.Millisecond)
			w.WriteHeader(304)
			return
		}
		mu.Lock()
		fullResponses++
		mu.Unlock()
		io.WriteString(w, "text")
	}))
	defer src.Close()
	r := newRig(t, fmt.Sprintf("(upstream %q)", src.Listener.Addr()))
	get := func() time.Duration {
		at := time.Now()
		res, err := r.client.Get("http://" + r.server.Addr() + "/a")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if b, _ := io.ReadAll(res.Body); string(b) != "text" {
			t.Fatalf("body %q, want \"text\"", b)
		}
		return time.Since(at)
	}
	get()
	r.waitStored(1)
	time.Sleep(1200 * time.Millisecond)
	for range 5 {
		if took := get(); took > 120*time.Millisecond {
			t.Errorf("a request took %v, want 120 ms or less, without waiting for the source", took)
		}
	}
	for range 200 {
		if st, _ := r.server.State(); st.Renewed == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	get()
	mu.Lock()
	defer mu.Unlock()
	if st, _ := r.server.State(); requests != 2 || fullResponses != 1 || st.Renewed != 1 || st.Behind != 1 {
		t.Errorf("%d requests to the source, want 2; %d full responses, want 1; counters %+v", requests, fullResponses, st)
	}
}

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

// bench is a cache before a stand-in origin.
type rig struct {
	t          testing.TB
	server     *Server
	origin     *testserver.Server
	trafficLog *trafficlog.Writer
	cfg        Config
	done       chan error
	client     *http.Client
	fs         store.FS         // nil: the form's
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

// at makes an attempt with a fill at a cache elsewhere.
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

// fetch makes an attempt at the cache; src says whether it may fill from the origin.
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

// fetchVerified checks an answer against the origin's content, and returns its Cache-Status and version.
func (r *rig) fetchVerified(path string, mayFill bool) (status string, version int64) {
	r.t.Helper()
	res, b, err := r.fetch(path, mayFill, nil)
	if err != nil || res.StatusCode != 200 {
		r.t.Fatalf("%s: %v %v", path, res, err)
	}
	v, err := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
	if err != nil {
		r.t.Fatal(err)
	}
	if at, ok := testserver.Matches(b, path, v.Number, 0); !ok || int64(len(b)) != res.ContentLength {
		r.t.Fatalf("%s: byte %d is not of version %d; %d bytes of %d", path, at, v.Number, len(b), res.ContentLength)
	}
	return res.Header.Get(fetchheader.StatusField), v.Number
}

func (r *rig) waitStored(n uint64) {
	r.t.Helper()
	for range 400 {
		if st, err := r.server.State(); err == nil && st.Kept >= n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatalf("%d copies are not kept", n)
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

// A look, a fill, a hit; after a stop a copy is in doubt until its source has said, without
// sending it again, that no purge was missed, or until the cache has heard of all of them.
// After a purge there is none, before and after a stop.
func TestWarmAfterRestart(t *testing.T) {
	r := newRig(t, "")
	if res, _, err := r.fetch("/still/1/a", false, nil); err != nil || res.StatusCode != 504 || !strings.Contains(res.Header.Get(fetchheader.StatusField), "fwd=miss") {
		t.Fatal(res, err)
	}
	name := func(i int) string { return fmt.Sprintf("/still/1/o%d", i) }
	for i := range 20 {
		if s, _ := r.fetchVerified(name(i), true); !strings.Contains(s, "fwd=miss") || !strings.Contains(s, "stored") {
			t.Fatal(s)
		}
	}
	r.fetchVerified("/film/1/big", true)
	r.waitStored(21)
	hit := func(path string) {
		t.Helper()
		if s, _ := r.fetchVerified(path, false); !strings.Contains(s, "hit") {
			t.Fatal(s)
		}
	}
	for i := range 20 {
		hit(name(i))
	}
	r.stop()
	made := r.origin.Purge(name(7), 0, 0) // while it is down
	r.start()
	if r.server.Recovered.Objects != 21 {
		t.Errorf("found %+v", r.server.Recovered)
	}
	if res, _, _ := r.fetch(name(1), false, nil); res.StatusCode != 504 {
		t.Error("a copy that is in doubt is a hit", res.Status)
	}
	for i := range 20 {
		if _, v := r.fetchVerified(name(i), true); i == 7 && v != 2 {
			t.Errorf("version %d after a purge that the cache missed", v)
		}
		if i != 7 {
			hit(name(i))
		}
	}
	if st, _ := r.server.State(); st.Renewed != 19 || st.In > 30<<10+int64(testserver.SizeOf(name(7), 40)) {
		t.Errorf("%d renewed, %d bytes from the source", st.Renewed, st.In)
	}
	r.stop()
	r.start()
	r.purge(fmt.Sprintf(`{"object":%q,"made":%f}`, name(7), made))
	res, err := r.client.Post("http://"+r.server.Addr()+"/-/caught-up", "", nil)
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	res.Body.Close()
	for i := range 20 {
		if i != 7 {
			hit(name(i))
		}
	}
	hit("/film/1/big")
	if code := r.purge(`{"object":"/still/1/o3"}`); code != 200 {
		t.Fatal(code)
	}
	if code := r.purge(`{"object":`); code != 400 {
		t.Error(code)
	}
	for range 2 {
		if res, _, _ := r.fetch("/still/1/o3", false, nil); res.StatusCode != 504 {
			t.Error("it is back after its purge", res.Status)
		}
		r.stop()
		r.start()
		r.server.store.PurgesCaughtUp()
	}
	hit(name(4))
	if code := r.purge(`{"group":7}`); code != 200 {
		t.Fatal(code)
	}
	if res, _, _ := r.fetch("/still/1/o4", false, nil); res.StatusCode != 504 {
		t.Error("it is back after the purge of its group", res.Status)
	}
}

// Many who ask for the same at once are one fill; each has all of it.
func TestConcurrentRequestsShareFill(t *testing.T) {
	r := newRig(t, "")
	var wg sync.WaitGroup
	joined := make(chan bool, 40)
	for range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, b, err := r.fetch("/film/1/same", true, nil)
			if err != nil || res.StatusCode != 200 {
				t.Errorf("%v %v", res, err)
				return
			}
			if _, ok := testserver.Matches(b, "/film/1/same", 1, 0); !ok || int64(len(b)) != res.ContentLength {
				t.Error("other bytes")
			}
			joined <- strings.Contains(res.Header.Get(fetchheader.StatusField), "collapsed")
		}()
	}
	wg.Wait()
	n := 0
	for _, x := range r.trafficLog.Records() {
		if x.Event == trafficlog.AttemptReceived && x.Subject == "o" {
			n++
		}
	}
	close(joined)
	j := 0
	for is := range joined {
		if is {
			j++
		}
	}
	if n != 1 || j < 20 {
		t.Errorf("%d fills, %d joined", n, j)
	}
}

// A purge while a fill is under way: what it brings of before is not kept.
func TestPurgeDuringFill(t *testing.T) {
	r := newRig(t, "")
	if err := r.origin.Fault(testserver.Fault{Kind: testserver.Slow, For: 5000, Factor: 2000}); err != nil {
		t.Skip(err)
	}
	got := make(chan error, 1)
	go func() {
		_, _, err := r.fetch("/film/1/slow", true, nil)
		got <- err
	}()
	for range 400 {
		if st, _ := r.server.State(); st.In > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	made := r.origin.Purge("/film/1/slow", 0, 0)
	if code := r.purge(fmt.Sprintf(`{"object":"/film/1/slow","made":%f}`, made)); code != 200 {
		t.Fatal(code)
	}
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if res, _, _ := r.fetch("/film/1/slow", false, nil); res.StatusCode != 504 {
		t.Error("a fill from before the purge was kept")
	}
}

// What may not be kept is not: rank 0, and what its head forbids; an age that is too old
// is no hit; a write passes; a range is an object of its own; HEAD has no body.
func TestAttempts(t *testing.T) {
	r := newRig(t, "")
	for range 2 {
		res, _, err := r.fetch("/still/1/pass", true, func(a *fetchheader.Attempt, _ *http.Request) { a.Keep = 0 })
		if err != nil || strings.Contains(res.Header.Get(fetchheader.StatusField), "stored") {
			t.Fatal(res, err)
		}
	}
	if res, _, _ := r.fetch("/still/1/pass", false, nil); res.StatusCode != 504 {
		t.Error("rank 0 was kept")
	}
	r.fetchVerified("/still/1/age", true)
	r.waitStored(1)
	time.Sleep(30 * time.Millisecond)
	if res, _, _ := r.fetch("/still/1/age", false, func(a *fetchheader.Attempt, _ *http.Request) { a.Age = 10 }); res.StatusCode != 504 {
		t.Error("a copy that is too old is a hit")
	}
	res, b, err := r.fetch("/order/1", true, func(a *fetchheader.Attempt, q *http.Request) {
		q.Method, q.Body, q.ContentLength = "POST", io.NopCloser(strings.NewReader("hello")), 5
		q.Header.Set(fetchheader.IdempotencyKeyField, "k1")
	})
	if err != nil || res.StatusCode != 200 || !bytes.Contains(b, []byte("5 bytes")) {
		t.Errorf("%v %q %v", res, b, err)
	}
	part := func(src bool) (int, string) {
		res, b, err := r.fetch("/film/1/r", src, func(_ *fetchheader.Attempt, q *http.Request) { q.Header.Set("Range", "bytes=100-299") })
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, fmt.Sprint(len(b), res.Header.Get("Content-Range"))
	}
	code, text := part(true)
	r.waitStored(2)
	if again, same := part(false); code != 206 || again != 206 || text != same || !strings.HasPrefix(text, "200bytes 100-299/") {
		t.Error(code, text, again, same)
	}
	res, b, err = r.fetch("/still/1/age", false, func(_ *fetchheader.Attempt, q *http.Request) { q.Method = "HEAD" })
	if err != nil || res.StatusCode != 200 || len(b) > 0 || res.ContentLength < 100 {
		t.Error(res, err)
	}
	if res, err := http.Get("http://" + r.server.Addr() + "/-/state"); err != nil {
		t.Error(err)
	} else {
		var x map[string]any
		if json.NewDecoder(res.Body).Decode(&x); x["name"] != "b1" || x["copies"].(float64) < 2 {
			t.Error(x)
		}
		res.Body.Close()
	}
	req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+"/still/1/a", nil)
	req.Header.Set(fetchheader.FillField, "nonsense(")
	if res, err := r.client.Do(req); err != nil || res.StatusCode != 400 {
		t.Error(res, err)
	}
}

// Sources that fail are said as docs/protocol.md has it, and nothing is left of them.
func TestSourceFails(t *testing.T) {
	r := newRig(t, "(fill-wait 200)")
	for what, want := range map[string]string{"gone": fetchheader.SourceUnreached, "hangs": fetchheader.SourceUnreached, "lacks": fetchheader.SourceLacks} {
		res, _, err := r.fetch("/still/1/"+what, true, func(a *fetchheader.Attempt, _ *http.Request) {
			switch what {
			case "gone":
				a.SourceAddress = "127.0.0.1:1"
			case "hangs":
				if err := r.origin.Fault(testserver.Fault{Kind: testserver.Hang, For: 400}); err != nil {
					t.Fatal(err)
				}
			case "lacks":
				a.Held = true
				a.SourceAddress = r.server.Addr() // itself: it holds nothing of it
			}
		})
		if err != nil || res.StatusCode != 503 || !strings.Contains(res.Header.Get(fetchheader.StatusField), want) {
			t.Errorf("%s: %v %v", what, res, err)
		}
		time.Sleep(450 * time.Millisecond)
	}
	if st, _ := r.server.State(); r.server.loop == nil || st.Kept != 0 {
		t.Error(st)
	}
	r.fetchVerified("/still/1/after", true)
	r.server.loop.Call(time.Second, func() {
		if r.server.fillsInFlight > 1 || len(r.server.fills) > 1 {
			t.Errorf("%d fills are left", r.server.fillsInFlight)
		}
	})
}

// A disk that hangs: requests are answered without it, from the source, in time; the loop
// is not held up.
func TestDiskHangs(t *testing.T) {
	r := newRig(t, "(threads 2) (queue 4) (patience 50)")
	r.fetchVerified("/still/1/a", true)
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
		if s, _ := r.fetchVerified(fmt.Sprintf("/still/1/h%d", i), true); strings.Contains(s, "stored") {
			t.Error("it says that it keeps what it can't", s)
		}
	}
	if took := time.Since(at); took > 2*time.Second {
		t.Errorf("five requests took %v", took)
	}
	close(release)
	for range 400 { // the queue has to run dry, too
		if res, _, err := r.fetch("/still/1/a", false, nil); err == nil && res.StatusCode == 200 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("nothing is found after the disk answers again")
}

func storeMeta(path string) store.Meta {
	return store.Meta{Key: path, Object: path, Rank: 2, GeneratedAt: time.Now().UnixMilli(), Fields: map[string]string{"Content-Type": "image/jpeg"}}
}

// A copy that is too old is asked about, and not fetched again where its source says that
// it is good; one that has changed is fetched; where the source fails, an old one does as
// far as its head allows, and never past an age that was asked for.
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
	ask := func(age float64, plain bool) (int, string) {
		req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+"/still/1/x", nil)
		if !plain {
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
	want := func(what string, age float64, body string, wantFull, wantRequests int) {
		t.Helper()
		code, got := ask(age, false)
		mu.Lock()
		defer mu.Unlock()
		if code != 200 || got != body || fullResponses != wantFull || requests != wantRequests {
			t.Errorf("%s: %d %q, %d whole of %d asked", what, code, got, fullResponses, requests)
		}
	}
	want("nothing is held", 1e6, `body of "1"`, 1, 1)
	r.waitStored(1)
	want("a hit", 1e6, `body of "1"`, 1, 1)
	time.Sleep(120 * time.Millisecond)
	want("too old, and still good", 100, `body of "1"`, 1, 2)
	want("it is young again", 100, `body of "1"`, 1, 2)
	r.stop()
	r.start()
	want("in doubt after a start", 1e6, `body of "1"`, 1, 3)
	want("and known again", 1e6, `body of "1"`, 1, 3)
	time.Sleep(120 * time.Millisecond)
	set(`"2"`, false)
	want("it has changed", 100, `body of "2"`, 2, 4)
	r.waitStored(1)
	time.Sleep(120 * time.Millisecond)
	set(`"2"`, true)
	if code, _ := ask(100, false); code < 500 {
		t.Errorf("a copy that is too old for the asker is given out as its source fails: %d", code)
	}
	if st, _ := r.server.State(); st.Renewed != 0 && st.Stale != 0 { // of this life
		t.Error(st)
	}
}

// A user's own request, without a router: by what the answer's head says.
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
		t.Fatal(s)
	}
	r.waitStored(1)
	if s := get("/a"); s != "200 answer 1" {
		t.Error("a fresh copy is no hit:", s)
	}
	get("/private")
	if s := get("/private"); s != "200 answer 3" {
		t.Error("a private answer is kept:", s)
	}
	time.Sleep(1100 * time.Millisecond)
	mu.Lock()
	fails = true
	mu.Unlock()
	if s := get("/a"); s != "200 answer 1" {
		t.Error("a stale copy does not do although its source fails:", s)
	}
	mu.Lock()
	fails = false
	mu.Unlock()
	if s := get("/a"); s != "200 answer 4" {
		t.Error("a stale copy is given out although its source works:", s)
	}
}

// Answers that differ by what is accepted are kept apart, also when they are asked for at
// once, and after a start; a purge of the object takes all of them.
func TestVary(t *testing.T) {
	src := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Vary", "Accept-Encoding, User-Agent")
		fmt.Fprint(w, "for ", q.Header.Get("Accept-Encoding"))
	}))
	defer src.Close()
	r := newRig(t, fmt.Sprintf("(upstream %q)", src.Listener.Addr()))
	get := func(accept string, only bool) string {
		req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+"/v", nil)
		req.Header.Set("Accept-Encoding", accept)
		if only {
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
				t.Errorf("%s gets %q", accept, got)
			}
		}()
	}
	wg.Wait()
	r.waitStored(3)
	for range 2 {
		for _, accept := range []string{"gzip", "br", "identity"} {
			if got := get(accept, true); got != "for "+accept {
				t.Errorf("%s has %q held", accept, got)
			}
		}
		if got := get("zstd", true); got != "" {
			t.Errorf("what nobody has asked for is held: %q", got)
		}
		r.stop()
		r.start()
		r.server.store.PurgesCaughtUp()
	}
	r.purge(`{"object":"/v"}`)
	for _, accept := range []string{"gzip", "br", "identity"} {
		if got := get(accept, true); got != "" {
			t.Errorf("%s is held after the purge: %q", accept, got)
		}
	}
}

// A copy that may be served stale while it is renewed is, to all who ask, and its source
// is asked once; then it is young again.
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
			t.Fatalf("%q", b)
		}
		return time.Since(at)
	}
	get()
	r.waitStored(1)
	time.Sleep(1200 * time.Millisecond)
	for range 5 {
		if took := get(); took > 120*time.Millisecond {
			t.Errorf("it waits for its source: %v", took)
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
		t.Errorf("asked %d times, %d whole; %+v", requests, fullResponses, st)
	}
}

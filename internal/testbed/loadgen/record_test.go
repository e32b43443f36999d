package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	spool "indigospool"
	"indigospool/internal/config"

	"indigospool/internal/decisionlog/journal"
)

const routes = `(router (zone z)) (fill (range-kb 64))
(class still (deadline 3000)) (class film (parts) (deadline 6000)) (class order (write) (effect single-shot))
(route "/s/{group}/{object}" (class still)) (route "/v/{group}/{object}/{part}" (class film)) (route "/r/{object}" (class film) (ranges))
(route "/o/{object}" (class order))
(member b1 (zone z) (address "127.0.0.1:1"))
`

// recordingServer is a server that records the requests it receives.
type recordingServer struct {
	mu       sync.Mutex
	requests []string
	times    []time.Time
}

func (s *recordingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
	s.requests = append(s.requests, strings.TrimSpace(r.Method+" "+r.URL.Path+" "+r.Header.Get("Range")+r.Header.Get("Spool-Deadline")+r.Header.Get("Spool-KB")))
}

// writeJournal writes a journal with requests at the given times and returns its folder.
func writeJournal(t *testing.T, times []float64, requests []spool.Request) string {
	t.Helper()
	dir := t.TempDir()
	w, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	s := &config.Settings{}
	if err := config.Read("t", routes, s); err != nil {
		t.Fatal(err)
	}
	w.RouterStarted(journal.RouterStart{Name: "r", Seed: 1, Settings: config.Print(s)})
	for i := range requests {
		requests[i].ID = fmt.Sprint(i)
		w.Handled(times[i], requests[i], nil)
		w.Handled(times[i], spool.Gone{ID: requests[i].ID}, nil)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func replay(t *testing.T, path string, o ReplayOptions) (*Result, *recordingServer, error) {
	t.Helper()
	h := &recordingServer{}
	srv := httptest.NewServer(h)
	defer srv.Close()
	r, err := OpenReplay(path, o)
	if err != nil {
		return nil, h, err
	}
	defer r.Close()
	res, err := RunReplay(context.Background(), r, LoadSettings{Name: path, Targets: []string{strings.TrimPrefix(srv.URL, "http://")}, Conns: 4, MaxRequests: 1000})
	return res, h, err
}

var recordedRequests = []spool.Request{
	{Class: "still", Object: "/s/3/a", Group: 3, Deadline: 99000},
	{Class: "film", Object: "/v/3/b", Group: 3, Part: 7, KB: 12.5, Deadline: 99000},
	{Class: "film", Object: "/r/b", Group: -1, Part: 2, Deadline: 99000},
	{Class: "order", Object: "/o/b", Group: -1, Write: true, KB: 2, Deadline: 99000},
	{Class: "still", Object: "/s/4/late", Group: 4, Deadline: 1700},
}

var recordedAt = []float64{1000, 1200, 1400, 1500, 1600}

// The requests of a journal are replayed unchanged and when they are due, writes only on request.
func TestReplayOfJournal(t *testing.T) {
	dir := writeJournal(t, recordedAt, recordedRequests)
	res, h, err := replay(t, dir, ReplayOptions{Speed: 2})
	want := []string{"GET /s/3/a", "GET /v/3/b/7 12.5", "GET /r/b bytes=131072-196607", "GET /s/4/late 100"}
	if err != nil || fmt.Sprint(h.requests) != fmt.Sprint(want) || len(res.Skipped) != 1 || res.Skipped[0].Count != 1 {
		t.Fatalf("error %v; requests %q, want %q; skipped %+v, want one request", err, h.requests, want, res.Skipped)
	}
	if span := h.times[3].Sub(h.times[0]); span < 250*time.Millisecond {
		t.Errorf("600 ms were replayed at double speed in %v, want 300 ms", span)
	}
	if res, h, err = replay(t, dir, ReplayOptions{Speed: 0, Writes: true}); err != nil || len(h.requests) != 5 || len(res.Skipped) != 0 {
		t.Errorf("error %v; requests %q, want 5; result %+v, want none skipped", err, h.requests, res)
	}
	n := int64(0)
	for _, k := range res.Classes {
		n += k.InTime
	}
	if n != 5 {
		t.Errorf("%d requests in time, want 5", n)
	}
}

// A clock that was set back by more than an hour during the recording does not delay the replay.
func TestReplayAfterClockStep(t *testing.T) {
	began := time.Now()
	_, h, err := replay(t, writeJournal(t, []float64{4e6, 4e6 + 100, 50, 150, 250}, recordedRequests), ReplayOptions{Speed: 1, Writes: true})
	if took := time.Since(began); err != nil || len(h.requests) != 5 || took > 20*time.Second || took < 250*time.Millisecond {
		t.Errorf("error %v; requests %q in %v, want 5 in 250 ms to 20 s", err, h.requests, took)
	}
}

// The lines of an access log are in the order in which requests ended. They are replayed in the
// order in which they began.
func TestReplayOfAccessLog(t *testing.T) {
	file := filepath.Join(t.TempDir(), "access.log")
	line := func(ts, class, object string, part int, ms float64) string {
		return fmt.Sprintf(`{"level":"info","ts":"2026-12-01T10:00:%sZ","msg":"request","id":"x","class":%q,"object":%q,"part":%d,"status":200,"ms":%v}`+"\n", ts, class, object, part, ms)
	}
	text := line("01.000", "still", "/s/1/second", 0, 20) + line("01.010", "film", "/v/1/first", 3, 900) +
		`{"level":"warn","msg":"list"}` + "\n" + line("01.400", "still", "/s/1/third", 0, 5) + line("01.500", "", "/none", 0, 5) +
		line("01.500", "still", "/elsewhere", 0, 5)
	if err := os.WriteFile(file, []byte(text+`{"msg":"requ`), 0o600); err != nil {
		t.Fatal(err)
	}
	s := &config.Settings{}
	if err := config.Read("t", routes, s); err != nil {
		t.Fatal(err)
	}
	res, h, err := replay(t, file, ReplayOptions{Routes: s, Speed: 1})
	want := []string{"GET /v/1/first/3", "GET /s/1/second", "GET /s/1/third"}
	if err != nil || fmt.Sprint(h.requests) != fmt.Sprint(want) || len(res.Skipped) != 1 || !strings.Contains(res.Skipped[0].Why, "/elsewhere") {
		t.Errorf("error %v; requests %q, want %q; result %+v, want /elsewhere skipped", err, h.requests, want, res)
	}
	if _, _, err := replay(t, file, ReplayOptions{Speed: 1}); err == nil || !strings.Contains(err.Error(), "--routes") {
		t.Errorf("without routes: error %v, want one that names --routes", err)
	}
	os.WriteFile(file, []byte("\x1b[31mno log\n"), 0o600)
	if _, _, err := replay(t, file, ReplayOptions{Routes: s, Speed: 1}); err == nil || !strings.Contains(err.Error(), `:1 is not a line`) || strings.Contains(err.Error(), "\x1b") {
		t.Errorf("not an access log: error %q, want one that names line 1 and quotes it without control characters", err)
	}
}

func TestReplayRejectsRemoteTarget(t *testing.T) {
	r, err := OpenReplay(writeJournal(t, recordedAt, recordedRequests), ReplayOptions{Speed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, err := RunReplay(context.Background(), r, LoadSettings{Targets: []string{"192.0.2.1:80"}}); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Errorf("target on another machine: error %v, want one that says loopback", err)
	}
}

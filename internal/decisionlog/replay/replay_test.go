package replay

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/proxy/engine"
)

const sample = `(router (zone z)) (fill (direct) (flow 10))
(class still) (class film (parts))
(route "/s/{object}" (class still)) (route "/v/{object}/{part}" (class film))
(member b1 (zone z) (address "127.0.0.1:1")) (member b2 (zone z) (address "127.0.0.1:2"))
(member p (kind parent) (zone h) (address "127.0.0.1:3")) (member o (kind origin) (zone h) (address "127.0.0.1:4"))
`

type recorder struct {
	w      *journal.Writer
	change func([]spool.Action) []spool.Action
}

func (r recorder) Handled(now float64, ev spool.Event, acts []spool.Action) {
	if r.change != nil {
		acts = r.change(acts)
	}
	r.w.Handled(now, ev, acts)
}
func (r recorder) SettingsChanged(now float64, s *config.Settings, acts []spool.Action) {
	r.w.Settings(now, 2, func() string { return config.Print(s) }, acts)
}

// record passes requests to a core that records a journal. The router starts runs times.
func record(t testing.TB, dir string, runs, requests int, change func([]spool.Action) []spool.Action) {
	w, err := journal.Open(dir, journal.Options{SegmentBytes: int64(max(1<<14, 64*requests)), TotalBytes: 1 << 40, Queue: 1 << 24})
	if err != nil {
		t.Fatal(err)
	}
	for run := range runs {
		s := &config.Settings{}
		if err := config.Read("test", sample, s); err != nil {
			t.Fatal(err)
		}
		c, err := engine.New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		w.RouterStarted(journal.RouterStart{Name: "r", Seed: 1, Settings: config.Print(s)})
		c.Recorder = recorder{w, change}
		now := float64(1000 * run)
		for _, ev := range c.Apply(now, engine.UpdateFromSettings(s)).Events {
			c.Handle(now, ev, nil)
		}
		for i := range requests {
			now += 3.7
			if i == requests/2 {
				next := *s
				next.Classes = append([]config.Class(nil), s.Classes...)
				next.Classes[0].LatencyObjective = 333
				if _, err := c.ChangeSettings(now, &next, nil); err != nil {
					t.Fatal(err)
				}
			}
			id := fmt.Sprintf("q-%d-%d", run, i)
			acts := c.Handle(now, spool.Request{ID: id, Class: []string{"still", "film"}[i%2], Object: fmt.Sprint("/o", i%17), Part: i % 7, KB: 40, Deadline: now + 900}, nil)
			for n := 0; len(acts) > 0 && n < 20; n++ {
				send, ok := acts[0].(spool.Send)
				if acts = acts[1:]; !ok {
					continue
				}
				now += 1.1
				result, last := spool.OK, true
				if send.Source == send.Cache && i%3 == 0 {
					result, last = spool.Miss, false
				} else if i%11 == 0 && n == 0 {
					result, last = spool.Reset, false
				}
				acts = append(acts, c.Handle(now, spool.Outcome{ID: id, Cache: send.Cache, Attempt: n, Result: result, Last: last, Took: 4}, nil)...)
			}
			if i%5 == 0 {
				c.Handle(now, spool.Timer{}, nil)
			}
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

func replayAll(t testing.TB, dir string) *Report {
	j, err := journal.OpenReader(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	r, err := Run(j, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestReplayIsEqual checks that all replayed actions are equal to the recorded ones, across
// restarts, segments and a change of the settings.
func TestReplayIsEqual(t *testing.T) {
	dir := t.TempDir()
	record(t, dir, 3, 400, nil)
	r := replayAll(t, dir)
	if !r.OK() || r.Runs != 3 || r.Equal != r.Compared || r.Compared < 1500 || r.Actions < 1200 || r.Skipped > 0 {
		t.Errorf("%+v", r)
	}
}

// TestOneDifference checks that a single changed action is found, with its position and the
// records before it.
func TestOneDifference(t *testing.T) {
	dir := t.TempDir()
	n := 0
	record(t, dir, 1, 300, func(acts []spool.Action) []spool.Action {
		if len(acts) > 0 {
			if n++; n == 200 {
				acts = append([]spool.Action(nil), acts...)
				acts[0] = spool.Fail{ID: "planted"}
			}
		}
		return acts
	})
	r := replayAll(t, dir)
	if r.Different != 1 || r.First == nil || !strings.Contains(strings.Join(r.First.Recorded, " "), "planted") || len(r.First.Replayed) == 0 ||
		len(r.First.Before) != precedingRecords || r.First.Offset == 0 {
		t.Errorf("%+v, %+v", r, r.First)
	}
}

// TestGap checks that nothing is compared between a gap and the next router start.
func TestGap(t *testing.T) {
	dir := t.TempDir()
	record(t, dir, 2, 400, nil)
	list, err := journal.Segments(dir)
	if err != nil || len(list) < 3 {
		t.Fatal(list, err)
	}
	j, err := journal.OpenReader(list[1]) // begins in the middle of a run
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	r, err := Run(j, nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Skipped == 0 || r.Different > 0 || r.Compared > 0 && r.Runs == 0 {
		t.Errorf("%+v", r)
	}
}

// TestClockSteps checks that a clock which steps back or far ahead during a run causes no
// difference: the module uses the latest time that it was given, in the router as in the replay.
func TestClockSteps(t *testing.T) {
	dir := t.TempDir()
	w, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	s := &config.Settings{}
	if err := config.Read("test", sample, s); err != nil {
		t.Fatal(err)
	}
	c, err := engine.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	w.RouterStarted(journal.RouterStart{Name: "r", Seed: 1, Settings: config.Print(s)})
	c.Recorder = recorder{w, nil}
	for _, ev := range c.Apply(5000, engine.UpdateFromSettings(s)).Events {
		c.Handle(5000, ev, nil)
	}
	sent := 0
	for i, now := range []float64{5010, 5020, 100, -3, 5030, 9e9, 5040, 0, 9e9 + 1} {
		id := fmt.Sprint("q", i)
		for _, a := range c.Handle(now, spool.Request{ID: id, Class: "still", Object: fmt.Sprint("/o", i), Deadline: now + 900}, nil) {
			if _, ok := a.(spool.Send); ok {
				sent++
			}
		}
		c.Handle(now, spool.Timer{}, nil)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if r := replayAll(t, dir); !r.OK() || r.Compared != 19 || sent < 3 || r.Unfinished == 0 {
		t.Errorf("%d sent, %+v", sent, r)
	}
}

// TestUnfinished checks that the unfinished requests of all runs are counted.
func TestUnfinished(t *testing.T) {
	dir := t.TempDir()
	w, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		w.RouterStarted(journal.RouterStart{Name: "r", Seed: 1, Settings: sample})
		w.Handled(1, spool.Request{ID: "a", Class: "still", Object: "/o"}, nil)
		w.Handled(1, spool.Request{ID: "b", Class: "still", Object: "/o"}, []spool.Action{spool.Refuse{ID: "b"}})
		w.Handled(1, spool.Request{ID: "c", Class: "still", Object: "/o"}, nil)
		w.Handled(2, spool.Gone{ID: "c"}, nil)
	}
	w.Close()
	if r := replayAll(t, dir); r.Unfinished != 2 || r.Runs != 2 {
		t.Errorf("%+v", r)
	}
}

// TestBigJournal checks that the memory for a replay does not grow with the journal, even if
// all request ids and object names differ. JOURNAL_MB sets the journal's size; 2048 is the
// default limit of a journal.
func TestBigJournal(t *testing.T) {
	mb := 12
	if n, err := strconv.Atoi(os.Getenv("JOURNAL_MB")); err == nil {
		mb = n
	}
	dir := t.TempDir()
	w, err := journal.Open(dir, journal.Options{SegmentBytes: 16 << 20, TotalBytes: 1 << 40, Queue: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	s := &config.Settings{}
	if err := config.Read("test", sample, s); err != nil {
		t.Fatal(err)
	}
	w.RouterStarted(journal.RouterStart{Name: "r", Seed: 1, Settings: config.Print(s)})
	c, err := engine.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Recorder = recorder{w, nil}
	for _, ev := range c.Apply(1, engine.UpdateFromSettings(s)).Events {
		c.Handle(1, ev, nil)
	}
	longPath, size, events := strings.Repeat("a-long-path/", 60), 0, int64(1)
	for i := 0; size < mb<<20; i++ {
		now := 1 + float64(i)*0.9
		q := spool.Request{ID: fmt.Sprint("request-", i), Class: "still", Object: fmt.Sprint("/s/", longPath, i), Deadline: now + 900}
		for _, a := range c.Handle(now, q, nil) {
			if send, ok := a.(spool.Send); ok {
				c.Handle(now, spool.Outcome{ID: q.ID, Cache: send.Cache, Result: spool.OK, Last: true, Took: 0.3}, nil)
			}
		}
		if events += 2; i%64 == 0 {
			c.Handle(now, spool.Timer{}, nil)
			events++
		}
		size += len(q.Object) + 90
		for i%4096 == 0 && w.Lost() > 0 {
			t.Fatal("the writer lost records")
		}
		if i%20000 == 19999 {
			time.Sleep(100 * time.Millisecond) // lets the writer catch up
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	written := int64(0)
	list, _ := journal.Segments(dir)
	for _, f := range list {
		if st, err := os.Stat(f); err == nil {
			written += st.Size()
		}
	}
	j, err := journal.OpenReader(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	var maxHeap uint64
	n := 0
	began := time.Now()
	r, err := Run(j, &Watcher{Before: func(*journal.Entry, *engine.Core) bool {
		if n++; n%10000 == 0 {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			maxHeap = max(maxHeap, m.HeapAlloc)
		}
		return false
	}})
	if err != nil || !r.OK() || r.Events != events {
		t.Fatalf("%v: %+v, want %d events", err, r, events)
	}
	t.Logf("%.0f MB in %d segments, %d events in %.1f s, heap at most %.1f MB", float64(written)/(1<<20), len(list), r.Events, time.Since(began).Seconds(), float64(maxHeap)/(1<<20))
	if written < int64(mb)<<19 || maxHeap > 192<<20 {
		t.Errorf("%d bytes were replayed with a heap of %d", written, maxHeap)
	}
}

// BenchmarkReplay measures the speed of a replay and the size of the heap, for journals of
// several lengths. REPLAY_REQUESTS adds a length.
func BenchmarkReplay(b *testing.B) {
	sizes := []int{2500, 25000, 250000}
	if n, err := strconv.Atoi(os.Getenv("REPLAY_REQUESTS")); err == nil {
		sizes = append(sizes, n)
	}
	for _, requests := range sizes {
		b.Run(fmt.Sprint(requests, "-requests"), func(b *testing.B) {
			dir := b.TempDir()
			record(b, dir, 1, requests, nil)
			var events, n int64
			var maxHeap uint64
			for b.Loop() {
				j, err := journal.OpenReader(dir)
				if err != nil {
					b.Fatal(err)
				}
				r, err := Run(j, &Watcher{Before: func(*journal.Entry, *engine.Core) bool {
					if n++; n%20000 == 0 {
						var m runtime.MemStats
						runtime.ReadMemStats(&m)
						maxHeap = max(maxHeap, m.HeapAlloc)
					}
					return false
				}})
				j.Close()
				if err != nil || !r.OK() {
					b.Fatal(r, err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(events)/float64(b.N), "events")
			b.ReportMetric(float64(maxHeap)/(1<<20), "heap-MB")
		})
	}
}

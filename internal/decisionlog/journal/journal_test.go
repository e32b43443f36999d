package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	spool "indigospool"
)

func drawEvent(t *rapid.T) spool.Event {
	name := rapid.SampledFrom([]string{"", "b1", "b2", "still", "/s/1/a", "q-1", "ä\x00"})
	num := rapid.OneOf(rapid.Float64Range(-1e9, 1e9), rapid.SampledFrom([]float64{0, 1, 0.1, 1e-300, 123456.789}))
	whole := rapid.IntRange(-1, 1<<40)
	load := rapid.SliceOfN(num, 0, 3)
	n, x, i, b := func() string { return name.Draw(t, "name") }, func() float64 { return num.Draw(t, "number") },
		func() int { return whole.Draw(t, "whole") }, func() bool { return rapid.Bool().Draw(t, "bool") }
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		m := spool.Members{Full: b(), Lost: b()}
		for range rapid.IntRange(0, 3).Draw(t, "rows") {
			m.Rows = append(m.Rows, spool.Member{ID: n(), Zone: n(), Kind: n(), Cell: i(), State: spool.State(rapid.IntRange(0, 2).Draw(t, "state")),
				Size: x(), ReadyAt: x()})
		}
		return m
	case 1:
		return spool.Request{ID: n(), Class: n(), Tenant: n(), Object: n(), Deadline: x(), KB: x(), Group: i(), Part: i(), Retry: b(), Write: b()}
	case 2:
		o := spool.Outcome{ID: n(), Cache: n(), Attempt: i(), Result: spool.Result(rapid.IntRange(0, 8).Draw(t, "result")), Took: x(), Last: b(),
			Note: spool.Note(rapid.IntRange(0, 10).Draw(t, "note")), Waited: x()}
		if l := load.Draw(t, "load"); len(l) > 0 {
			o.Load = l
		}
		return o
	case 3:
		return spool.Started{ID: n(), Cache: n(), Attempt: i()}
	case 4:
		return spool.Gone{ID: n()}
	case 5:
		return spool.Purge{Object: n(), Group: i(), Age: x()}
	case 6:
		return spool.Timer{Token: int64(i())}
	case 7:
		return spool.Probed{Cache: n(), OK: b()}
	}
	return spool.Message{From: i(), Text: n()}
}

func drawActions(t *rapid.T) (out []spool.Action) {
	for range rapid.IntRange(0, 4).Draw(t, "actions") {
		out = append(out, rapid.SampledFrom([]spool.Action{
			spool.Send{ID: "q-1", Cache: "b1", Source: "b2", Keep: 1, Age: 0.1, Timeout: 2, Within: 7, Join: true, Renew: true}, spool.Send{ID: "q-2", Held: true},
			spool.Refuse{ID: "q-1", After: 300}, spool.Fail{ID: "q-9"}, spool.Cancel{ID: "q-1", Attempt: 2}, spool.Wake{In: 25, Token: 1 << 50},
			spool.Probe{Cache: "b1"}, spool.Watch{}, spool.Fetch{}}).Draw(t, "action"))
	}
	return out
}

func readEntries(t testing.TB, path string) (out []*Entry, r *Reader) {
	t.Helper()
	r, err := OpenReader(path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for {
		e, err := r.Next()
		if err == io.EOF {
			return out, r
		}
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
	}
}

// TestRoundTrip checks that all records are read as they were written, over several segments.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "journal-test-")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		w, err := Open(dir, Options{SegmentBytes: 4096})
		if err != nil {
			t.Fatal(err)
		}
		var want []*Entry
		for range rapid.IntRange(1, 80).Draw(t, "records") {
			e := &Entry{Kind: KindHandled, T: rapid.Float64Range(0, 1e12).Draw(t, "t"), Actions: drawActions(t)}
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				*e = Entry{Kind: KindRouterStart, RouterStart: &RouterStart{Name: "r", Seed: 1 << 63, Settings: strings.Repeat("x", 300), UnixMillis: -1}}
				w.RouterStarted(*e.RouterStart)
			case 1:
				e.Kind, e.Version, e.Settings = KindSettings, 7, "(router)"
				w.Settings(e.T, 7, func() string { return "(router)" }, e.Actions)
			default:
				e.Event = drawEvent(t)
				w.Handled(e.T, e.Event, e.Actions)
			}
			want = append(want, e)
		}
		if err := w.Close(); err != nil || w.Lost() != 0 {
			t.Fatal(err, w.Lost())
		}
		r, err := OpenReader(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		for i, wanted := range want {
			got, err := r.Next()
			if err != nil {
				t.Fatalf("record %d: %v", i, err)
			}
			got.Segment, got.Offset, got.Number = "", 0, 0
			if !reflect.DeepEqual(got, wanted) {
				t.Fatalf("record %d: %+v, want %+v", i, got, wanted)
			}
		}
		if _, err := r.Next(); err != io.EOF || r.Truncation() != "" {
			t.Fatalf("after the last record: %v, %s", err, r.Truncation())
		}
	})
}

// writeSample writes a journal of some records and returns its only segment's path and content.
func writeSample(t testing.TB, records int) (file string, bytes []byte) {
	dir := t.TempDir()
	w, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	w.RouterStarted(RouterStart{Name: "r", Settings: "(router)"})
	for i := range records {
		w.Handled(float64(i), spool.Request{ID: fmt.Sprint("q", i), Class: "c", Object: "/o"}, []spool.Action{spool.Send{ID: fmt.Sprint("q", i), Cache: "b"}})
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	list, err := Segments(dir)
	if err != nil || len(list) != 1 {
		t.Fatal(list, err)
	}
	b, err := os.ReadFile(list[0])
	if err != nil {
		t.Fatal(err)
	}
	return list[0], b
}

// TestTruncatedAtAnyByte checks that a truncated journal is read up to the last complete record.
func TestTruncatedAtAnyByte(t *testing.T) {
	file, whole := writeSample(t, 12)
	ends := []int{}
	for at := segmentHeaderSize; at < len(whole); {
		at += recordHeaderSize + int(binary.LittleEndian.Uint32(whole[at:]))
		ends = append(ends, at)
	}
	for cut := range len(whole) {
		if err := os.WriteFile(file, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		want := -1 // the first record is the segment's
		for _, end := range ends {
			if end <= cut {
				want++
			}
		}
		got, r := readEntries(t, file)
		if cut < segmentHeaderSize {
			if len(got) != 1 || got[0].Kind != KindGap {
				t.Fatalf("cut at %d: %+v", cut, got)
			}
			continue
		}
		if len(got) != max(want, 0) {
			t.Fatalf("cut at %d: %d records, want %d", cut, len(got), want)
		}
		whole := cut == segmentHeaderSize
		for _, end := range ends {
			whole = whole || cut == end
		}
		if (r.Truncation() == "") != whole {
			t.Fatalf("cut at %d: %q", cut, r.Truncation())
		}
	}
}

// TestCorruptBytes checks that a changed byte is detected and reported as a gap, and that the
// records before it are read.
func TestCorruptBytes(t *testing.T) {
	file, whole := writeSample(t, 12)
	for at := segmentHeaderSize; at < len(whole); at += 3 {
		b := append([]byte(nil), whole...)
		b[at] ^= 0x40
		os.WriteFile(file, b, 0o600)
		got, r := readEntries(t, file)
		gaps := 0
		for _, e := range got {
			if e.Kind == KindGap {
				gaps++
			} else if e.Kind == KindHandled && e.Event.(spool.Request).ID != fmt.Sprint("q", int(e.T)) {
				t.Fatalf("byte %d changed: %+v", at, e)
			}
		}
		if gaps == 0 && r.Truncation() == "" {
			t.Fatalf("byte %d changed, and neither a gap nor a truncation is reported", at)
		}
	}
}

func encodeRecord(t *testing.T, body any) []byte {
	b, err := enc.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(b)))
	return append(binary.LittleEndian.AppendUint32(out, crc32.Checksum(b, castagnoli)), b...)
}

// TestUnknownKindsAndVersions checks that records of unknown kinds are gaps, that fields which
// a later version has added are ignored, and that a later version of the format is an error
// that says what to do.
func TestUnknownKindsAndVersions(t *testing.T) {
	file, whole := writeSample(t, 2)
	more := append([]byte(nil), whole...)
	known := 0 // strings of the segment so far
	for at := segmentHeaderSize; at < len(whole); {
		size := int(binary.LittleEndian.Uint32(whole[at:]))
		var rec record
		if err := dec.Unmarshal(whole[at+recordHeaderSize:at+recordHeaderSize+size], &rec); err != nil {
			t.Fatal(err)
		}
		known += len(rec.Names)
		at += recordHeaderSize + size
	}
	more = append(more, encodeRecord(t, []any{99, []string{"q7"}, "what is this"})...)
	more = append(more, encodeRecord(t, []any{int(KindHandled), []string{"q8"}, []any{5.0, []any{77, []any{1}}, []any{}}})...)
	more = append(more, encodeRecord(t, []any{int(KindHandled), []string{}, []any{6.0, []any{int(evGone), []any{known, "a later field"}}, []any{}}})...)
	more = append(more, encodeRecord(t, []any{int(KindHandled), []string{}, []any{7.0, []any{int(evGone), []any{99999}}, []any{}}})...)
	more = append(more, encodeRecord(t, []any{int(KindHandled), []string{}, []any{8.0, []any{int(evGone), []any{}}, []any{}}})...)
	os.WriteFile(file, more, 0o600)
	got, _ := readEntries(t, file)
	if len(got) != 8 {
		t.Fatalf("%d records", len(got))
	}
	for i, want := range []string{"unknown kind of record: 99", "unknown kind of event: 77", "", "string 99999 is not in the table", "has 0 fields"} {
		e := got[3+i]
		if want == "" {
			if g, ok := e.Event.(spool.Gone); !ok || g.ID != "q7" {
				t.Errorf("with a later field: %+v", e)
			}
		} else if e.Kind != KindGap || e.Lost != 1 || !strings.Contains(e.Why, want) {
			t.Errorf("%+v, want %q", e, want)
		}
	}
	later := append([]byte(magic+"02"), whole[segmentHeaderSize:]...)
	os.WriteFile(file, later, 0o600)
	r, err := OpenReader(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); err == nil || !strings.Contains(err.Error(), "has version 2 of the format; this program reads up to 1") {
		t.Errorf("a later version: %v", err)
	}
	os.WriteFile(file, []byte("#!/bin/sh\necho hello\n"), 0o600)
	if r, err = OpenReader(file); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); err == nil || !strings.Contains(err.Error(), "is not a segment of a journal") {
		t.Errorf("a file that is not a journal: %v", err)
	}
}

// TestWriterDoesNotBlock checks that Handled does not wait while the writing goroutine is
// stopped, and that the lost records are counted and marked by a gap in their place.
func TestWriterDoesNotBlock(t *testing.T) {
	dir := t.TempDir()
	w := &Writer{dir: dir, options: Options{SegmentBytes: 1 << 20, TotalBytes: 1 << 30, Queue: 100, Warn: func(string) {}, Files: osFileSystem{}}, wake: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{})}
	if err := w.beginSegment(); err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	for i := range 100000 {
		w.Handled(float64(i), spool.Timer{}, nil)
	}
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("Handled took %v for records beyond the queue", took)
	}
	go w.run()
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	got, _ := readEntries(t, dir)
	if w.Lost() != 99900 || len(got) != 101 || got[100].Kind != KindGap || got[100].Lost != 99900 {
		t.Errorf("lost %d; %d records, the last %+v", w.Lost(), len(got), got[len(got)-1])
	}
}

// TestTotalBytesBounded checks that the oldest segments are removed, that the remaining journal
// does not seem to begin with a router start, and that a missing segment is reported as a gap.
func TestTotalBytesBounded(t *testing.T) {
	dir := t.TempDir()
	for range 3 { // restarts append to the journal
		w, err := Open(dir, Options{SegmentBytes: 4096, TotalBytes: 20000})
		if err != nil {
			t.Fatal(err)
		}
		w.RouterStarted(RouterStart{Name: "r"})
		for i := range 2000 {
			w.Handled(float64(i), spool.Request{ID: fmt.Sprint("request-", i)}, nil)
		}
		w.Close()
	}
	list, err := Segments(dir)
	if err != nil {
		t.Fatal(err)
	}
	var total int64
	for _, f := range list {
		st, _ := os.Stat(f)
		total += st.Size()
	}
	if total > 20000+3*4096 || len(list) < 3 {
		t.Errorf("%d bytes in %d segments", total, len(list))
	}
	os.Remove(list[1])
	got, _ := readEntries(t, dir)
	gaps := 0
	for _, e := range got {
		if e.Kind == KindGap && strings.Contains(e.Why, "are missing before") {
			gaps++
		}
	}
	if gaps != 1 || got[0].Kind == KindRouterStart {
		t.Errorf("%d gaps; the first record is %+v", gaps, got[0])
	}
}

// TestDiskFails checks that a removed directory is reported to the operator and that the lost
// records are counted, without an error for the router.
func TestDiskFails(t *testing.T) {
	if os.Getuid() == 0 {
		t.Log("runs as root: the directory is removed instead of made read-only")
	}
	dir := filepath.Join(t.TempDir(), "j")
	warnings := make(chan string, 10)
	w, err := Open(dir, Options{SegmentBytes: 4096, Warn: func(s string) { warnings <- s }})
	if err != nil {
		t.Fatal(err)
	}
	os.RemoveAll(dir)
	for i := range 300 {
		w.Handled(float64(i), spool.Request{ID: fmt.Sprint("request-of-some-length-", i)}, nil)
	}
	select {
	case s := <-warnings:
		if !strings.Contains(s, "records are lost until") {
			t.Error(s)
		}
	case <-time.After(10 * time.Second):
		t.Error("no warning")
	}
	if err := w.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		t.Error(err)
	}
	if w.Lost() == 0 {
		t.Error("no record is counted as lost")
	}
}

// TestVersion1 checks that a journal in version 1 of the format, kept in testdata, can be read
// whatever the current version is. SPOOL_GOLDEN=write rewrites it, which is correct only while
// version 1 has not been released.
func TestVersion1(t *testing.T) {
	const golden = "testdata/version-1"
	want := []Entry{
		{T: 1.5, Event: spool.Members{Full: true, Rows: []spool.Member{{ID: "b1", Zone: "z", Kind: "box", Size: 2, ReadyAt: 3.25}}}, Actions: []spool.Action{spool.Wake{In: 25}}},
		{T: 2, Event: spool.Request{ID: "q", Class: "still", Object: "/s/1/a", Deadline: 900, KB: 1.5, Group: 1, Part: 4, Retry: true}, Actions: []spool.Action{spool.Send{ID: "q", Cache: "b1", Source: "p", Keep: 1, Age: 1e9, Timeout: 7, Join: true, Held: true}}},
		{T: 3, Event: spool.Outcome{ID: "q", Cache: "b1", Result: spool.Rejected, Took: 1, Note: spool.NoteSourceMiss, Load: []float64{0.5}}, Actions: []spool.Action{spool.Refuse{ID: "q", After: 300}, spool.Cancel{ID: "q", Attempt: 1}}},
		{T: 4, Event: spool.Purge{Object: "/s/1/a", Age: 2}},
		{T: 5, Event: spool.Message{From: 2, Text: "hello"}, Actions: []spool.Action{spool.Fail{ID: "x"}}},
	}
	if os.Getenv("SPOOL_GOLDEN") == "write" {
		os.RemoveAll(golden)
		w, err := Open(golden, Options{})
		if err != nil {
			t.Fatal(err)
		}
		w.RouterStarted(RouterStart{Name: "r", Program: "p", UnixMillis: 7, Seed: 9, SettingsVersion: 3, Settings: "(router)"})
		for _, e := range want {
			w.Handled(e.T, e.Event, e.Actions)
		}
		w.Settings(6, 4, func() string { return "(router (me 1))" }, nil)
		w.Close()
	}
	got, _ := readEntries(t, golden)
	if len(got) != len(want)+2 || got[0].RouterStart == nil || got[0].RouterStart.SettingsVersion != 3 || got[len(got)-1].Settings != "(router (me 1))" {
		t.Fatalf("%+v", got)
	}
	for i, e := range want {
		g := got[i+1]
		if g.T != e.T || !reflect.DeepEqual(g.Event, e.Event) || len(g.Actions) != len(e.Actions) || len(e.Actions) > 0 && !reflect.DeepEqual(g.Actions, e.Actions) {
			t.Errorf("%d: %+v, want %+v", i, g, e)
		}
	}
}

func BenchmarkHandled(b *testing.B) {
	w, err := Open(b.TempDir(), Options{Queue: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	acts := []spool.Action{spool.Send{ID: "q-1", Cache: "b1", Source: "b2", Keep: 1, Age: 0.1, Timeout: 2}}
	var ev spool.Event = spool.Request{ID: "q-1", Class: "still", Object: "/s/1/a"}
	b.ReportAllocs()
	for b.Loop() {
		w.Handled(1, ev, acts)
	}
	b.ReportMetric(float64(w.Lost()), "lost")
}

// BenchmarkEncode measures the encoding on the writing goroutine, with the four records of a
// request in turn.
func BenchmarkEncode(b *testing.B) {
	w := &Writer{dir: b.TempDir(), options: Options{SegmentBytes: 1 << 40, TotalBytes: 1 << 50, Warn: func(string) {}}}
	if err := w.beginSegment(); err != nil {
		b.Fatal(err)
	}
	defer w.file.Close()
	acts := []spool.Action{spool.Send{}, spool.Wake{In: 2990, Token: 77}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprintf("router-1-1iijn-%x", i/4)
		it := item{time: float64(i) * 1.234567, firstAction: 0, endAction: 0}
		switch i % 4 {
		case 0:
			acts[0] = spool.Send{ID: id, Cache: "north-1", Source: "north-1", Keep: 1, Age: 1e9}
			it.event, it.endAction = spool.Request{ID: id, Class: "still", Object: fmt.Sprintf("/s/1/o%d", i%1000), Deadline: 123456.789, KB: 40}, 2
		case 1:
			it.event = spool.Started{ID: id, Cache: "north-1"}
		case 2:
			it.event = spool.Outcome{ID: id, Cache: "north-1", Took: 1.25, Last: true, Note: spool.NoteHit}
		case 3:
			it.event = spool.Timer{Token: int64(i)}
		}
		if err := w.encode(&it, acts); err != nil {
			b.Fatal(err)
		}
		if len(w.buf) > 1<<20 {
			w.buf = w.buf[:0]
		}
	}
}

// TestHotRestart checks that a successor, which skips segment numbers, and its predecessor can
// both write to a journal, and that the two runs are read one after the other without a gap.
func TestHotRestart(t *testing.T) {
	dir := t.TempDir()
	old, err := Open(dir, Options{SegmentBytes: 4096})
	if err != nil {
		t.Fatal(err)
	}
	old.RouterStarted(RouterStart{Name: "r"})
	next, err := Open(dir, Options{SegmentBytes: 4096, SkipNumbers: true})
	if err != nil {
		t.Fatal(err)
	}
	next.RouterStarted(RouterStart{Name: "r"})
	memory := &spool.Snapshot{At: 3, CostHistogram: []float64{1, 2.5}, ObjectPurges: map[string]float64{"o": 2}}
	next.Handled(3, spool.Recalled{Memory: memory}, nil)
	for i := range 500 {
		old.Handled(float64(i), spool.Request{ID: fmt.Sprint("old-", i)}, nil)
		next.Handled(float64(i), spool.Request{ID: fmt.Sprint("next-", i)}, nil)
	}
	old.Handled(9, spool.Retired{On: true}, nil)
	for _, w := range []*Writer{old, next} {
		if err := w.Close(); err != nil || w.Lost() > 0 {
			t.Fatal(err, w.Lost())
		}
	}
	got, _ := readEntries(t, dir)
	if len(got) != 2+2+1000 {
		t.Fatalf("%d records", len(got))
	}
	runs := 0
	for _, e := range got {
		switch ev := e.Event.(type) {
		case spool.Request:
			if strings.HasPrefix(ev.ID, "old-") != (runs == 1) {
				t.Fatalf("%s in run %d", ev.ID, runs)
			}
		case spool.Recalled:
			if !reflect.DeepEqual(ev.Memory, memory) {
				t.Errorf("%+v", ev.Memory)
			}
		case spool.Retired:
			if !ev.On || runs != 1 {
				t.Error(ev, runs)
			}
		}
		switch e.Kind {
		case KindRouterStart:
			runs++
		case KindGap:
			t.Error(e.Why)
		}
	}
}

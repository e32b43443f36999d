package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	spool "indigospool"
)

// Options bound a journal. Zero fields mean the defaults.
type Options struct {
	SegmentBytes int64             // bytes of a segment; default 64 MB
	TotalBytes   int64             // bytes of all: the oldest segments go; default 2 GB
	Queue        int               // records that wait to be written; more are lost, and counted; default 65536
	Warn         func(text string) // for the operator
	SkipNumbers  bool              // leave numbers free: another process still writes behind what is there
	Files        FileSystem        // where segments are made; nil: the operating system's
}

// FileSystem makes the file operations of a writer. Tests put one in its place that
// fails.
type FileSystem interface {
	Create(path string) (File, error) // fails where there is one
	Remove(path string) error
}

// File is a segment that is written.
type File interface {
	io.WriteCloser
	Sync() error
}

type disk struct{}

func (disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
}

func (disk) Remove(path string) error { return os.Remove(path) }

// Writer writes a journal into a folder. Handled and Settings are called from
// one goroutine, a router's loop, and never wait for the disk.
type Writer struct {
	dir string
	o   Options

	mu   sync.Mutex
	in   batch
	full chan struct{}
	stop chan struct{}
	done chan struct{}
	once sync.Once
	lost atomic.Uint64

	// of the writing goroutine
	f       File
	path    string // of f, or of the segment that f was; empty: it is booked
	size    int64
	old     []segmentFile // ended, the oldest first
	total   int64         // bytes of them
	index   int64
	records int64
	names   names
	buf     []byte
	one     bytes.Buffer  // a record
	retry   time.Time     // after a fault: not before
	wait    time.Duration // the last one's
	missed  uint64        // records that are lost since the last gap that was written
	telling uint64        // of these, told by the gap that waits to be written
}

// segmentFile is a segment that has ended.
type segmentFile struct {
	path string
	size int64
}

// batch is what waits to be written; actions of all items stand in one slice.
type batch struct {
	items []item
	acts  []spool.Action
	lost  uint64 // after the items
}

type item struct {
	t     float64
	ev    spool.Event
	life  *RouterStart
	other *settings
	text  func() string // of other
	from  int           // its actions
	to    int
}

// Open begins a journal in a folder, behind what is there. A disk that takes no writes
// for now is no error: records are lost until it does.
func Open(dir string, o Options) (*Writer, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 64 << 20
	}
	if o.TotalBytes <= 0 {
		o.TotalBytes = 2 << 30
	}
	if o.Queue <= 0 {
		o.Queue = 1 << 16
	}
	if o.Warn == nil {
		o.Warn = func(string) {}
	}
	if o.Files == nil {
		o.Files = disk{}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	list, err := Segments(dir)
	if err != nil {
		return nil, err
	}
	w := &Writer{dir: dir, o: o, full: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	for _, path := range list {
		if st, err := os.Stat(path); err == nil {
			w.old = append(w.old, segmentFile{path, max(st.Size(), 1)})
			w.total += max(st.Size(), 1)
		}
	}
	if n := len(list); n > 0 {
		fmt.Sscanf(filepath.Base(list[n-1]), partOfName, &w.index)
		w.index++
		if o.SkipNumbers {
			w.index = (w.index/skipped + 2) * skipped
		}
	}
	if err := w.begin(); err != nil {
		if !passing(err) {
			return nil, err
		}
		w.fail(err, 0, 0)
	}
	go w.run()
	return w, nil
}

// skipped is how many numbers of segments are left free, from one to two times.
const skipped = 1000

// Segments are the files of a journal in their order.
func Segments(dir string) ([]string, error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	var out []string
	for _, e := range all {
		if strings.HasSuffix(e.Name(), Extension) {
			out = append(out, filepath.Join(dir, e.Name()))
		}
	}
	sort.Strings(out)
	return out, nil
}

// RouterStarted says that a router starts: what follows is told to a new module.
func (w *Writer) RouterStarted(l RouterStart) { w.put(item{life: &l}, nil) }

// Handled records an event and its actions. It keeps neither.
func (w *Writer) Handled(now float64, ev spool.Event, acts []spool.Action) {
	switch e := ev.(type) { // their loads are used anew
	case spool.Outcome:
		if len(e.Load) > 0 {
			e.Load = append([]float64(nil), e.Load...)
			ev = e
		}
	case spool.Probed:
		if len(e.Load) > 0 {
			e.Load = append([]float64(nil), e.Load...)
			ev = e
		}
	}
	w.put(item{t: now, ev: ev}, acts)
}

// Settings records that the module was told other settings. text is called on the
// writer's goroutine.
func (w *Writer) Settings(now float64, number int64, text func() string, acts []spool.Action) {
	w.put(item{t: now, other: &settings{Number: number}, text: text}, acts)
}

func (w *Writer) put(it item, acts []spool.Action) {
	w.mu.Lock()
	if len(w.in.items) >= w.o.Queue {
		w.in.lost++
		w.mu.Unlock()
		w.lost.Add(1)
		return
	}
	it.from = len(w.in.acts)
	w.in.acts = append(w.in.acts, acts...)
	it.to = len(w.in.acts)
	w.in.items = append(w.in.items, it)
	half := len(w.in.items) == w.o.Queue/4
	w.mu.Unlock()
	if half {
		select {
		case w.full <- struct{}{}:
		default:
		}
	}
}

// Lost is how many records were lost.
func (w *Writer) Lost() uint64 { return w.lost.Load() }

// Close writes what waits, and ends.
func (w *Writer) Close() error {
	var err error
	w.once.Do(func() {
		close(w.stop)
		<-w.done
		if w.f != nil {
			err = w.f.Close()
		}
	})
	return err
}

const flushEvery = 50 * time.Millisecond

func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	var spare batch
	for ending := false; !ending; {
		select {
		case <-t.C:
		case <-w.full:
		case <-w.stop:
			ending = true
		}
		w.mu.Lock()
		b := w.in
		w.in = batch{items: spare.items[:0], acts: spare.acts[:0]}
		w.mu.Unlock()
		w.write(&b)
		clear(b.items)
		clear(b.acts)
		spare = b
	}
}

const (
	firstRetry = 250 * time.Millisecond // of a new segment after a fault
	lastRetry  = 5 * time.Second
)

// write writes a batch; on a fault of the disk it is lost, and a new segment is
// tried after a while.
func (w *Writer) write(b *batch) {
	if len(b.items) == 0 && b.lost == 0 {
		return
	}
	if w.f == nil && time.Now().Before(w.retry) {
		w.miss(len(b.items), b.lost)
		return
	}
	written, err := w.writeBatch(b)
	if err == nil {
		w.wait = 0
		return
	}
	w.fail(err, len(b.items)-written, b.lost)
}

// fail counts what a fault of the disk costs, and has a new segment tried after a
// while.
func (w *Writer) fail(err error, records int, counted uint64) {
	w.telling = 0
	if w.missed == 0 {
		w.o.Warn(fmt.Sprintf("journal: %v; records are lost until it can be written again", err))
	}
	w.miss(records, counted)
	if w.f != nil {
		w.f.Close()
		w.f = nil
	}
	w.wait = min(max(2*w.wait, firstRetry), lastRetry)
	w.retry = time.Now().Add(w.wait)
}

// passing reports whether an error is one of the disk or the process, that may pass,
// and not one of the folder's path.
func passing(err error) bool {
	for _, one := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// miss counts records that are lost, and others that had been counted already.
func (w *Writer) miss(records int, counted uint64) {
	w.missed += uint64(records) + counted
	w.lost.Add(uint64(records))
}

// writeBatch says how many of the batch's records are surely written.
func (w *Writer) writeBatch(b *batch) (written int, err error) {
	if w.f == nil {
		if err := w.begin(); err != nil {
			return 0, err
		}
	}
	w.buf = w.buf[:0]
	if w.missed > 0 {
		w.names.begin()
		w.add(KindGap, w.missed)
		w.telling = w.missed
	}
	for i := range b.items {
		if err := w.encode(&b.items[i], b.acts); err != nil { // nothing that it is told of is unknown to it
			w.o.Warn(err.Error())
			w.add(KindGap, uint64(1)) // with the strings that it has made known
		}
		if len(w.buf) >= 1<<20 || w.size+int64(len(w.buf)) >= w.o.SegmentBytes {
			if err := w.flush(); err != nil {
				return written, err
			}
			written = i + 1
			if w.size >= w.o.SegmentBytes {
				if err := w.next(); err != nil {
					return written, err
				}
			}
		}
	}
	if b.lost > 0 {
		w.names.begin()
		w.add(KindGap, b.lost)
	}
	return written, w.flush()
}

func (w *Writer) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	n, err := w.f.Write(w.buf)
	w.size += int64(n)
	w.buf = w.buf[:0]
	if err == nil {
		w.missed -= w.telling
		w.telling = 0
	}
	return err
}

func (w *Writer) encode(it *item, acts []spool.Action) error {
	w.names.begin()
	if it.life != nil {
		return w.add(KindRouterStart, it.life)
	}
	list := make([]written, 0, it.to-it.from)
	var ev written
	if it.other == nil {
		var err error
		if ev, err = w.names.event(it.ev); err != nil {
			return err
		}
	}
	for _, a := range acts[it.from:it.to] {
		one, err := w.names.action(a)
		if err != nil {
			return err
		}
		list = append(list, one)
	}
	if it.other != nil {
		return w.add(KindSettings, &writtenSettings{T: it.t, Number: it.other.Number, Text: it.text(), Actions: list})
	}
	return w.add(KindHandled, &writtenHandled{T: it.t, Event: ev, Actions: list})
}

// add appends a record to the buffer.
func (w *Writer) add(k Kind, body any) error {
	w.one.Reset()
	if err := enc.MarshalToBuffer(&writtenRecord{Kind: k, Names: w.names.fresh, Body: body}, &w.one); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	out := w.one.Bytes()
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(len(out)))
	w.buf = binary.LittleEndian.AppendUint32(w.buf, crc32.Checksum(out, castagnoli))
	w.buf = append(w.buf, out...)
	w.records++
	return nil
}

// next ends a segment and begins another.
func (w *Writer) next() error {
	if err := w.f.Sync(); err != nil {
		return err
	}
	if err := w.f.Close(); err != nil {
		return err
	}
	w.f = nil
	return w.begin()
}

// begin begins a segment, and removes the oldest past the bound.
func (w *Writer) begin() error {
	w.ended()
	path := filepath.Join(w.dir, fmt.Sprintf(partOfName, w.index)+Extension)
	f, err := w.o.Files.Create(path)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	w.names = names{}
	w.names.begin()
	keep := w.buf
	w.buf = append([]byte(nil), fmt.Sprintf("%s%02d", magic, FormatVersion)...)
	w.add(KindSegment, &segment{Index: w.index, First: w.records})
	n, err := f.Write(w.buf)
	w.buf = keep
	if err != nil {
		f.Close()
		if w.o.Files.Remove(path) != nil {
			w.index++ // it stands in the way, and is shorter than a segment's start
		}
		return fmt.Errorf("journal: %w", err)
	}
	w.f, w.size = f, int64(n)
	w.index++
	for len(w.old) > 0 && w.total > w.o.TotalBytes {
		w.o.Files.Remove(w.old[0].path) // one that is gone already is no loss
		w.total -= w.old[0].size
		w.old = w.old[1:]
	}
	w.path = path
	return nil
}

// ended books the segment that was written last.
func (w *Writer) ended() {
	if w.path != "" {
		w.old = append(w.old, segmentFile{w.path, max(w.size, 1)})
		w.total += max(w.size, 1)
		w.path = ""
	}
}

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

// Options configure a Writer. Zero fields have the default values.
type Options struct {
	SegmentBytes int64             // size at which a segment ends; default 64 MB
	TotalBytes   int64             // size of all segments; the oldest are removed; default 2 GB
	Queue        int               // records waiting to be written; further ones are lost and counted; default 65536
	Warn         func(text string) // called with messages for the operator
	SkipNumbers  bool              // skip segment numbers, because another process is still appending segments
	Files        FileSystem        // nil: the operating system's files
}

// FileSystem has the file operations of a Writer. Tests replace it to inject faults.
type FileSystem interface {
	Create(path string) (File, error) // fails if the file exists
	Remove(path string) error
}

// File is a segment's file, opened for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

type osFileSystem struct{}

func (osFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
}

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

// Writer writes a journal into a directory. RouterStarted, Handled and Settings are called
// from one goroutine, the router's event loop, and never wait for the disk: a second goroutine
// writes the records.
type Writer struct {
	dir     string
	options Options

	mu        sync.Mutex
	pending   batch
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	lost      atomic.Uint64

	// used only by the writing goroutine
	file          File
	currentPath   string // of the segment that was begun last; empty: it is in finished
	currentSize   int64
	finished      []segmentFile // oldest first
	finishedBytes int64         // size of the finished segments
	nextIndex     int64         // number of the next segment
	records       int64         // number of records that were appended
	table         stringTable
	buf           []byte
	recordBuf     bytes.Buffer  // the record that is being encoded
	retryAt       time.Time     // after a fault: no new segment before this time
	backoff       time.Duration // current delay after a fault; 0: none
	unreported    uint64        // lost records that no written gap record covers
	reporting     uint64        // number of these that the gap record in buf covers
}

// segmentFile is a finished segment.
type segmentFile struct {
	path string
	size int64
}

// batch holds the items waiting to be written. The actions of all items are in one slice.
type batch struct {
	items   []item
	actions []spool.Action
	lost    uint64 // number of records that were lost after the items
}

type item struct {
	time        float64
	event       spool.Event
	start       *RouterStart
	settings    *settings
	text        func() string // returns the text for settings
	firstAction int           // the item's actions are batch.actions[firstAction:endAction]
	endAction   int
}

// Open returns a Writer that appends to the journal in a directory, and creates the directory
// if necessary. A transient fault of the disk is not an error: records are lost until the disk
// can be written again.
func Open(dir string, options Options) (*Writer, error) {
	if options.SegmentBytes <= 0 {
		options.SegmentBytes = 64 << 20
	}
	if options.TotalBytes <= 0 {
		options.TotalBytes = 2 << 30
	}
	if options.Queue <= 0 {
		options.Queue = 1 << 16
	}
	if options.Warn == nil {
		options.Warn = func(string) {}
	}
	if options.Files == nil {
		options.Files = osFileSystem{}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	list, err := Segments(dir)
	if err != nil {
		return nil, err
	}
	w := &Writer{dir: dir, options: options, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	for _, path := range list {
		if st, err := os.Stat(path); err == nil {
			w.finished = append(w.finished, segmentFile{path, max(st.Size(), 1)})
			w.finishedBytes += max(st.Size(), 1)
		}
	}
	if n := len(list); n > 0 {
		fmt.Sscanf(filepath.Base(list[n-1]), segmentNameFormat, &w.nextIndex)
		w.nextIndex++
		if options.SkipNumbers {
			w.nextIndex = (w.nextIndex/reservedNumbers + 2) * reservedNumbers
		}
	}
	if err := w.beginSegment(); err != nil {
		if !isTransient(err) {
			return nil, err
		}
		w.handleFault(err, 0, 0)
	}
	go w.run()
	return w, nil
}

// reservedNumbers is the unit in which Options.SkipNumbers skips segment numbers: one to two
// units stay free for the process that is still writing.
const reservedNumbers = 1000

// Segments returns the paths of a journal's segments in their order.
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

// RouterStarted records the start of a router: the following records are of a new module.
func (w *Writer) RouterStarted(s RouterStart) { w.enqueue(item{start: &s}, nil) }

// Handled records an event and its actions. It copies the slices that the caller may reuse.
func (w *Writer) Handled(now float64, event spool.Event, actions []spool.Action) {
	switch e := event.(type) { // the caller reuses the Load slices
	case spool.Outcome:
		if len(e.Load) > 0 {
			e.Load = append([]float64(nil), e.Load...)
			event = e
		}
	case spool.Probed:
		if len(e.Load) > 0 {
			e.Load = append([]float64(nil), e.Load...)
			event = e
		}
	}
	w.enqueue(item{time: now, event: event}, actions)
}

// Settings records a change of the module's settings. text is called on the writing goroutine.
func (w *Writer) Settings(now float64, version int64, text func() string, actions []spool.Action) {
	w.enqueue(item{time: now, settings: &settings{Version: version}, text: text}, actions)
}

// enqueue adds a record to the pending batch, or counts it as lost if the queue is full.
func (w *Writer) enqueue(it item, actions []spool.Action) {
	w.mu.Lock()
	if len(w.pending.items) >= w.options.Queue {
		w.pending.lost++
		w.mu.Unlock()
		w.lost.Add(1)
		return
	}
	it.firstAction = len(w.pending.actions)
	w.pending.actions = append(w.pending.actions, actions...)
	it.endAction = len(w.pending.actions)
	w.pending.items = append(w.pending.items, it)
	quarterFull := len(w.pending.items) == w.options.Queue/4
	w.mu.Unlock()
	if quarterFull {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// Lost returns the number of records that were lost.
func (w *Writer) Lost() uint64 { return w.lost.Load() }

// Close writes the waiting records and closes the journal.
func (w *Writer) Close() error {
	var err error
	w.closeOnce.Do(func() {
		close(w.stop)
		<-w.done
		if w.file != nil {
			err = w.file.Close()
		}
	})
	return err
}

const flushInterval = 50 * time.Millisecond

// run writes the pending records at each flush interval, or earlier if the queue fills up.
func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var spare batch
	for ending := false; !ending; {
		select {
		case <-t.C:
		case <-w.wake:
		case <-w.stop:
			ending = true
		}
		w.mu.Lock()
		b := w.pending
		w.pending = batch{items: spare.items[:0], actions: spare.actions[:0]}
		w.mu.Unlock()
		w.write(&b)
		clear(b.items)
		clear(b.actions)
		spare = b
	}
}

const (
	minBackoff = 250 * time.Millisecond // before a new segment is tried after a fault
	maxBackoff = 5 * time.Second
)

// write writes a batch. After a fault of the disk, the records that are not yet written are
// lost, and a new segment is tried after the backoff.
func (w *Writer) write(b *batch) {
	if len(b.items) == 0 && b.lost == 0 {
		return
	}
	if w.file == nil && time.Now().Before(w.retryAt) {
		w.countLost(len(b.items), b.lost)
		return
	}
	written, err := w.writeBatch(b)
	if err == nil {
		w.backoff = 0
		return
	}
	w.handleFault(err, len(b.items)-written, b.lost)
}

// handleFault counts the records that a fault of the disk has cost, gives up the segment and
// sets the backoff.
func (w *Writer) handleFault(err error, records int, alreadyCounted uint64) {
	w.reporting = 0
	if w.unreported == 0 {
		w.options.Warn(fmt.Sprintf("journal: %v; records are lost until the journal can be written again", err))
	}
	w.countLost(records, alreadyCounted)
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.retryAt = time.Now().Add(w.backoff)
}

// isTransient reports whether an error is caused by the state of the disk or the process,
// which may change, and not by the directory's path.
func isTransient(err error) bool {
	for _, one := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// countLost adds lost records to the next gap record: some that are new, and some that lost
// already includes.
func (w *Writer) countLost(records int, alreadyCounted uint64) {
	w.unreported += uint64(records) + alreadyCounted
	w.lost.Add(uint64(records))
}

// writeBatch writes a batch and returns how many of its records are known to be written.
func (w *Writer) writeBatch(b *batch) (written int, err error) {
	if w.file == nil {
		if err := w.beginSegment(); err != nil {
			return 0, err
		}
	}
	w.buf = w.buf[:0]
	if w.unreported > 0 {
		w.table.beginRecord()
		w.appendRecord(KindGap, w.unreported)
		w.reporting = w.unreported
	}
	for i := range b.items {
		if err := w.encode(&b.items[i], b.actions); err != nil { // not expected: all events and actions are known
			w.options.Warn(err.Error())
			w.appendRecord(KindGap, uint64(1)) // also adds the strings that the failed record has interned
		}
		if len(w.buf) >= 1<<20 || w.currentSize+int64(len(w.buf)) >= w.options.SegmentBytes {
			if err := w.flush(); err != nil {
				return written, err
			}
			written = i + 1
			if w.currentSize >= w.options.SegmentBytes {
				if err := w.rotate(); err != nil {
					return written, err
				}
			}
		}
	}
	if b.lost > 0 {
		w.table.beginRecord()
		w.appendRecord(KindGap, b.lost)
	}
	return written, w.flush()
}

// flush writes buf to the current segment.
func (w *Writer) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	n, err := w.file.Write(w.buf)
	w.currentSize += int64(n)
	w.buf = w.buf[:0]
	if err == nil {
		w.unreported -= w.reporting
		w.reporting = 0
	}
	return err
}

// encode appends an item to buf as a record.
func (w *Writer) encode(it *item, actions []spool.Action) error {
	w.table.beginRecord()
	if it.start != nil {
		return w.appendRecord(KindRouterStart, it.start)
	}
	list := make([]encoded, 0, it.endAction-it.firstAction)
	var ev encoded
	if it.settings == nil {
		var err error
		if ev, err = w.table.encodeEvent(it.event); err != nil {
			return err
		}
	}
	for _, a := range actions[it.firstAction:it.endAction] {
		one, err := w.table.encodeAction(a)
		if err != nil {
			return err
		}
		list = append(list, one)
	}
	if it.settings != nil {
		return w.appendRecord(KindSettings, &encodedSettings{T: it.time, Version: it.settings.Version, Text: it.text(), Actions: list})
	}
	return w.appendRecord(KindHandled, &encodedHandled{T: it.time, Event: ev, Actions: list})
}

// appendRecord appends an encoded record to buf.
func (w *Writer) appendRecord(kind Kind, body any) error {
	w.recordBuf.Reset()
	if err := enc.MarshalToBuffer(&encodedRecord{Kind: kind, Names: w.table.added, Body: body}, &w.recordBuf); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	out := w.recordBuf.Bytes()
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(len(out)))
	w.buf = binary.LittleEndian.AppendUint32(w.buf, crc32.Checksum(out, castagnoli))
	w.buf = append(w.buf, out...)
	w.records++
	return nil
}

// rotate ends the current segment and begins the next.
func (w *Writer) rotate() error {
	if err := w.file.Sync(); err != nil {
		return err
	}
	if err := w.file.Close(); err != nil {
		return err
	}
	w.file = nil
	return w.beginSegment()
}

// beginSegment begins a segment, and removes the oldest ones beyond Options.TotalBytes.
func (w *Writer) beginSegment() error {
	w.finishSegment()
	path := filepath.Join(w.dir, fmt.Sprintf(segmentNameFormat, w.nextIndex)+Extension)
	f, err := w.options.Files.Create(path)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	w.table = stringTable{}
	w.table.beginRecord()
	unwritten := w.buf
	w.buf = append([]byte(nil), fmt.Sprintf("%s%02d", magic, FormatVersion)...)
	w.appendRecord(KindSegment, &segment{Index: w.nextIndex, First: w.records})
	n, err := f.Write(w.buf)
	w.buf = unwritten
	if err != nil {
		f.Close()
		if w.options.Files.Remove(path) != nil {
			w.nextIndex++ // the incomplete file blocks this number; the reader reports it as a gap
		}
		return fmt.Errorf("journal: %w", err)
	}
	w.file, w.currentSize = f, int64(n)
	w.nextIndex++
	for len(w.finished) > 0 && w.finishedBytes > w.options.TotalBytes {
		w.options.Files.Remove(w.finished[0].path) // it may already have been removed
		w.finishedBytes -= w.finished[0].size
		w.finished = w.finished[1:]
	}
	w.currentPath = path
	return nil
}

// finishSegment moves the segment that was begun last to the finished ones.
func (w *Writer) finishSegment() {
	if w.currentPath != "" {
		w.finished = append(w.finished, segmentFile{w.currentPath, max(w.currentSize, 1)})
		w.finishedBytes += max(w.currentSize, 1)
		w.currentPath = ""
	}
}

package journal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"

	spool "indigospool"
)

// Entry is a record that has been read.
type Entry struct {
	Kind    Kind
	Segment string // path of the segment's file
	Offset  int64  // of the record in the segment, bytes
	Number  int64  // of the entry among those of this reader, from 0

	T           float64     // ms on the router's clock
	Event       spool.Event // of KindHandled
	Actions     []spool.Action
	RouterStart *RouterStart // of KindRouterStart
	Settings    string       // of KindSettings
	Version     int64        // of KindSettings
	Lost        uint64       // of KindGap: number of records, 0 if unknown
	Why         string       // of KindGap: the cause
}

// Reader reads the segments of a journal in their order. Its memory is bounded.
type Reader struct {
	files           []string
	file            *os.File
	buffered        *bufio.Reader
	offset          int64
	table           stringTable
	lastSegment     int64 // number of the previous segment; -1: none
	entries         int64
	pendingGap      string // cause of a gap to be returned before the next entry
	missingSegments string // likewise, but dropped if the next entry is a router start: see Options.SkipNumbers
	pendingEntry    *Entry // to be returned after the gap for missing segments
	truncation      string
}

// OpenReader returns a Reader for a directory of segments or for a single segment.
func OpenReader(path string) (*Reader, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	files := []string{path}
	if info.IsDir() {
		if files, err = Segments(path); err != nil {
			return nil, err
		}
		if len(files) == 0 {
			return nil, fmt.Errorf("journal: %s contains no segments (*%s)", path, Extension)
		}
	}
	return &Reader{files: files, lastSegment: -1}, nil
}

// Close closes the open segment, if any.
func (r *Reader) Close() {
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
}

// Truncation returns a message if the last segment ends with an incomplete record, as after a
// crash, and "" otherwise.
func (r *Reader) Truncation() string { return r.truncation }

var errCorrupt = errors.New("corrupt record")

// Next returns the next entry, and io.EOF after the last complete record. A record that cannot
// be decoded, such as one of an unknown kind, is returned as a gap. So is the rest of a segment
// after corrupt data; Next then continues with the next segment. An unknown version of the
// format is an error.
func (r *Reader) Next() (*Entry, error) {
	if e := r.pendingEntry; e != nil {
		r.pendingEntry = nil
		return e, nil
	}
	for {
		if r.file == nil {
			if len(r.files) == 0 {
				return nil, io.EOF
			}
			if err := r.openSegment(r.files[0]); err != nil {
				return nil, err
			}
			r.files = r.files[1:]
		}
		if r.pendingGap != "" {
			e := r.newEntry(KindGap)
			e.Why, r.pendingGap = r.pendingGap, ""
			return e, nil
		}
		offset := r.offset
		payload, err := r.readRecord()
		switch {
		case err == io.EOF:
			r.Close()
			continue
		case errors.Is(err, io.ErrUnexpectedEOF) && len(r.files) == 0:
			r.truncation = fmt.Sprintf("%s is truncated: its last record, at byte %d, is incomplete", r.file.Name(), offset)
			r.Close()
			return nil, io.EOF
		case err != nil:
			r.pendingGap = fmt.Sprintf("%s is unreadable from byte %d on: %v", r.file.Name(), offset, err)
			e := r.newEntry(KindGap)
			e.Offset, e.Why, r.pendingGap = offset, r.pendingGap, ""
			r.Close()
			return e, nil
		}
		e, err := r.decode(payload, offset)
		if err != nil {
			e = r.newEntry(KindGap)
			e.Offset, e.Lost, e.Why = offset, 1, err.Error()
			return e, nil
		}
		if e != nil {
			reason := r.missingSegments
			if r.missingSegments = ""; reason != "" && e.Kind != KindRouterStart {
				r.pendingEntry = e
				gap := r.newEntry(KindGap)
				gap.Why = reason
				return gap, nil
			}
			return e, nil
		}
	}
}

// newEntry returns an entry at the present offset, and counts it.
func (r *Reader) newEntry(kind Kind) *Entry {
	r.entries++
	return &Entry{Kind: kind, Segment: r.file.Name(), Offset: r.offset, Number: r.entries - 1}
}

func (r *Reader) openSegment(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	r.file, r.table, r.offset = f, stringTable{}, segmentHeaderSize
	if r.buffered == nil {
		r.buffered = bufio.NewReaderSize(f, 1<<18)
	} else {
		r.buffered.Reset(f)
	}
	var head [segmentHeaderSize]byte
	if _, err := io.ReadFull(r.buffered, head[:]); err != nil {
		r.pendingGap = fmt.Sprintf("%s is shorter than a segment's header", path)
		return nil
	}
	version, err := strconv.Atoi(string(head[len(magic):]))
	if string(head[:len(magic)]) != magic || err != nil {
		r.Close()
		return fmt.Errorf("journal: %s is not a segment of a journal (its header is %q)", path, head)
	}
	if version > FormatVersion || version < 1 {
		r.Close()
		return fmt.Errorf("journal: %s has version %d of the format; this program reads up to %d: use a newer program", path, version, FormatVersion)
	}
	return nil
}

// readRecord reads the next record and verifies its checksum.
func (r *Reader) readRecord() ([]byte, error) {
	var head [recordHeaderSize]byte
	n, err := io.ReadFull(r.buffered, head[:])
	if err != nil {
		if n == 0 && err == io.EOF {
			return nil, io.EOF
		}
		return nil, io.ErrUnexpectedEOF
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size == 0 || size > maxRecordSize {
		return nil, fmt.Errorf("%w: record size is %d bytes, want 1 to %d", errCorrupt, size, maxRecordSize)
	}
	payload := make([]byte, 0, min(size, 1<<16))
	for uint32(len(payload)) < size { // allocate in chunks, so that a corrupt length does not cost much memory
		chunk := min(size-uint32(len(payload)), 1<<16)
		start := len(payload)
		payload = append(payload, make([]byte, chunk)...)
		if _, err := io.ReadFull(r.buffered, payload[start:]); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("%w: wrong checksum", errCorrupt)
	}
	r.offset += int64(recordHeaderSize) + int64(size)
	return payload, nil
}

// decode decodes the record at an offset. It returns nil without an error for a record that
// concerns only the reader.
func (r *Reader) decode(payload []byte, offset int64) (*Entry, error) {
	var rec record
	if err := dec.Unmarshal(payload, &rec); err != nil {
		return nil, fmt.Errorf("journal: record at byte %d: %w", offset, err)
	}
	r.table.add(rec.Names)
	var e *Entry
	var err error
	switch rec.Kind {
	case KindSegment:
		var s segment
		if err := dec.Unmarshal(rec.Body, &s); err != nil {
			return nil, err
		}
		if r.lastSegment >= 0 && s.Index != r.lastSegment+1 {
			r.missingSegments = fmt.Sprintf("segments %d to %d are missing before %s", r.lastSegment+1, s.Index-1, filepath.Base(r.file.Name()))
		}
		r.lastSegment = s.Index
		return nil, nil
	case KindRouterStart:
		e = r.newEntry(KindRouterStart)
		e.RouterStart = &RouterStart{}
		err = dec.Unmarshal(rec.Body, e.RouterStart)
	case KindHandled:
		var h handled
		if err := dec.Unmarshal(rec.Body, &h); err != nil {
			return nil, err
		}
		e = r.newEntry(KindHandled)
		e.T = h.T
		if e.Event, err = r.table.decodeEvent(h.Event); err == nil {
			e.Actions, err = r.decodeActions(h.Actions)
		}
	case KindSettings:
		var raw settings
		if err := dec.Unmarshal(rec.Body, &raw); err != nil {
			return nil, err
		}
		e = r.newEntry(KindSettings)
		e.T, e.Version, e.Settings = raw.T, raw.Version, raw.Text
		e.Actions, err = r.decodeActions(raw.Actions)
	case KindGap:
		e = r.newEntry(KindGap)
		e.Why = "the router that wrote the journal lost records"
		err = dec.Unmarshal(rec.Body, &e.Lost)
	default:
		return nil, fmt.Errorf("%w of record: %d", ErrUnknown, rec.Kind)
	}
	if err != nil {
		if e != nil {
			r.entries--
		}
		return nil, err
	}
	e.Offset = offset
	return e, nil
}

func (r *Reader) decodeActions(list []action) (out []spool.Action, err error) {
	for _, one := range list {
		a, err := r.table.decodeAction(one)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

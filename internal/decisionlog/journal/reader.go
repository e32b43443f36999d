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

// Entry is one record as it was read.
type Entry struct {
	Kind    Kind
	Segment string // file
	Offset  int64  // in it
	Number  int64  // among the records that were read

	T           float64
	Event       spool.Event // of handled
	Actions     []spool.Action
	RouterStart *RouterStart
	Settings    string // of settings
	Version     int64
	Lost        uint64 // of a gap: 0 where it is not known how many
	Why         string // of a gap
}

// Reader reads a journal, segment by segment, in bounded memory.
type Reader struct {
	files []string
	f     *os.File
	br    *bufio.Reader
	at    int64
	names names
	index int64 // of the segment before; -1: none
	count int64
	gap   string // to be told before the next record
	jump  string // the same, unless a life begins with it: numbers were left free there
	held  *Entry // a record behind a jump
	cut   string
}

// OpenReader reads a folder of segments, or one segment.
func OpenReader(path string) (*Reader, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	files := []string{path}
	if st.IsDir() {
		if files, err = Segments(path); err != nil {
			return nil, err
		}
		if len(files) == 0 {
			return nil, fmt.Errorf("journal: %s holds no segment *%s", path, Extension)
		}
	}
	return &Reader{files: files, index: -1}, nil
}

// Close ends reading.
func (r *Reader) Close() {
	if r.f != nil {
		r.f.Close()
		r.f = nil
	}
}

// Truncation says where the last segment ends in the middle of a record, as after a
// crash; empty: it ends with a whole one.
func (r *Reader) Truncation() string { return r.cut }

var errDamaged = errors.New("damaged")

// Next is the next record; io.EOF after the last whole one. What can't be read is
// told as a gap, and reading goes on with the next segment, or behind a record of
// an unknown kind. A version of the format that is not known is an error.
func (r *Reader) Next() (*Entry, error) {
	if e := r.held; e != nil {
		r.held = nil
		return e, nil
	}
	for {
		if r.f == nil {
			if len(r.files) == 0 {
				return nil, io.EOF
			}
			if err := r.open(r.files[0]); err != nil {
				return nil, err
			}
			r.files = r.files[1:]
		}
		if r.gap != "" {
			e := r.entry(KindGap)
			e.Why, r.gap = r.gap, ""
			return e, nil
		}
		at := r.at
		payload, err := r.frame()
		switch {
		case err == io.EOF:
			r.Close()
			continue
		case errors.Is(err, io.ErrUnexpectedEOF) && len(r.files) == 0:
			r.cut = fmt.Sprintf("%s ends in the middle of a record at byte %d", r.f.Name(), at)
			r.Close()
			return nil, io.EOF
		case err != nil:
			r.gap = fmt.Sprintf("%s can't be read from byte %d on: %v", r.f.Name(), at, err)
			e := r.entry(KindGap)
			e.Offset, e.Why, r.gap = at, r.gap, ""
			r.Close()
			return e, nil
		}
		e, err := r.decode(payload, at)
		if err != nil {
			e = r.entry(KindGap)
			e.Offset, e.Lost, e.Why = at, 1, err.Error()
			return e, nil
		}
		if e != nil {
			why := r.jump
			if r.jump = ""; why != "" && e.Kind != KindRouterStart {
				r.held = e
				gap := r.entry(KindGap)
				gap.Why = why
				return gap, nil
			}
			return e, nil
		}
	}
}

func (r *Reader) entry(k Kind) *Entry {
	r.count++
	return &Entry{Kind: k, Segment: r.f.Name(), Offset: r.at, Number: r.count - 1}
}

func (r *Reader) open(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	r.f, r.names, r.at = f, names{}, headLen
	if r.br == nil {
		r.br = bufio.NewReaderSize(f, 1<<18)
	} else {
		r.br.Reset(f)
	}
	var head [headLen]byte
	if _, err := io.ReadFull(r.br, head[:]); err != nil {
		r.gap = fmt.Sprintf("%s is shorter than a segment's start", path)
		return nil
	}
	version, err := strconv.Atoi(string(head[len(magic):]))
	if string(head[:len(magic)]) != magic || err != nil {
		r.Close()
		return fmt.Errorf("journal: %s is no segment of a journal (it begins with %q)", path, head)
	}
	if version > FormatVersion || version < 1 {
		r.Close()
		return fmt.Errorf("journal: %s is of version %d of the format; this program reads up to %d: use a newer one", path, version, FormatVersion)
	}
	return nil
}

// frame reads one whole record, and checks it.
func (r *Reader) frame() ([]byte, error) {
	var head [frameHead]byte
	n, err := io.ReadFull(r.br, head[:])
	if err != nil {
		if n == 0 && err == io.EOF {
			return nil, io.EOF
		}
		return nil, io.ErrUnexpectedEOF
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size == 0 || size > maxFrame {
		return nil, fmt.Errorf("%w: a record of %d bytes", errDamaged, size)
	}
	payload := make([]byte, 0, min(size, 1<<16))
	for uint32(len(payload)) < size { // a length that lies costs no memory
		part := min(size-uint32(len(payload)), 1<<16)
		at := len(payload)
		payload = append(payload, make([]byte, part)...)
		if _, err := io.ReadFull(r.br, payload[at:]); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("%w: its checksum does not fit", errDamaged)
	}
	r.at += int64(frameHead) + int64(size)
	return payload, nil
}

// decode reads a record; nil of one that is only for the reader.
func (r *Reader) decode(payload []byte, at int64) (*Entry, error) {
	var rec record
	if err := dec.Unmarshal(payload, &rec); err != nil {
		return nil, fmt.Errorf("journal: record at byte %d: %w", at, err)
	}
	r.names.add(rec.Names)
	var e *Entry
	var err error
	switch rec.Kind {
	case KindSegment:
		var s segment
		if err := dec.Unmarshal(rec.Body, &s); err != nil {
			return nil, err
		}
		if r.index >= 0 && s.Index != r.index+1 {
			r.jump = fmt.Sprintf("segments %d to %d are missing before %s", r.index+1, s.Index-1, filepath.Base(r.f.Name()))
		}
		r.index = s.Index
		return nil, nil
	case KindRouterStart:
		e = r.entry(KindRouterStart)
		e.RouterStart = &RouterStart{}
		err = dec.Unmarshal(rec.Body, e.RouterStart)
	case KindHandled:
		var h handled
		if err := dec.Unmarshal(rec.Body, &h); err != nil {
			return nil, err
		}
		e = r.entry(KindHandled)
		e.T = h.T
		if e.Event, err = r.names.readEvent(h.Event); err == nil {
			e.Actions, err = r.actions(h.Actions)
		}
	case KindSettings:
		var raw settings
		if err := dec.Unmarshal(rec.Body, &raw); err != nil {
			return nil, err
		}
		e = r.entry(KindSettings)
		e.T, e.Version, e.Settings = raw.T, raw.Number, raw.Text
		e.Actions, err = r.actions(raw.Actions)
	case KindGap:
		e = r.entry(KindGap)
		e.Why = "lost by the router that wrote it"
		err = dec.Unmarshal(rec.Body, &e.Lost)
	default:
		return nil, fmt.Errorf("%w of record: %d", ErrUnknown, rec.Kind)
	}
	if err != nil {
		if e != nil {
			r.count--
		}
		return nil, err
	}
	e.Offset = at
	return e, nil
}

func (r *Reader) actions(list []action) (out []spool.Action, err error) {
	for _, one := range list {
		a, err := r.names.readAction(one)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// Package trafficlog is the record of what passed on the sockets, as test servers and
// clients saw it; the rules are judged from it alone (internal/testbed/invariants). One
// record is one line of JSON. Times are of the machine's monotonic clock, in ms, so that
// the records of several processes can be put into one order.
//
// It never holds the router's own word: no router writes to it.
package trafficlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"

	"golang.org/x/sys/unix"
)

// What a record is of.
const (
	Started         = "up"    // a stand-in or a router has started (Who, Start, Addr)
	Killed          = "kill"  // it was killed, or the day took it away
	RequestSent     = "ask"   // a client has written its whole request (Who: router)
	ResponseHead    = "head"  // a client has the answer's head
	ResponseEnd     = "end"   // a client has the whole answer, or its end: Err says why it is not whole
	AttemptReceived = "recv"  // a stand-in has the attempt's whole head
	AttemptAnswered = "sent"  // a stand-in has answered it, before the first byte of the body
	AttemptDone     = "done"  // and after the last
	AttemptCanceled = "left"  // the asker has closed the attempt before it was answered
	WriteExecuted   = "ran"   // the origin ran a write
	UpdateSent      = "told"  // the list service has written news to a router (Who: router)
	FragmentRead    = "piece" // a client has read a piece of a page (Object, Ver; N: its place; Err: it is missing, or what is wrong)
	Purge           = "purge" // a purge was made at the origin
	Fault           = "fault" // a trouble begins or ends (Note)
)

// Record is one thing seen.
type Record struct {
	Time    float64 `json:"t"`
	Event   string  `json:"ev"`
	Subject string  `json:"who,omitempty"` // member or router that it is about
	Role    string  `json:"role,omitempty"`
	Addr    string  `json:"addr,omitempty"`

	Start         int64  `json:"start,omitempty"` // of a member: number of its start
	Cold          bool   `json:"cold,omitempty"`  // of up: it starts cold
	ID            string `json:"id,omitempty"`    // of a client's request
	RouterRequest string `json:"req,omitempty"`   // the router's name of it
	Attempt       int    `json:"n,omitempty"`     // attempt
	From          string `json:"from,omitempty"`  // router that sent the attempt
	Via           string `json:"via,omitempty"`   // cache that sent the fill
	Source        string `json:"src,omitempty"`   // source named
	Class         string `json:"class,omitempty"`

	Object string  `json:"obj,omitempty"`
	Group  int     `json:"group,omitempty"`
	Key    string  `json:"key,omitempty"` // Idempotency-Key
	Write  bool    `json:"write,omitempty"`
	Work   float64 `json:"work,omitempty"` // sending time, ms
	Limit  float64 `json:"limit,omitempty"`
	State  string  `json:"state,omitempty"` // of told: of the member Src

	Status  int     `json:"status,omitempty"`
	Version int64   `json:"ver,omitempty"`
	Created float64 `json:"born,omitempty"` // of the copy served, on this clock
	Bytes   int64   `json:"bytes,omitempty"`
	Hit     bool    `json:"hit,omitempty"`
	Err     string  `json:"err,omitempty"`
	Note    string  `json:"note,omitempty"`
	Retry   int     `json:"retry,omitempty"` // of ask: which try of the client's this is
}

// Now is the tap's clock.
func Now() float64 {
	var ts unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // cannot fail with this clock
	return float64(ts.Sec)*1e3 + float64(ts.Nsec)/1e6
}

// Writer takes records from many goroutines. Each record is one write, so that
// a process killed at any time leaves whole lines but for the last.
type Writer struct {
	mu   sync.Mutex
	w    io.Writer
	keep bool
	rec  []Record
	err  error
}

// NewWriter writes to w; nil keeps the records in memory, as NewKeeper does.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w, keep: w == nil} }

// NewKeeper keeps the records in memory, see Records, and writes them to w too
// unless that is nil.
func NewKeeper(w io.Writer) *Writer { return &Writer{w: w, keep: true} }

// Add writes a record; its time is now where none is given. A nil Writer takes
// nothing.
func (w *Writer) Add(r Record) {
	if w == nil {
		return
	}
	if r.Time == 0 {
		r.Time = Now()
	}
	var line []byte
	var err error
	if w.w != nil {
		line, err = json.Marshal(r)
		line = append(line, '\n')
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.keep {
		w.rec = append(w.rec, r)
	}
	if w.w != nil && err == nil {
		_, err = w.w.Write(line)
	}
	if err != nil && w.err == nil {
		w.err = fmt.Errorf("tap: %w", err)
	}
}

// AddLine adds a record that another process has written as a line. What is no
// record is what a killed process leaves of its last one: it is passed over.
func (w *Writer) AddLine(line []byte) {
	var r Record
	if json.Unmarshal(line, &r) == nil {
		w.Add(r)
	}
}

// Err is the first error of writing.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Records returns what was kept, in the order of time.
func (w *Writer) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]Record(nil), w.rec...)
	Sort(out)
	return out
}

// Sort puts records into the order of time; those of one time stay as they are.
func Sort(recs []Record) {
	sort.SliceStable(recs, func(i, j int) bool { return recs[i].Time < recs[j].Time })
}

// Read reads records. A line cut short at the very end is passed over, as a
// killed process leaves it; any other fault is an error with its line.
func Read(r io.Reader) ([]Record, error) {
	var out []Record
	br := bufio.NewReaderSize(r, 1<<16)
	for n := 1; ; n++ {
		line, err := br.ReadBytes('\n')
		if len(line) > 0 && (err == nil || err == io.EOF) {
			var rec Record
			if jerr := json.Unmarshal(line, &rec); jerr != nil {
				if err == io.EOF {
					return out, nil
				}
				return out, fmt.Errorf("tap: line %d is no record: %w", n, jerr)
			}
			out = append(out, rec)
		}
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, fmt.Errorf("tap: line %d: %w", n, err)
		}
	}
}

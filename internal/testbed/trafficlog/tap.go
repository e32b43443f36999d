// Package trafficlog records what test servers and clients observe on their sockets. The
// rules in internal/testbed/invariants are checked against this log alone. One record is one
// line of JSON. Times are readings of the machine's monotonic clock in ms, so that the
// records of several processes can be sorted into one sequence.
//
// Routers do not write to the log, so it holds nothing that a router reports of itself.
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

// The events that records describe.
const (
	Started         = "up"    // a test server or a router has started (Subject, Start, Addr)
	Killed          = "kill"  // a test server or a router was killed
	RequestSent     = "ask"   // a client sends a request (Subject: the router)
	ResponseHead    = "head"  // a client has read the head of the response
	ResponseEnd     = "end"   // the response has ended for the client; Err says why it is incomplete
	AttemptReceived = "recv"  // a test server has read the head of an attempt
	AttemptAnswered = "sent"  // a test server answers an attempt; no byte of the body is sent yet
	AttemptDone     = "done"  // a test server has sent the last byte of the response
	AttemptCanceled = "left"  // the sender closed an attempt before it was answered
	WriteExecuted   = "ran"   // the origin executed a write
	UpdateSent      = "told"  // a router was sent an update of the endpoint list or a purge (Subject: the router)
	FragmentRead    = "piece" // a client has read a fragment of a page (Object, Version; Attempt: its position; Err: it is missing or wrong)
	Purge           = "purge" // a purge was made at the origin
	Fault           = "fault" // an injected fault begins or ends (Note)
)

// Record describes one observed event.
type Record struct {
	Time    float64 `json:"t"` // reading of Now
	Event   string  `json:"ev"`
	Subject string  `json:"who,omitempty"` // the member or router concerned
	Role    string  `json:"role,omitempty"`
	Addr    string  `json:"addr,omitempty"`

	Start         int64  `json:"start,omitempty"` // number of the member's start
	Cold          bool   `json:"cold,omitempty"`  // of Started: the member starts cold
	ID            string `json:"id,omitempty"`    // of the client's request
	RouterRequest string `json:"req,omitempty"`   // the ID that the router gave the request
	Attempt       int    `json:"n,omitempty"`     // number of the attempt
	From          string `json:"from,omitempty"`  // the router that sent the attempt
	Via           string `json:"via,omitempty"`   // the cache that sent the fill; empty: an attempt from a router
	Source        string `json:"src,omitempty"`   // the fill source named in the attempt; of UpdateSent: the member
	Class         string `json:"class,omitempty"`

	Object string  `json:"obj,omitempty"`
	Group  int     `json:"group,omitempty"`
	Key    string  `json:"key,omitempty"` // Idempotency-Key
	Write  bool    `json:"write,omitempty"`
	Work   float64 `json:"work,omitempty"`  // time to send the object at the rate of one transfer, ms; of Started: the capacity
	Limit  float64 `json:"limit,omitempty"` // of a client's request: its deadline; of Fault: the duration, ms
	State  string  `json:"state,omitempty"` // of UpdateSent: state of the member Source

	Status  int     `json:"status,omitempty"`
	Version int64   `json:"ver,omitempty"`
	Created float64 `json:"born,omitempty"` // when the served copy was generated; of a purge: when it was made
	Bytes   int64   `json:"bytes,omitempty"`
	Hit     bool    `json:"hit,omitempty"`
	Err     string  `json:"err,omitempty"`
	Note    string  `json:"note,omitempty"`
	Retry   int     `json:"retry,omitempty"` // of RequestSent: number of the client's retry; 0: the first try
}

// Now returns the reading of the monotonic clock in ms.
func Now() float64 {
	var ts unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // cannot fail with this clock
	return float64(ts.Sec)*1e3 + float64(ts.Nsec)/1e6
}

// Writer writes records. It is safe for concurrent use. Each record is one call of Write, so
// that a process that is killed leaves at most its last line incomplete.
type Writer struct {
	mu   sync.Mutex
	w    io.Writer
	keep bool
	rec  []Record
	err  error
}

// NewWriter returns a Writer to w. If w is nil, it keeps the records in memory.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w, keep: w == nil} }

// NewKeeper returns a Writer that keeps the records in memory, see Records, and also writes
// them to w unless w is nil.
func NewKeeper(w io.Writer) *Writer { return &Writer{w: w, keep: true} }

// Add writes a record. A record without a time gets the present one. A nil Writer discards
// its records.
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
		w.err = fmt.Errorf("trafficlog: write a record: %w", err)
	}
}

// AddLine adds a record that another process has written as a line of JSON. It ignores a
// line that is not a record, as a killed process may leave its last one.
func (w *Writer) AddLine(line []byte) {
	var r Record
	if json.Unmarshal(line, &r) == nil {
		w.Add(r)
	}
}

// Err returns the first error in writing a record.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Records returns the kept records, sorted by time.
func (w *Writer) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := append([]Record(nil), w.rec...)
	Sort(out)
	return out
}

// Sort sorts records by time. Records of equal time keep their order.
func Sort(recs []Record) {
	sort.SliceStable(recs, func(i, j int) bool { return recs[i].Time < recs[j].Time })
}

// Read reads records. It ignores an incomplete line at the end, as a killed process leaves
// it. Any other malformed line is an error that gives its number.
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
				return out, fmt.Errorf("trafficlog: parse line %d: %w", n, jerr)
			}
			out = append(out, rec)
		}
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, fmt.Errorf("trafficlog: read line %d: %w", n, err)
		}
	}
}

package loadgen

import (
	"bufio"
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/proxy/engine"
)

// ReplayOptions configures a replay.
type ReplayOptions struct {
	Routes *config.Settings // settings whose routes map requests to paths; nil: those in the journal
	Speed  float64          // multiple of the recorded speed; 0: as fast as possible
	Writes bool             // send writes too
}

// Skipped counts the requests of a replay that are not sent for one reason.
type Skipped struct {
	Why   string `json:"why"`
	Count int64  `json:"count"`
}

// Replay reads the requests of a router's journal or access log, to send them again. It reads
// the file while requests are sent, in bounded memory.
type Replay struct {
	options    ReplayOptions
	next       func() (float64, *spool.Request, error) // the next request and when it arrived, ms on the clock of the recording
	close      func()
	core       *engine.Core
	classes    []Class
	classIndex map[string]int   // index in classes by name
	start      float64          // recorded time that corresponds to the beginning of the replay
	started    bool             // start is set
	lastDue    float64          // when the previous request was due, ms from the beginning
	writes     int              // writes so far
	skipped    map[string]int64 // number of requests by the reason for which they were skipped
	err        error            // the error that ended the replay
}

// OpenReplay opens a journal (a folder or a segment) or an access log for replay.
func OpenReplay(path string, options ReplayOptions) (*Replay, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("loadgen: %w", err)
	}
	r := &Replay{options: options, classIndex: map[string]int{}, skipped: map[string]int64{}}
	if options.Routes != nil {
		if err := r.useSettings(options.Routes); err != nil {
			return nil, err
		}
	}
	if st.IsDir() || strings.HasSuffix(path, journal.Extension) {
		j, err := journal.OpenReader(path)
		if err != nil {
			return nil, err
		}
		r.close = j.Close
		r.next = func() (float64, *spool.Request, error) { return r.nextFromJournal(j) }
		return r, nil
	}
	if options.Routes == nil {
		return nil, fmt.Errorf("loadgen: %s is read as an access log, which does not contain the routes of the requests: give the router's settings (--routes FILE)", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("loadgen: %w", err)
	}
	r.close = func() { f.Close() }
	log := &accessLog{br: bufio.NewReaderSize(f, 1<<16), file: path}
	r.next = log.next
	return r, nil
}

// Close closes the file or journal.
func (r *Replay) Close() { r.close() }

// useSettings maps requests to paths by the routes of the settings, and adds their classes.
func (r *Replay) useSettings(s *config.Settings) error {
	c, err := engine.New(s, 1)
	if err != nil {
		return err
	}
	r.core = c
	for _, k := range s.Classes {
		if _, known := r.classIndex[k.Name]; !known {
			r.classIndex[k.Name] = len(r.classes)
			r.classes = append(r.classes, Class{Name: k.Name, LatencyObjective: k.LatencyObjective, Deadline: k.Deadline})
		}
	}
	return nil
}

// nextFromJournal returns the next request of a journal and its time.
func (r *Replay) nextFromJournal(j *journal.Reader) (float64, *spool.Request, error) {
	for {
		e, err := j.Next()
		if err != nil {
			return 0, nil, err
		}
		text := ""
		switch e.Kind {
		case journal.KindRouterStart:
			text = e.RouterStart.Settings
		case journal.KindSettings:
			text = e.Settings
		case journal.KindGap:
			r.skipped["lost in a gap of the journal"] += int64(e.Lost)
		case journal.KindHandled:
			if q, ok := e.Event.(spool.Request); ok && r.core != nil {
				return e.T, &q, nil
			} else if ok {
				r.skipped["recorded before the settings of their router (start at an earlier segment, or give --routes)"]++
			}
		}
		if text != "" && r.options.Routes == nil {
			s := &config.Settings{}
			if err := config.Read("journal", text, s); err != nil {
				return 0, nil, fmt.Errorf("loadgen: settings at byte %d of %s: %w", e.Offset, e.Segment, err)
			}
			if err := r.useSettings(s); err != nil {
				return 0, nil, err
			}
		}
	}
}

// Next returns the next request, as a session of its own.
func (r *Replay) Next() (Session, bool) {
	for {
		arrivedAt, recorded, err := r.next()
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			return nil, false
		}
		if recorded.Write && !r.options.Writes {
			r.skipped["writes are sent with --writes only"]++
			continue
		}
		target, err := r.core.HTTPRequest(arrivedAt, recorded)
		if err != nil {
			r.skipped[truncate(err.Error())]++
			continue
		}
		if !r.started {
			r.started, r.start = true, arrivedAt
		}
		request := Request{Class: r.classIndex[recorded.Class], Path: target.Path, Method: target.Method, Fields: target.Fields}
		if k := r.classSettings(recorded.Class); k != nil && recorded.KB > 0 && r.core.Settings.Fill.FlowKBPerMs > 0 {
			request.LatencyObjective = k.LatencyObjective + k.ObjectivePerSendTime*recorded.KB/r.core.Settings.Fill.FlowKBPerMs
		}
		if recorded.Write {
			r.writes++
			request.Fields = append(request.Fields, [2]string{"Idempotency-Key", fmt.Sprintf("replayed-%d-%d", time.Now().UnixNano(), r.writes)})
			request.Body = int64(recorded.KB * 1024)
		}
		if at := arrivedAt - r.start; r.options.Speed > 0 {
			// The clock was set back or the machine restarted: continue at the time of the
			// previous request.
			if at/r.options.Speed < r.lastDue-maxReorderMillis {
				r.start = arrivedAt - r.lastDue*r.options.Speed
				at = arrivedAt - r.start
			}
			r.lastDue = max(at/r.options.Speed, r.lastDue)
			request.Due = r.lastDue
		}
		return Session{request}, true
	}
}

const maxReorderMillis = 5000 // requests may be recorded out of order by this much

func truncate(s string) string {
	if len(s) > 160 {
		s = s[:160] + "..."
	}
	return s
}

func (r *Replay) classSettings(name string) *config.Class {
	for i := range r.core.Settings.Classes {
		if k := &r.core.Settings.Classes[i]; k.Name == name {
			return k
		}
	}
	return nil
}

// RunReplay sends the requests of a replay and returns when all of them have ended. Of the
// settings, it uses the name, the targets, the connections and the limit of the number of requests.
func RunReplay(ctx context.Context, r *Replay, settings LoadSettings) (*Result, error) {
	var faults config.Faults
	if checkTargets(&settings, &faults); len(faults) > 0 {
		return nil, faults
	}
	settings.Length, settings.WarmUp, settings.Conns, settings.MaxRequests = 0, 0, max(settings.Conns, 1), max(settings.MaxRequests, 1)
	// The classes of a journal are known only after its first request has been read.
	first, ok := r.Next()
	if !ok && r.err == nil {
		return nil, errors.Join(fmt.Errorf("loadgen: %s has no request that can be replayed", settings.Name), r.skippedError())
	}
	if r.err != nil {
		return nil, r.err
	}
	res, err := run(ctx, &settings, r.classes, &readAhead{first, r, len(r.classes)}, r.options.Speed == 0)
	if err == nil {
		err = r.err
	}
	for reason, count := range r.skipped {
		res.Skipped = append(res.Skipped, Skipped{reason, count})
	}
	sort.Slice(res.Skipped, func(i, j int) bool { return res.Skipped[i].Why < res.Skipped[j].Why })
	return res, err
}

// skippedError returns an error that lists the skipped requests.
func (r *Replay) skippedError() (err error) {
	for reason, count := range r.skipped {
		err = errors.Join(err, fmt.Errorf("%d requests were skipped: %s", count, reason))
	}
	return err
}

// readAhead is a source that returns first, which has already been read from the replay, and then
// the other sessions of the replay. It skips sessions of classes that later settings added, because
// the result has entries for the first classes only.
type readAhead struct {
	first   Session
	r       *Replay
	classes int // number of classes that the result has entries for
}

func (a *readAhead) Next() (Session, bool) {
	if s := a.first; s != nil {
		a.first = nil
		return s, true
	}
	for {
		s, ok := a.r.Next()
		if !ok || s[0].Class < a.classes {
			return s, ok
		}
		a.r.skipped["class was added by a later version of the settings"]++
	}
}

// accessLog reads a router's access log, whose lines are in the order in which requests ended. It
// returns the requests in the order in which they began, provided that none took longer than
// maxRequestMillis.
type accessLog struct {
	br      *bufio.Reader
	file    string
	line    int      // number of the last line read, from 1
	pending lineHeap // lines read and not yet returned
	eof     bool
	lastEnd float64 // latest end of the requests read, ms since the epoch
}

// maxRequestMillis is the longest request for which the order is right. Clients wait less.
const maxRequestMillis = 60000

// logLine holds the fields of a line of the access log that a replay needs.
type logLine struct {
	Msg    string  `json:"msg"`
	TS     string  `json:"ts"`
	ID     string  `json:"id"`
	Class  string  `json:"class"`
	Object string  `json:"object"`
	Part   int     `json:"part"`
	MS     float64 `json:"ms"`
	end    float64 // ms since the epoch
}

// lineHeap is a heap of lines by the time at which their requests began.
type lineHeap []*logLine

func (l lineHeap) Len() int           { return len(l) }
func (l lineHeap) Less(i, j int) bool { return l[i].end-l[i].MS < l[j].end-l[j].MS }
func (l lineHeap) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *lineHeap) Push(x any)        { *l = append(*l, x.(*logLine)) }
func (l *lineHeap) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

const logTime = "2006-01-02T15:04:05.000Z0700"

func (l *accessLog) next() (float64, *spool.Request, error) {
	for !l.eof && (len(l.pending) == 0 || l.lastEnd-maxRequestMillis < l.pending[0].end-l.pending[0].MS) {
		text, err := l.br.ReadBytes('\n')
		if err != nil {
			l.eof = true // an incomplete last line is ignored
			break
		}
		l.line++
		line := &logLine{}
		if err := json.Unmarshal(text, line); err != nil {
			return 0, nil, fmt.Errorf("loadgen: %s:%d is not a line of an access log: %q: %w", l.file, l.line, text[:min(60, len(text))], err)
		}
		if line.Msg != "request" || line.Class == "" {
			continue // another message, or a request that matched no route
		}
		at, err := time.Parse(logTime, line.TS)
		if err != nil {
			return 0, nil, fmt.Errorf("loadgen: %s:%d: invalid time %.60q: %w", l.file, l.line, line.TS, err)
		}
		line.end = float64(at.UnixMicro()) / 1000
		l.lastEnd = max(l.lastEnd, line.end)
		heap.Push(&l.pending, line)
	}
	if len(l.pending) == 0 {
		return 0, nil, io.EOF
	}
	line := heap.Pop(&l.pending).(*logLine)
	return line.end - line.MS, &spool.Request{ID: line.ID, Class: line.Class, Object: line.Object, Part: line.Part, Group: engine.AnyGroup}, nil
}

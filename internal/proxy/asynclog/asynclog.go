// Package asynclog puts a bounded queue between a logger and its output, so that an event loop
// that logs never waits for whoever reads the log.
//
// A Queue owns its waiting lines and one goroutine that writes them; the output stays the
// caller's to close after Close. When the queue is full, lines are dropped and counted, and the
// count is written to the log as soon as the output moves again.
//
// Where to go next: internal/proxy/httpfront (log.go) and cmd/spool-router make their loggers
// on it.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a bounded queue of lines that wait to be written. It is a zapcore.WriteSyncer, and
// may be used from any goroutine.
type Queue struct {
	lines    chan []byte
	output   io.Writer
	dropped  atomic.Uint64
	finished chan struct{}
	closing  sync.Once
}

// New returns a Queue of so many lines in front of output. Errors of the output are ignored:
// there is nowhere else to log them.
func New(output io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, max(lines, 1)), output: output, finished: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of a line, or drops the line if the queue is full. It never blocks, and
// returns no error. It must not be called after Close or CloseNoWait.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing and returns nil; Close is what waits.
func (q *Queue) Sync() error { return nil }

// Dropped is how many lines were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what is queued and ends the queue. It waits for the output, also for one that
// does not move.
func (q *Queue) Close() {
	q.CloseNoWait()
	<-q.finished
}

// CloseNoWait ends the queue as Close does, without waiting; see Done.
func (q *Queue) CloseNoWait() { q.closing.Do(func() { close(q.lines) }) }

// Done returns a channel that is closed when all is written after Close or CloseNoWait.
func (q *Queue) Done() <-chan struct{} { return q.finished }

// run writes the queued lines, and after each the number of lines dropped since the last such
// number.
func (q *Queue) run() {
	defer close(q.finished)
	var reported uint64
	for line := range q.lines {
		q.output.Write(line)
		if dropped := q.dropped.Load(); dropped > reported {
			fmt.Fprintf(q.output, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", dropped-reported)
			reported = dropped
		}
	}
}

// Package asynclog puts a bounded queue between a logger and its output, so that an event loop
// which logs is never blocked by a slow output.
//
// A Queue owns its lines and one goroutine that writes them to the output. The caller owns the
// output, and closes it after Close. When the queue is full, lines are dropped and counted; the
// count is logged once the output accepts lines again.
//
// Where to go next: internal/proxy/httpfront (log.go) and cmd/spool-router, which use it for
// their loggers.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a bounded queue of log lines. It is a zapcore.WriteSyncer and safe for concurrent use.
type Queue struct {
	lines    chan []byte
	output   io.Writer
	dropped  atomic.Uint64
	finished chan struct{}
	closing  sync.Once
}

// New returns a Queue of at most the given number of lines for output. It ignores errors of
// output, because there is no other place to log them.
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

// Sync does nothing and returns nil. Close waits for the output.
func (q *Queue) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines and ends the queue. It waits for the output, even if that blocks
// forever; see CloseNoWait.
func (q *Queue) Close() {
	q.CloseNoWait()
	<-q.finished
}

// CloseNoWait is like Close but does not wait. Done reports when the lines are written.
func (q *Queue) CloseNoWait() { q.closing.Do(func() { close(q.lines) }) }

// Done returns a channel that is closed when all lines are written after Close or CloseNoWait.
func (q *Queue) Done() <-chan struct{} { return q.finished }

// run writes the queued lines. After a line it also logs how many were dropped since the last
// such report, if any were.
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

// Package asynclog writes log lines to their file from a goroutine of its own: a loop that
// logs puts a line into a bounded queue, and never waits for whoever reads the log. When
// the queue is full, lines are dropped and counted, and the count is logged.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a bounded queue of written lines. It is a zapcore.WriteSyncer.
type Queue struct {
	lines   chan []byte
	w       io.Writer
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// New writes to w behind a queue of so many lines.
func New(w io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, max(lines, 1)), w: w, done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a line; it never blocks.
func (q *Queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: Close is what waits.
func (q *Queue) Sync() error { return nil }

// Dropped is how many lines were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what is queued and ends the queue; nothing may be written after it. It
// waits for the writer: one that does not move is waited for too.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.lines) })
	<-q.done
}

// Done is closed when all is written after Close.
func (q *Queue) Done() <-chan struct{} { return q.done }

// CloseNoWait ends the queue as Close does, without waiting.
func (q *Queue) CloseNoWait() { q.once.Do(func() { close(q.lines) }) }

func (q *Queue) run() {
	defer close(q.done)
	var told uint64
	for line := range q.lines {
		q.w.Write(line)
		if n := q.dropped.Load(); n > told {
			fmt.Fprintf(q.w, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", n-told)
			told = n
		}
	}
}

package store

import (
	"sync"
	"time"
)

// Threads runs jobs that wait for the disk, for callers that must not wait. Its queue is
// bounded, and a disk that hangs is noticed: then jobs are rejected, and callers go on without
// the disk until it answers again.
type Threads struct {
	count   int
	timeout time.Duration
	jobs    chan func()
	running sync.WaitGroup

	mu      sync.Mutex
	started map[int]time.Time // of the job that each thread is at
	closed  bool

	// Rejected counts the jobs that were not taken.
	Rejected uint64
}

// NewThreads starts count threads with a queue of so many jobs. The disk hangs when each
// thread has been at one job for longer than the timeout.
func NewThreads(count, queue int, timeout time.Duration) *Threads {
	count = max(count, 1)
	t := &Threads{count: count, timeout: timeout, jobs: make(chan func(), max(queue, 1)), started: map[int]time.Time{}}
	for i := range count {
		t.running.Add(1)
		go t.run(i)
	}
	return t
}

// run runs jobs on thread i until the queue is closed.
func (t *Threads) run(i int) {
	defer t.running.Done()
	for job := range t.jobs {
		t.mu.Lock()
		t.started[i] = time.Now()
		t.mu.Unlock()
		job()
		t.mu.Lock()
		delete(t.started, i)
		t.mu.Unlock()
	}
}

// Submit has a thread run a job. false: it is rejected, since the queue is full, the disk
// hangs, or the threads are closed. It never waits.
func (t *Threads) Submit(job func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed && !t.hung() {
		select {
		case t.jobs <- job:
			return true
		default:
		}
	}
	t.Rejected++
	return false
}

// Hung reports whether the disk hangs.
func (t *Threads) Hung() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hung()
}

func (t *Threads) hung() bool {
	if len(t.started) < t.count {
		return false
	}
	for _, start := range t.started {
		if time.Since(start) < t.timeout {
			return false
		}
	}
	return true
}

// Close runs the jobs that are queued, and ends the threads. Those that hang are left behind
// after the timeout.
func (t *Threads) Close() {
	t.mu.Lock()
	if !t.closed {
		t.closed = true
		close(t.jobs)
	}
	t.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		t.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(t.timeout):
	}
}

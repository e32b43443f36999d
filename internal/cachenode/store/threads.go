package store

import (
	"sync"
	"time"
)

// Threads runs jobs that wait for the disk, for callers that must not wait. It has a bounded queue,
// and rejects jobs while the disk hangs, so that callers go on without it.
type Threads struct {
	count   int
	timeout time.Duration
	jobs    chan func()
	running sync.WaitGroup

	mu      sync.Mutex
	started map[int]time.Time // start of the current job, by thread
	closed  bool

	// Rejected is the number of rejected jobs.
	Rejected uint64
}

// NewThreads starts count threads with a queue for the given number of jobs. The disk is considered
// hung while every thread has been running its job for longer than the timeout.
func NewThreads(count, queue int, timeout time.Duration) *Threads {
	count = max(count, 1)
	t := &Threads{count: count, timeout: timeout, jobs: make(chan func(), max(queue, 1)), started: map[int]time.Time{}}
	for i := range count {
		t.running.Add(1)
		go t.run(i)
	}
	return t
}

// run runs the jobs of thread i until the queue is closed.
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

// Submit queues a job. It returns false if the job is rejected because the queue is full, the disk
// hangs, or the threads are closed. It never waits for the disk.
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

// Close rejects new jobs and waits until the queued jobs have run and the threads have ended, but
// not longer than the timeout.
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

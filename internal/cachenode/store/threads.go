package store

import (
	"sync"
	"time"
)

// Threads runs what waits for the disk apart from those who must not wait. Its queue is
// bounded, and a disk that hangs is seen: then nothing more is taken, and whoever asks
// goes on without the disk until it answers again.
type Threads struct {
	count   int
	timeout time.Duration
	jobs    chan func()
	wg      sync.WaitGroup

	mu       sync.Mutex
	started  map[int]time.Time // of the job that each thread is at
	closed   bool
	Rejected uint64 // jobs that were not taken
}

// NewThreads starts n threads with a queue. A disk that has had one job of each thread
// for longer than the patience hangs.
func NewThreads(n, queue int, patience time.Duration) *Threads {
	n = max(n, 1)
	t := &Threads{count: n, timeout: patience, jobs: make(chan func(), max(queue, 1)), started: map[int]time.Time{}}
	for i := range n {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			for f := range t.jobs {
				t.mu.Lock()
				t.started[i] = time.Now()
				t.mu.Unlock()
				f()
				t.mu.Lock()
				delete(t.started, i)
				t.mu.Unlock()
			}
		}()
	}
	return t
}

// Do has a thread call f. False: it is not called, since the queue is full, the disk
// hangs, or the threads are closed. It never waits.
func (t *Threads) Submit(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed && !t.hung() {
		select {
		case t.jobs <- f:
			return true
		default:
		}
	}
	t.Rejected++
	return false
}

// Hung reports whether the disk hangs: every thread is at one job for too long.
func (t *Threads) Hung() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hung()
}

func (t *Threads) hung() bool {
	if len(t.started) == 0 || len(t.started) < t.count {
		return false
	}
	for _, at := range t.started {
		if time.Since(at) < t.timeout {
			return false
		}
	}
	return true
}

// Close lets what is queued run, and ends the threads; those that hang are left behind
// after the patience.
func (t *Threads) Close() {
	t.mu.Lock()
	if !t.closed {
		t.closed = true
		close(t.jobs)
	}
	t.mu.Unlock()
	done := make(chan struct{})
	go func() { t.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(t.timeout):
	}
}

package store

import (
	"sync/atomic"
	"testing"
	"time"
)

// While the disk hangs or the queue is full, Submit rejects jobs without waiting. It accepts jobs
// again when the disk works.
func TestDiskHangs(t *testing.T) {
	threads := NewThreads(2, 4, 50*time.Millisecond)
	release := make(chan bool)
	var ran atomic.Int64
	for range 2 {
		if !threads.Submit(func() { <-release; ran.Add(1) }) {
			t.Fatal("a job was rejected by idle threads")
		}
	}
	for i := 0; threads.Submit(func() { ran.Add(1) }); i++ { // until the queue is full
		if i > 6 {
			t.Fatal("more jobs were queued than the queue has room for")
		}
	}
	if threads.Hung() {
		t.Error("the disk is reported as hung before the timeout")
	}
	for range 200 {
		if threads.Hung() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	start := time.Now()
	if !threads.Hung() || threads.Submit(func() {}) || time.Since(start) > 40*time.Millisecond {
		t.Error("a hung disk is not detected, or Submit waits for it")
	}
	close(release)
	for range 200 {
		if !threads.Hung() && threads.Submit(func() { ran.Add(1) }) {
			threads.Close()
			if n := ran.Load(); n < 5 {
				t.Errorf("%d jobs ran, want 5 or more", n)
			}
			if threads.Submit(func() {}) {
				t.Error("a job was accepted after Close")
			}
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("no job is accepted after the disk works again")
}

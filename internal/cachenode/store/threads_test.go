package store

import (
	"sync/atomic"
	"testing"
	"time"
)

// A disk that hangs holds nobody up: jobs are rejected at once, and taken again when it
// answers. A full queue rejects too.
func TestDiskHangs(t *testing.T) {
	threads := NewThreads(2, 4, 50*time.Millisecond)
	release := make(chan bool)
	var ran atomic.Int64
	for range 2 {
		if !threads.Submit(func() { <-release; ran.Add(1) }) {
			t.Fatal("not taken")
		}
	}
	for i := 0; threads.Submit(func() { ran.Add(1) }); i++ { // the queue fills
		if i > 6 {
			t.Fatal("the queue has no bound")
		}
	}
	if threads.Hung() {
		t.Error("it hangs before the timeout")
	}
	for range 200 {
		if threads.Hung() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	start := time.Now()
	if !threads.Hung() || threads.Submit(func() {}) || time.Since(start) > 40*time.Millisecond {
		t.Error("a disk that hangs is not noticed, or is waited for")
	}
	close(release)
	for range 200 {
		if !threads.Hung() && threads.Submit(func() { ran.Add(1) }) {
			threads.Close()
			if n := ran.Load(); n < 5 {
				t.Errorf("%d jobs ran", n)
			}
			if threads.Submit(func() {}) {
				t.Error("taken after the end")
			}
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("nothing is taken after the disk answers again")
}

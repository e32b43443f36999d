package store

import (
	"sync/atomic"
	"testing"
	"time"
)

// A disk that hangs holds nobody up: what comes is turned away at once, and taken again
// when it answers. A queue that is full turns away too.
func TestDiskHangs(t *testing.T) {
	th := NewThreads(2, 4, 50*time.Millisecond)
	let := make(chan bool)
	var ran atomic.Int64
	for range 2 {
		if !th.Submit(func() { <-let; ran.Add(1) }) {
			t.Fatal("not taken")
		}
	}
	for i := 0; th.Submit(func() { ran.Add(1) }); i++ { // the queue fills
		if i > 6 {
			t.Fatal("the queue has no bound")
		}
	}
	if th.Hung() {
		t.Error("it is said to hang before the patience is over")
	}
	for range 200 {
		if th.Hung() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	at := time.Now()
	if !th.Hung() || th.Submit(func() {}) || time.Since(at) > 40*time.Millisecond {
		t.Error("what hangs is not seen, or is waited for")
	}
	close(let)
	for range 200 {
		if !th.Hung() && th.Submit(func() { ran.Add(1) }) {
			th.Close()
			if n := ran.Load(); n < 5 {
				t.Errorf("%d jobs ran", n)
			}
			if th.Submit(func() {}) {
				t.Error("taken after the end")
			}
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("nothing is taken after the disk answers again")
}

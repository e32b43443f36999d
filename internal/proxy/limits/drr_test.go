package limits

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Bytes are shared by weight among classes that have any to move, and evenly within a
// class; nobody is passed over, and a class that comes back has saved nothing up.
func TestDRR(t *testing.T) {
	const quantum = 1000
	d := NewDRR[int](quantum, []float64{4, 1})
	got := map[int]int{}
	class := func(i int) int { return i / 100 }
	for _, i := range []int{0, 1, 100, 101, 102} {
		d.Push(class(i), i)
	}
	total := 0
	for total < 1_000_000 {
		it, c, room, ok := d.Next()
		if !ok || room < 1 || room > quantum || c != class(it) {
			t.Fatal(it, c, room, ok)
		}
		got[it] += room
		total += room
		d.Used(c, it, room, true)
	}
	near := func(a, b int) bool { return math.Abs(float64(a-b)) <= 0.02*float64(b)+2*quantum }
	if !near(got[0]+got[1], 800_000) || !near(got[0], got[1]) || !near(got[100], got[101]) || !near(got[101], got[102]) {
		t.Errorf("%v", got)
	}
}

// Whatever comes and goes: each ready connection is served in its turn, at most a
// round of the others' quanta later, and none is served that is not ready.
func TestDRRServesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 8), 1, 4).Draw(t, "weights")
		d := NewDRR[int](4096, weights)
		ready, class, waits := map[int]bool{}, map[int]int{}, map[int]int{}
		sum := 0.0
		for _, w := range weights {
			sum += w + 1
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				class[i] = rapid.IntRange(0, len(weights)-1).Draw(t, "class")
				ready[i] = true
				d.Push(class[i], i)
				continue
			}
			it, c, room, ok := d.Next()
			if ok != (len(ready) > 0) || ok && (!ready[it] || c != class[it] || room < 1) {
				t.Fatal(it, c, room, ok, ready)
			}
			if !ok {
				continue
			}
			n := rapid.IntRange(0, room).Draw(t, "moved")
			more := rapid.Bool().Draw(t, "more")
			d.Used(c, it, n, more)
			if delete(waits, it); !more {
				delete(ready, it)
			}
			for other := range ready {
				waits[other]++
				if float64(waits[other]) > 20*sum*float64(len(class)+1) {
					t.Fatalf("%d waits for ever", other)
				}
			}
		}
		if d.Len() != len(ready) {
			t.Fatalf("%d are ready, %d are booked", len(ready), d.Len())
		}
	})
}

// A small answer behind any number of large ones of another class waits for a
// quantum of each class, and not for theirs.
func TestDRRSmallBehindLarge(t *testing.T) {
	d := NewDRR[int](64<<10, []float64{1, 1})
	for i := range 1000 {
		d.Push(1, i)
	}
	moved := 0
	for range 50 {
		it, c, room, _ := d.Next()
		moved += room
		d.Used(c, it, room, true)
	}
	d.Push(0, -1)
	before := moved
	for {
		it, c, room, ok := d.Next()
		if !ok {
			t.Fatal("nobody is ready")
		}
		if it == -1 {
			break
		}
		moved += room
		d.Used(c, it, room, true)
	}
	if moved-before > 2*64<<10 {
		t.Errorf("the still waited for %d bytes", moved-before)
	}
}

func BenchmarkDRR(b *testing.B) {
	d := NewDRR[int](64<<10, []float64{2, 1, 1})
	for i := range 3000 {
		d.Push(i%3, i)
	}
	for b.Loop() {
		it, c, room, _ := d.Next()
		d.Used(c, it, room, true)
	}
}

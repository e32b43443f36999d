package limits

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestDRR checks that classes share the bytes by weight, and the connections of a class evenly.
func TestDRR(t *testing.T) {
	const quantum = 1000
	drr := NewDRR[int](quantum, []float64{4, 1})
	got := map[int]int{}
	class := func(i int) int { return i / 100 }
	for _, i := range []int{0, 1, 100, 101, 102} {
		drr.Push(class(i), i)
	}
	total := 0
	for total < 1_000_000 {
		connection, of, room, ok := drr.Next()
		if !ok || room < 1 || room > quantum || of != class(connection) {
			t.Fatalf("Next returns connection %d of class %d, room %d, %v; want a connection of its own class, room of 1 to %d, true", connection, of, room, ok, quantum)
		}
		got[connection] += room
		total += room
		drr.Used(of, connection, room, true)
	}
	near := func(a, b int) bool { return math.Abs(float64(a-b)) <= 0.02*float64(b)+2*quantum }
	if !near(got[0]+got[1], 800_000) || !near(got[0], got[1]) || !near(got[100], got[101]) || !near(got[101], got[102]) {
		t.Errorf("bytes by connection %v, want 800000 for 0 and 1 together, and equal shares within each class", got)
	}
}

// TestDRRServesAll checks, for random arrivals, that each ready connection is served within a
// bounded number of turns, and that no other connection is served.
func TestDRRServesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 8), 1, 4).Draw(t, "weights")
		drr := NewDRR[int](4096, weights)
		ready, class, waits := map[int]bool{}, map[int]int{}, map[int]int{}
		sum := 0.0
		for _, w := range weights {
			sum += w + 1
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				class[i] = rapid.IntRange(0, len(weights)-1).Draw(t, "class")
				ready[i] = true
				drr.Push(class[i], i)
				continue
			}
			connection, c, room, ok := drr.Next()
			if ok != (len(ready) > 0) || ok && (!ready[connection] || c != class[connection] || room < 1) {
				t.Fatalf("Next returns connection %d of class %d, room %d, %v; want one of those ready, %v, its class and room of at least 1", connection, c, room, ok, ready)
			}
			if !ok {
				continue
			}
			n := rapid.IntRange(0, room).Draw(t, "moved")
			more := rapid.Bool().Draw(t, "more")
			drr.Used(c, connection, n, more)
			if delete(waits, connection); !more {
				delete(ready, connection)
			}
			for other := range ready {
				waits[other]++
				if float64(waits[other]) > 20*sum*float64(len(class)+1) {
					t.Fatalf("connection %d is not served after %d turns of others", other, waits[other])
				}
			}
		}
		if drr.Len() != len(ready) {
			t.Fatalf("%d are ready, Len is %d", len(ready), drr.Len())
		}
	})
}

// TestDRRSmallBehindLarge checks that a small answer waits for at most a quantum of each class,
// however many large answers of another class are ready.
func TestDRRSmallBehindLarge(t *testing.T) {
	drr := NewDRR[int](64<<10, []float64{1, 1})
	for i := range 1000 {
		drr.Push(1, i)
	}
	moved := 0
	for range 50 {
		connection, class, room, _ := drr.Next()
		moved += room
		drr.Used(class, connection, room, true)
	}
	drr.Push(0, -1)
	before := moved
	for {
		connection, class, room, ok := drr.Next()
		if !ok {
			t.Fatal("no connection is ready")
		}
		if connection == -1 {
			break
		}
		moved += room
		drr.Used(class, connection, room, true)
	}
	if moved-before > 2*64<<10 {
		t.Errorf("the small answer waited for %d bytes of others, want at most %d", moved-before, 2*64<<10)
	}
}

func BenchmarkDRR(b *testing.B) {
	d := NewDRR[int](64<<10, []float64{2, 1, 1})
	for i := range 3000 {
		d.Push(i%3, i)
	}
	for b.Loop() {
		connection, class, room, _ := d.Next()
		d.Used(class, connection, room, true)
	}
}

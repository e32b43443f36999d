package testserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"indigospool/internal/testbed/trafficlog"
)

// Fault is a trouble that a stand-in is told to have, for a while.
type Fault struct {
	Kind   string  `json:"kind"`
	For    float64 `json:"for"`    // ms
	Factor float64 `json:"factor"` // of slow: how many times slower; of ageing: at its end
	Share  float64 `json:"share"`  // of attempts that it meets; 0: all
	Every  float64 `json:"every"`  // of pauses: from one to the next, ms
	Length float64 `json:"length"` // of pauses: each, ms
}

// The kinds of faults. Those that end a process (crash, preempt, a killed
// router) are the day's to carry out.
const (
	Vanish     = "vanish"      // silent: takes no connection, answers nothing, resets nothing
	Hang       = "hang"        // takes requests and answers none
	Slow       = "slow"        // Factor times slower
	Ageing     = "ageing"      // slower and slower, up to Factor
	FastErrors = "fast-errors" // 500 at once, to a Share
	Pauses     = "pauses"      // stands still for Length, Every so often
	AnswerLost = "answer-lost" // does the work; a Share of the answers never comes
	ResetBody  = "reset-body"  // resets in the middle of the body
	Truncated  = "truncated"   // closes in the middle of the body
	Overlong   = "overlong"    // sends more than the length that it stated
	Garbage    = "garbage"     // sends what is no HTTP
	TwoLengths = "two-lengths" // states two lengths
	BothFrames = "both-frames" // states a length, and sends chunks
	BareLF     = "bare-lf"     // ends lines by LF alone
	BigHead    = "big-head"    // a head of 64 KB
	Trickle    = "trickle"     // a byte a second
	HalfOpen   = "half-open"   // connections are never accepted
	AcceptShut = "accept-shut" // connections are accepted and closed
)

// Kinds are all faults that a stand-in can have.
var Kinds = []string{Vanish, Hang, Slow, Ageing, FastErrors, Pauses, AnswerLost, ResetBody, Truncated, Overlong,
	Garbage, TwoLengths, BothFrames, BareLF, BigHead, Trickle, HalfOpen, AcceptShut}

// faults is what a stand-in suffers from now.
type faults struct {
	mu     sync.Mutex
	until  map[string]float64
	given  map[string]Fault
	since  map[string]float64
	rng    *rand.Rand
	change chan struct{} // closed and renewed at each change
}

func newFaults(seed uint64) *faults {
	return &faults{until: map[string]float64{}, given: map[string]Fault{}, since: map[string]float64{},
		rng: rand.New(rand.NewPCG(seed, 0x5eed)), change: make(chan struct{})}
}

func (f *faults) set(now float64, x Fault) error {
	known := false
	for _, k := range Kinds {
		known = known || k == x.Kind
	}
	if !known {
		return fmt.Errorf("standin: unknown fault %q; known are %v", x.Kind, Kinds)
	}
	if x.For < 0 || x.Share < 0 || x.Share > 1 || x.Factor < 0 {
		return fmt.Errorf("standin: fault %s with a negative span or factor, or a share not within 0 and 1", x.Kind)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.given[x.Kind], f.since[x.Kind], f.until[x.Kind] = x, now, now+x.For
	close(f.change)
	f.change = make(chan struct{})
	return nil
}

// on reports whether a fault acts now on this attempt.
func (f *faults) on(kind string) bool {
	now := trafficlog.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now >= f.until[kind] {
		return false
	}
	s := f.given[kind].Share
	return s == 0 || f.rng.Float64() < s
}

// slowness is how many times slower the stand-in is now.
func (f *faults) slowness() float64 {
	now := trafficlog.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	by := 1.0
	if now < f.until[Slow] {
		by = max(by, f.given[Slow].Factor)
	}
	if now < f.until[Ageing] {
		x := f.given[Ageing]
		by = max(by, 1+(x.Factor-1)*(now-f.since[Ageing])/max(x.For, 1))
	}
	return by
}

// gate waits while the stand-in is silent or pauses.
func (f *faults) gate(ctx context.Context) error {
	for {
		now := trafficlog.Now()
		f.mu.Lock()
		until := 0.0
		for _, k := range []string{Vanish, Hang} {
			if now < f.until[k] {
				until = max(until, f.until[k])
			}
		}
		if x := f.given[Pauses]; now < f.until[Pauses] && x.Every > 0 {
			cycles := int((now - f.since[Pauses]) / x.Every)
			if begin := f.since[Pauses] + float64(cycles)*x.Every; now < begin+x.Length {
				until = max(until, begin+x.Length)
			}
		}
		f.mu.Unlock()
		if until <= now {
			return ctx.Err()
		}
		if err := sleepUntil(ctx, until); err != nil {
			return err
		}
	}
}

// refusing reports until when no connection is taken; 0: they are.
func (f *faults) refusing(now float64) (until float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range []string{Vanish, HalfOpen} {
		if now < f.until[k] {
			until = max(until, f.until[k])
		}
	}
	return until
}

// reset closes a connection as a machine does that knows nothing of it.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// gatedListener stops taking connections while its stand-in is silent: the
// kernel's queue is made as short as it can be, so that further connects hang.
type gatedListener struct {
	net.Listener
	f    *faults
	done chan struct{}
}

func (g *gatedListener) backlog(n int) {
	t, ok := g.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return c, err
		}
		now := trafficlog.Now()
		if until := g.f.refusing(now); until > now {
			g.backlog(0)
			for until > now {
				ctx, cancel := context.WithCancel(context.Background())
				go func() {
					select {
					case <-g.done:
						cancel()
					case <-ctx.Done():
					}
				}()
				err := sleepUntil(ctx, until)
				cancel()
				if err != nil {
					c.Close()
					return nil, net.ErrClosed
				}
				now = trafficlog.Now()
				until = g.f.refusing(now)
			}
			// what came meanwhile never reached a machine that was silent
			reset(c)
			if t, ok := g.Listener.(*net.TCPListener); ok {
				t.SetDeadline(time.Now().Add(2 * time.Millisecond))
				for {
					late, err := t.Accept()
					if err != nil {
						break
					}
					reset(late)
				}
				t.SetDeadline(time.Time{})
			}
			g.backlog(1024)
			continue
		}
		if g.f.on(AcceptShut) {
			c.Close()
			continue
		}
		return c, nil
	}
}

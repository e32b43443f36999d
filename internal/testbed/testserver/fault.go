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
	mu       sync.Mutex
	until    map[string]float64
	settings map[string]Fault
	began    map[string]float64
	rng      *rand.Rand
	changed  chan struct{} // closed and renewed at each change
}

func newFaults(seed uint64) *faults {
	return &faults{until: map[string]float64{}, settings: map[string]Fault{}, began: map[string]float64{},
		rng: rand.New(rand.NewPCG(seed, 0x5eed)), changed: make(chan struct{})}
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
	f.settings[x.Kind], f.began[x.Kind], f.until[x.Kind] = x, now, now+x.For
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// on reports whether a fault acts now on this attempt.
func (f *faults) active(kind string) bool {
	now := trafficlog.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now >= f.until[kind] {
		return false
	}
	share := f.settings[kind].Share
	return share == 0 || f.rng.Float64() < share
}

// slowdown is how many times slower the stand-in is now.
func (f *faults) slowdown() float64 {
	now := trafficlog.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	factor := 1.0
	if now < f.until[Slow] {
		factor = max(factor, f.settings[Slow].Factor)
	}
	if now < f.until[Ageing] {
		x := f.settings[Ageing]
		factor = max(factor, 1+(x.Factor-1)*(now-f.began[Ageing])/max(x.For, 1))
	}
	return factor
}

// waitWhileStopped waits while the stand-in is silent or pauses.
func (f *faults) waitWhileStopped(ctx context.Context) error {
	for {
		now := trafficlog.Now()
		f.mu.Lock()
		until := 0.0
		for _, k := range []string{Vanish, Hang} {
			if now < f.until[k] {
				until = max(until, f.until[k])
			}
		}
		if x := f.settings[Pauses]; now < f.until[Pauses] && x.Every > 0 {
			cycles := int((now - f.began[Pauses]) / x.Every)
			if begin := f.began[Pauses] + float64(cycles)*x.Every; now < begin+x.Length {
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

// acceptsAgainAt reports until when no connection is taken; 0: they are.
func (f *faults) acceptsAgainAt(now float64) (until float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range []string{Vanish, HalfOpen} {
		if now < f.until[k] {
			until = max(until, f.until[k])
		}
	}
	return until
}

// resetConn closes a connection as a machine does that knows nothing of it.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// faultListener stops taking connections while its stand-in is silent: the
// kernel's queue is made as short as it can be, so that further connects hang.
type faultListener struct {
	net.Listener
	faults *faults
	done   chan struct{}
}

func (l *faultListener) setBacklog(n int) {
	t, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

func (l *faultListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return c, err
		}
		now := trafficlog.Now()
		if until := l.faults.acceptsAgainAt(now); until > now {
			l.setBacklog(0)
			for until > now {
				ctx, cancel := context.WithCancel(context.Background())
				go func() {
					select {
					case <-l.done:
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
				until = l.faults.acceptsAgainAt(now)
			}
			// what came meanwhile never reached a machine that was silent
			resetConn(c)
			if t, ok := l.Listener.(*net.TCPListener); ok {
				t.SetDeadline(time.Now().Add(2 * time.Millisecond))
				for {
					queued, err := t.Accept()
					if err != nil {
						break
					}
					resetConn(queued)
				}
				t.SetDeadline(time.Time{})
			}
			l.setBacklog(1024)
			continue
		}
		if l.faults.active(AcceptShut) {
			c.Close()
			continue
		}
		return c, nil
	}
}

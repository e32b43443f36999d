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

// Fault is a fault to inject into a server for some time.
type Fault struct {
	Kind   string  `json:"kind"`
	For    float64 `json:"for"`    // duration, ms
	Factor float64 `json:"factor"` // of slow: how many times slower; of ageing: how many times slower at the end
	Share  float64 `json:"share"`  // share of attempts affected; 0: all
	Every  float64 `json:"every"`  // of pauses: from the start of one to the start of the next, ms
	Length float64 `json:"length"` // of pauses: duration of each, ms
}

// The kinds of faults. Those that end a process (crash, preempt, a killed router) are carried
// out by package scenario.
const (
	Vanish           = "vanish"      // accepts no connection, sends no response and no reset
	Hang             = "hang"        // accepts requests and answers none
	Slow             = "slow"        // slower by Factor
	Ageing           = "ageing"      // increasingly slow, up to Factor
	FastErrors       = "fast-errors" // immediate status 500 for Share of the attempts
	Pauses           = "pauses"      // stops for Length once in each period of Every
	AnswerLost       = "answer-lost" // does the work, but does not send Share of the responses
	ResetBody        = "reset-body"  // resets the connection in the middle of the body
	Truncated        = "truncated"   // closes the connection in the middle of the body
	Overlong         = "overlong"    // sends more than Content-Length bytes
	Garbage          = "garbage"     // sends bytes that are not HTTP
	TwoLengths       = "two-lengths" // sends two different Content-Length fields
	LengthAndChunked = "both-frames" // sends both Content-Length and chunked Transfer-Encoding
	BareLF           = "bare-lf"     // ends header lines with LF instead of CRLF
	LargeHeader      = "big-head"    // sends a header of more than 64 KB
	Trickle          = "trickle"     // sends one byte of the body per second
	HalfOpen         = "half-open"   // does not accept connections
	AcceptClose      = "accept-shut" // accepts connections and closes them
)

// Kinds lists all kinds of faults that a server can have.
var Kinds = []string{Vanish, Hang, Slow, Ageing, FastErrors, Pauses, AnswerLost, ResetBody, Truncated, Overlong,
	Garbage, TwoLengths, LengthAndChunked, BareLF, LargeHeader, Trickle, HalfOpen, AcceptClose}

// faults holds the injected faults of a server, by kind.
type faults struct {
	mu       sync.Mutex
	until    map[string]float64 // when the fault ends, on the traffic log's clock
	settings map[string]Fault
	began    map[string]float64 // when the fault began
	rng      *rand.Rand
	changed  chan struct{} // closed and replaced at each change
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
		return fmt.Errorf("testserver: unknown fault %q, want one of %v", x.Kind, Kinds)
	}
	if x.For < 0 || x.Share < 0 || x.Share > 1 || x.Factor < 0 {
		return fmt.Errorf("testserver: fault %s: duration or factor is negative, or share is not between 0 and 1", x.Kind)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings[x.Kind], f.began[x.Kind], f.until[x.Kind] = x, now, now+x.For
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// active reports whether a fault is active now and affects this attempt. It draws a random
// number for a fault that affects a share of the attempts.
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

// slowdown returns by which factor the server is slower now.
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

// waitWhileStopped waits until no fault stops the server (vanish, hang, pauses).
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

// acceptsAgainAt returns when the server accepts connections again, or 0 if it accepts them now.
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

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// faultListener stops accepting connections while the fault vanish or half-open is active. It
// sets the kernel's accept queue to the shortest length, so that further connects hang.
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
			// Connections that were queued in the meantime are reset, as if they had never
			// reached the machine.
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
		if l.faults.active(AcceptClose) {
			c.Close()
			continue
		}
		return c, nil
	}
}

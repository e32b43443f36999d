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

// Fault is a fault to inject into a server for some time. An attempt is one request that a router
// sends to the server; a retry is another attempt.
type Fault struct {
	Kind   string  `json:"kind"`
	For    float64 `json:"for"`    // duration, ms; 0 ends an active fault of the kind
	Factor float64 `json:"factor"` // used by slow: how many times slower (below 1: no effect); used by ageing: the same at the end, rising linearly from 1
	Share  float64 `json:"share"`  // share of the attempts affected, 0 to 1; 0: all; accept-shut: share of the connections; ignored by vanish, hang, half-open, slow, ageing and pauses
	Every  float64 `json:"every"`  // used by pauses: time from the start of one to the start of the next, ms; 0: no pauses
	Length float64 `json:"length"` // used by pauses: duration of each, ms
}

// The kinds of faults that a server injects into itself. Faults that end a process, such as a
// crash, are not among them; package scenario carries them out. While vanish, hang or a pause is
// active, responses in progress pause too, but control requests (/-/) on open connections are
// answered.
const (
	Vanish           = "vanish"      // accepts no new connection and answers no attempt until the fault ends; resets no open connection
	Hang             = "hang"        // accepts connections and attempts, but answers none until the fault ends
	Slow             = "slow"        // latency and transfers are slower by Factor
	Ageing           = "ageing"      // increasingly slow, up to Factor
	FastErrors       = "fast-errors" // immediate status 500 for Share of the attempts
	Pauses           = "pauses"      // stops for Length once in each period of Every
	AnswerLost       = "answer-lost" // does the work, but does not send Share of the responses
	ResetBody        = "reset-body"  // resets the connection in the middle of the body
	Truncated        = "truncated"   // closes the connection in the middle of the body
	Overlong         = "overlong"    // sends more than Content-Length bytes
	Garbage          = "garbage"     // sends bytes that are not HTTP
	TwoLengths       = "two-lengths" // sends two different Content-Length fields
	LengthAndChunked = "both-frames" // frames the body twice: by Content-Length and by chunked Transfer-Encoding
	BareLF           = "bare-lf"     // ends header lines with LF instead of CRLF
	LargeHeader      = "big-head"    // sends a header of more than 64 KB
	Trickle          = "trickle"     // sends one byte of the body per second
	HalfOpen         = "half-open"   // accepts no new connection, so that connects hang; open connections work as usual
	AcceptClose      = "accept-shut" // accepts connections and closes them at once
)

// Kinds lists all kinds of faults that a server can have.
var Kinds = []string{Vanish, Hang, Slow, Ageing, FastErrors, Pauses, AnswerLost, ResetBody, Truncated, Overlong,
	Garbage, TwoLengths, LengthAndChunked, BareLF, LargeHeader, Trickle, HalfOpen, AcceptClose}

// faults holds the injected faults of a server, by kind.
type faults struct {
	mu       sync.Mutex
	until    map[string]float64 // when the fault ends, ms on the clock of trafficlog.Now
	settings map[string]Fault
	began    map[string]float64 // when the fault began, on the same clock
	rng      *rand.Rand
	changed  chan struct{} // closed and replaced by set; nothing waits for it
}

func newFaults(seed uint64) *faults {
	return &faults{until: map[string]float64{}, settings: map[string]Fault{}, began: map[string]float64{},
		rng: rand.New(rand.NewPCG(seed, 0x5eed)), changed: make(chan struct{})}
}

// set starts a fault at the time now. It replaces an active fault of the same kind; a duration of
// 0 ends that one. waitWhileStopped and Accept, if they are asleep, still sleep until the end that
// they read before.
func (f *faults) set(now float64, fault Fault) error {
	known := false
	for _, k := range Kinds {
		known = known || k == fault.Kind
	}
	if !known {
		return fmt.Errorf("testserver: unknown fault %q, want one of %v", fault.Kind, Kinds)
	}
	if fault.For < 0 || fault.Share < 0 || fault.Share > 1 || fault.Factor < 0 {
		return fmt.Errorf("testserver: fault %s: for is %g ms, factor is %g and share is %g; want for and factor of at least 0 and a share from 0 to 1", fault.Kind, fault.For, fault.Factor, fault.Share)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings[fault.Kind], f.began[fault.Kind], f.until[fault.Kind] = fault, now, now+fault.For
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// active reports whether a fault of the kind is active now and affects the present attempt, or for
// accept-shut the present connection. If Share is above 0, each call decides at random, so that it
// is called once for each attempt or connection.
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

// slowdown returns the factor by which the server is slower now, at least 1.
func (f *faults) slowdown() float64 {
	now := trafficlog.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	factor := 1.0
	if now < f.until[Slow] {
		factor = max(factor, f.settings[Slow].Factor)
	}
	if now < f.until[Ageing] {
		ageing := f.settings[Ageing]
		factor = max(factor, 1+(ageing.Factor-1)*(now-f.began[Ageing])/max(ageing.For, 1))
	}
	return factor
}

// waitWhileStopped waits until no fault stops the server (vanish, hang, pauses) or ctx is done.
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
		if pauses := f.settings[Pauses]; now < f.until[Pauses] && pauses.Every > 0 {
			cycles := int((now - f.began[Pauses]) / pauses.Every)
			if begin := f.began[Pauses] + float64(cycles)*pauses.Every; now < begin+pauses.Length {
				until = max(until, begin+pauses.Length)
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

// acceptsAgainAt returns the time at which the server will accept connections again, or 0 if it
// accepts them now. It does not wait.
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
// notices the fault at the next connection that it accepts. It holds this connection without
// serving it and sets the kernel's accept queue to the shortest length, so that further connects
// hang. At the end of the fault it resets the connection and those left in the queue.
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
			// The fault is over. c and the connections that the kernel queued during the fault
			// are reset, so that none of their requests is served. Their clients get the reset
			// only now, not during the fault.
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

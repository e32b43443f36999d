package testserver

import (
	"context"
	"sync"
	"time"

	"indigospool/internal/testbed/trafficlog"
)

// Link is a network link with a limited bandwidth. Each call of Pass sends one chunk; chunks pass
// in the order of the calls. A bandwidth of 0 or less means no limit, and so does a nil Link in
// Pass.
type Link struct {
	mu     sync.Mutex
	rate   func() float64 // present bandwidth, KB per ms
	freeAt float64        // when all reserved bytes have passed, ms on the clock of trafficlog.Now
	bytes  int64          // bytes reserved so far
}

// NewLink returns a link with a bandwidth in KB per ms, which may change over time.
func NewLink(rate func() float64) *Link { return &Link{rate: rate} }

// Bytes returns the number of bytes given to Pass so far, including those of calls that still wait
// or were canceled.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// reserve reserves the link for n bytes. It does not wait; it returns the time at which the last
// of them will have passed.
func (l *Link) reserve(n int) (until float64) {
	now := trafficlog.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(n)
	r := l.rate()
	if r <= 0 {
		return now
	}
	l.freeAt = max(l.freeAt, now) + float64(n)/1024/r
	return l.freeAt
}

// Pass waits until n bytes have passed over the link or ctx is done.
func (l *Link) Pass(ctx context.Context, n int) error {
	if l == nil {
		return ctx.Err()
	}
	return sleepUntil(ctx, l.reserve(n))
}

// sleepUntil sleeps until the time t, in ms on the clock of trafficlog.Now, or until ctx is done.
// It returns at once if less than 0.2 ms is left.
func sleepUntil(ctx context.Context, t float64) error {
	d := t - trafficlog.Now()
	if d < 0.2 {
		return ctx.Err()
	}
	timer := time.NewTimer(time.Duration(d * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

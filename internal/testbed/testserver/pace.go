package testserver

import (
	"context"
	"sync"
	"time"

	"indigospool/internal/testbed/trafficlog"
)

// Link is a network link with a limited bandwidth. Transfers share it in the order in which they
// call Pass, one chunk at a time. A bandwidth of 0 means no limit.
type Link struct {
	mu     sync.Mutex
	rate   func() float64 // present bandwidth, KB per ms
	freeAt float64        // when all reserved bytes have passed, on the traffic log's clock
	bytes  int64          // reserved so far
}

// NewLink returns a link with a bandwidth in KB per ms, which may change over time.
func NewLink(rate func() float64) *Link { return &Link{rate: rate} }

// Bytes returns how many bytes have been sent over the link.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// reserve reserves the link for n bytes and returns when they have passed.
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

// Pass waits until n bytes have passed over the link.
func (l *Link) Pass(ctx context.Context, n int) error {
	if l == nil {
		return ctx.Err()
	}
	return sleepUntil(ctx, l.reserve(n))
}

// sleepUntil sleeps until a time on the traffic log's clock. It returns at once if less than
// 0.2 ms is left.
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

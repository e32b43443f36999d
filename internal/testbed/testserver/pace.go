package testserver

import (
	"context"
	"sync"
	"time"

	"indigospool/internal/testbed/trafficlog"
)

// Link is a line of a set bandwidth that transfers share in the order in which
// they ask, a chunk at a time. The zero bandwidth is no limit.
type Link struct {
	mu     sync.Mutex
	rate   func() float64 // KB a ms, now
	freeAt float64
	bytes  int64
}

// NewLink makes a link of a rate in KB a ms, which may change over time.
func NewLink(rate func() float64) *Link { return &Link{rate: rate} }

// Bytes is how much has passed.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// reserve takes the line for n bytes and says when they have passed.
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

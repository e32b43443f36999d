package node

import (
	"go.uber.org/zap"

	"indigospool/internal/feed"
	"indigospool/internal/limits"
	"indigospool/internal/loop"
)

// watch is the connection to the control feed.
type watch struct {
	n      *Node
	reader feed.Reader
	fd     int
	open   bool
	up     bool
	hello  []byte
	timer  loop.Timer
	tries  *limits.Again
	dial   func(address string) (fd int, inProgress bool, err error)
}

// The feed tells something each second; one that is silent for longer is left. It is
// asked again within 2 s of a break and 4 s of a silence, and no later than half a second
// after it has come back; all routers lose it in the same moment, and don't ask in step.
const (
	feedSilent = 1800 // ms without a byte
	feedFirst  = 250  // ms within which it is asked after a break
	feedBase   = 150  // ms before the second try
	feedMost   = 500  // ms between two tries at the most
)

// connect begins a connection to the feed of the configuration, in place of the one there is.
func (w *watch) connect() {
	w.drop()
	w.timer.F = w.late
	w.n.l.Arm(&w.timer, feedSilent)
	fd, _, err := w.dial(w.n.cfg.Feed)
	if err == nil {
		if err = w.n.l.Add(fd, loop.Read|loop.Write, w); err != nil {
			closeFD(fd)
		}
	}
	if err != nil {
		w.n.l.Arm(&w.timer, w.tries.In())
		return
	}
	w.fd, w.open, w.up = fd, true, false
	w.hello = w.reader.Hello()
}

func (w *watch) late() {
	if w.open {
		w.n.log.Warn("feed is silent", zap.String("feed", w.n.cfg.Feed), zap.Uint64("last", w.reader.Last))
	}
	w.connect()
}

func (w *watch) drop() {
	if w.open {
		w.n.l.Remove(w.fd)
		closeFD(w.fd)
		w.open = false
	}
	w.n.l.Disarm(&w.timer)
}

// again leaves this connection for another one.
func (w *watch) again() {
	w.drop()
	w.timer.F = w.late
	w.n.l.Arm(&w.timer, w.tries.In())
}

// OnReady is the loop's.
func (w *watch) OnReady(r loop.Ready) {
	if r.Writable() && len(w.hello) > 0 {
		k, err := loop.WriteFD(w.fd, w.hello)
		if err == errAgain {
			k = 0
		} else if err != nil {
			w.again()
			return
		}
		if w.hello = w.hello[k:]; len(w.hello) == 0 {
			w.n.l.Want(w.fd, loop.Read)
		}
	}
	if !r.Readable() {
		return
	}
	k, err := loop.ReadFD(w.fd, w.n.scratch)
	if err == errAgain {
		return
	}
	if err != nil || k == 0 {
		w.again()
		return
	}
	w.up = true
	w.tries.Well()
	w.n.l.Arm(&w.timer, feedSilent)
	idle := w.reader.Idle
	if err := w.reader.Take(w.n.scratch[:k], w.n.event); err != nil {
		w.n.log.Warn("feed", zap.Error(err))
		w.again()
		return
	}
	if w.reader.Idle > idle {
		w.n.clock.Current(loop.Clock())
	}
}

package node

import (
	"go.uber.org/zap"

	"indigospool/internal/feed"
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
}

// The feed tells something each second; one that is silent for longer is left.
const (
	feedSilent = 1800 // ms without a byte
	feedAgain  = 150  // ms between two tries
)

// connect begins a connection to the feed of the configuration, in place of the one there is.
func (w *watch) connect() {
	w.drop()
	w.timer.F = w.late
	w.n.l.Arm(&w.timer, feedSilent)
	fd, _, err := loop.Dial(w.n.cfg.Feed)
	if err == nil {
		if err = w.n.l.Add(fd, loop.Read|loop.Write, w); err != nil {
			closeFD(fd)
		}
	}
	if err != nil {
		w.n.l.Arm(&w.timer, feedAgain)
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

// again leaves this connection; one that had come up is replaced at once.
func (w *watch) again() {
	up := w.up
	w.drop()
	w.timer.F = w.late
	in := float64(feedAgain)
	if up {
		in = 1
	}
	w.n.l.Arm(&w.timer, in)
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
	w.n.l.Arm(&w.timer, feedSilent)
	if err := w.reader.Take(w.n.scratch[:k], w.n.event); err != nil {
		w.n.log.Warn("feed", zap.Error(err))
		w.again()
	}
}

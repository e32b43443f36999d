package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	spool "indigospool"
)

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	h := host{routers: map[int]*spool.Router{}}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			reply, err := h.batch(line)
			if err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
			if _, err := out.Write(reply); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// host keeps the routers of a process.
type host struct {
	routers map[int]*spool.Router
	clock   float64
	buf     []spool.Action
}

// batch handles one line and returns the line that answers it.
func (h *host) batch(line []byte) ([]byte, error) {
	b, err := ParseBatch(line)
	if err != nil {
		return nil, err
	}
	if *b.Clock < h.clock {
		return nil, fmt.Errorf("the clock went back from %v to %v", h.clock, *b.Clock)
	}
	h.clock = *b.Clock
	var reply Reply
	for _, g := range b.Groups {
		out := Out{Inst: *g.Inst}
		for _, m := range g.Inbox {
			ev, err := ParseEvent(m)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", *g.Inst, err)
			}
			acts, err := h.event(*g.Inst, ev)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", *g.Inst, err)
			}
			out.Out = append(out.Out, acts...)
		}
		if len(out.Out) > 0 {
			reply.Groups = append(reply.Groups, out)
		}
	}
	return reply.Encode()
}

// event hands one event to its router. What breaks inside the module is
// reported on the wire; what the wire itself has wrong is an error.
func (h *host) event(inst int, ev any) (acts []any, err error) {
	defer func() {
		if p := recover(); p != nil {
			acts = []any{GiveIn(fmt.Sprint("panic: ", p))}
		}
	}()
	router := h.routers[inst]
	switch ev := ev.(type) {
	case Born:
		router, err := spool.New(ev.Settings, ev.Seed)
		if err != nil {
			return []any{GiveIn(err.Error())}, nil
		}
		h.routers[inst] = router
		return nil, nil
	case Destroy:
		delete(h.routers, inst)
		return nil, nil
	case spool.Event:
		if router == nil {
			return nil, errors.New("an event for an instance that was not started")
		}
		h.buf = router.Handle(h.clock, ev, h.buf[:0])
		for _, a := range h.buf {
			acts = append(acts, Action(a))
		}
	}
	return acts, nil
}

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
			reply, err := h.handleBatch(line)
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
	actions []spool.Action
}

// handleBatch handles one line and returns the line that answers it.
func (h *host) handleBatch(line []byte) ([]byte, error) {
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
		out := InstanceReply{Instance: *g.Instance}
		for _, m := range g.Inbox {
			ev, err := ParseEvent(m)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", *g.Instance, err)
			}
			acts, err := h.handleEvent(*g.Instance, ev)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", *g.Instance, err)
			}
			out.Actions = append(out.Actions, acts...)
		}
		if len(out.Actions) > 0 {
			reply.Groups = append(reply.Groups, out)
		}
	}
	return reply.Encode()
}

// handleEvent hands one event to its router. What breaks inside the module is
// reported on the wire; what the wire itself has wrong is an error.
func (h *host) handleEvent(inst int, ev any) (acts []any, err error) {
	defer func() {
		if p := recover(); p != nil {
			acts = []any{InternalError(fmt.Sprint("panic: ", p))}
		}
	}()
	router := h.routers[inst]
	switch ev := ev.(type) {
	case Start:
		router, err := spool.New(ev.Settings, ev.Seed)
		if err != nil {
			return []any{InternalError(err.Error())}, nil
		}
		h.routers[inst] = router
		return nil, nil
	case Stop:
		delete(h.routers, inst)
		return nil, nil
	case spool.Event:
		if router == nil {
			return nil, errors.New("an event for an instance that was not started")
		}
		h.actions = router.Handle(h.clock, ev, h.actions[:0])
		for _, a := range h.actions {
			acts = append(acts, EncodeAction(a))
		}
	}
	return acts, nil
}

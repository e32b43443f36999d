package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	spool "indigospool"
)

// Serve reads batches from in, one per line, and writes a reply to each to out, until in ends.
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

// host holds the routers of a process by instance number.
type host struct {
	routers map[int]*spool.Router
	clock   float64
	actions []spool.Action
}

// handleBatch handles one line of input and returns the line of the reply.
func (h *host) handleBatch(line []byte) ([]byte, error) {
	b, err := ParseBatch(line)
	if err != nil {
		return nil, err
	}
	if *b.Clock < h.clock {
		return nil, fmt.Errorf("clock went backwards from %v ms to %v ms", h.clock, *b.Clock)
	}
	h.clock = *b.Clock
	var reply Reply
	for _, g := range b.Groups {
		instanceReply := InstanceReply{Instance: *g.Instance}
		for _, m := range g.Inbox {
			ev, err := ParseEvent(m)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", *g.Instance, err)
			}
			actions, err := h.handleEvent(*g.Instance, ev)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", *g.Instance, err)
			}
			instanceReply.Actions = append(instanceReply.Actions, actions...)
		}
		if len(instanceReply.Actions) > 0 {
			reply.Groups = append(reply.Groups, instanceReply)
		}
	}
	return reply.Encode()
}

// handleEvent handles one event of an instance and returns its actions in wire form. Failures of the
// module, including panics, are reported on the wire. Malformed input is returned as an error.
func (h *host) handleEvent(instance int, ev any) (replies []any, err error) {
	defer func() {
		if p := recover(); p != nil {
			replies = []any{InternalError(fmt.Sprint("panic: ", p))}
		}
	}()
	router := h.routers[instance]
	switch ev := ev.(type) {
	case Start:
		router, err := spool.New(ev.Settings, ev.Seed)
		if err != nil {
			return []any{InternalError(err.Error())}, nil
		}
		h.routers[instance] = router
		return nil, nil
	case Stop:
		delete(h.routers, instance)
		return nil, nil
	case spool.Event:
		if router == nil {
			return nil, errors.New("event for an instance that was not started")
		}
		h.actions = router.Handle(h.clock, ev, h.actions[:0])
		for _, a := range h.actions {
			replies = append(replies, EncodeAction(a))
		}
	}
	return replies, nil
}

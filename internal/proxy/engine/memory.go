package engine

import (
	"sort"

	spool "indigospool"
)

// LearnedState is a snapshot of what a Core has learned, which a successor restores: the
// endpoint list and the module's learned state. Package learnedstate encodes it under its
// field names.
type LearnedState struct {
	Rev     int64          // of the endpoint list
	Members []ListedMember // sorted by id
	Module  *spool.Snapshot
}

// ListedMember is a member of the endpoint list.
type ListedMember struct {
	spool.Member
	Address string
	Start   int64 // number of its current start; 0: unknown
}

// LearnedState returns a copy of the learned state.
func (c *Core) LearnedState() *LearnedState {
	state := &LearnedState{Rev: c.rev, Module: c.router.Snapshot()}
	for _, m := range c.members {
		state.Members = append(state.Members, ListedMember{Member: m.Member, Address: m.address, Start: m.start})
	}
	sort.Slice(state.Members, func(i, j int) bool { return state.Members[i].ID < state.Members[j].ID })
	return state
}

// Restore takes over the state that a predecessor learned, and appends the module's actions
// to dst. It must be called before Apply.
func (c *Core) Restore(now spool.Millis, state *LearnedState, dst []spool.Action) []spool.Action {
	c.rev = state.Rev
	for _, m := range state.Members {
		c.members[m.ID] = &listedMember{Member: m.Member, address: m.Address, start: m.Start}
	}
	return c.Handle(now, spool.Recalled{Memory: state.Module}, dst)
}

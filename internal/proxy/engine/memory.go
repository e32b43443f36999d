package engine

import (
	"sort"

	spool "indigospool"
)

// LearnedState is what a core has learned, for its successor: the list as it was told,
// with starts and addresses, and the module's own.
type LearnedState struct {
	Rev     int64
	Members []ListedMember // in the order of ids
	Module  *spool.Memory
}

// ListedMember is a listed member.
type ListedMember struct {
	spool.Member
	Address string
	Start   int64
}

// LearnedState is a copy of what was learned.
func (c *Core) LearnedState() *LearnedState {
	m := &LearnedState{Rev: c.rev, Module: c.router.Memory()}
	for _, k := range c.members {
		m.Members = append(m.Members, ListedMember{Member: k.Member, Address: k.address, Start: k.start})
	}
	sort.Slice(m.Members, func(i, j int) bool { return m.Members[i].ID < m.Members[j].ID })
	return m
}

// Restore goes on from a predecessor's memory. It comes before any news.
func (c *Core) Restore(now spool.Millis, m *LearnedState, dst []spool.Action) []spool.Action {
	c.rev = m.Rev
	for _, k := range m.Members {
		c.members[k.ID] = &listedMember{Member: k.Member, address: k.Address, start: k.Start}
	}
	return c.Handle(now, spool.Recalled{Memory: m.Module}, dst)
}

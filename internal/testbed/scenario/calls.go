package scenario

import (
	"fmt"

	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/testbed/faultinject"
	"indigospool/internal/testbed/trafficlog"
)

// Whose connections a trouble of syscalls meets with its reads and writes.
const (
	peerAll     = ""        // both
	peerMembers = "members" // those that the process has made
	peerClients = "clients" // those that it has accepted
)

// faultyCalls are the system calls of a process's event loop: the kernel's, and while a
// trouble of syscalls lasts those of its plan. Everything but the trouble's begin belongs
// to the loop's goroutine.
type faultyCalls struct {
	faults   *injector
	accepted map[int]bool // by descriptor: whether the last connection of that number came from a client
}

var _ eventloop.Syscalls = (*faultyCalls)(nil)

func newFaultyCalls(faults *injector) *faultyCalls {
	return &faultyCalls{faults: faults, accepted: map[int]bool{}}
}

// plannedCalls are the calls of a plan, until its end.
type plannedCalls struct {
	calls *faultinject.Syscalls
	plan  faultinject.Plan
	peer  string
	until float64 // on the tap's clock
}

// newPlannedCalls reads a plan, whose spans count from now.
func newPlannedCalls(fault processFault) (*plannedCalls, error) {
	plan, err := faultinject.Parse(fault.Plan)
	if err != nil {
		return nil, fmt.Errorf("day: syscalls: %w", err)
	}
	seed := uint64(fault.Until)
	return &plannedCalls{faultinject.New(plan, seed, faultinject.StartClock()), plan, fault.Peer, fault.Until}, nil
}

// counts are how many calls of the plan's kinds were made, and how many of them failed.
func (p *plannedCalls) counts() (made, failed int) {
	counted := map[faultinject.Call]bool{}
	for _, fault := range p.plan {
		if !counted[fault.Call] {
			counted[fault.Call] = true
			m, f := p.calls.Counts(fault.Call)
			made, failed = made+m, failed+f
		}
	}
	return made, failed
}

// current are the calls that hold at the moment.
func (c *faultyCalls) current() eventloop.Syscalls {
	if planned := c.faults.calls.Load(); planned != nil && trafficlog.Now() < planned.until {
		return planned.calls
	}
	return eventloop.Kernel
}

// on are the calls that hold for a connection at the moment.
func (c *faultyCalls) forConnection(fd int) eventloop.Syscalls {
	planned := c.faults.calls.Load()
	switch {
	case planned == nil || trafficlog.Now() >= planned.until:
		return eventloop.Kernel
	case planned.peer == peerMembers && c.accepted[fd], planned.peer == peerClients && !c.accepted[fd]:
		return eventloop.Kernel
	}
	return planned.calls
}

// Accept implements loop.Syscalls.
func (c *faultyCalls) Accept(listener int) (int, error) {
	fd, err := c.current().Accept(listener)
	if err == nil {
		c.accepted[fd] = true
	}
	return fd, err
}

// Socket implements loop.Syscalls.
func (c *faultyCalls) Socket(family int) (int, error) {
	fd, err := c.current().Socket(family)
	if err == nil {
		delete(c.accepted, fd)
	}
	return fd, err
}

// Connect implements loop.Syscalls.
func (c *faultyCalls) Connect(fd int, to unix.Sockaddr) error { return c.current().Connect(fd, to) }

// Read implements loop.Syscalls.
func (c *faultyCalls) Read(fd int, b []byte) (int, error) { return c.forConnection(fd).Read(fd, b) }

// Write implements loop.Syscalls.
func (c *faultyCalls) Write(fd int, b []byte) (int, error) { return c.forConnection(fd).Write(fd, b) }

// WriteTwo implements loop.Syscalls.
func (c *faultyCalls) WriteTwo(fd int, first, second []byte) (int, error) {
	return c.forConnection(fd).WriteTwo(fd, first, second)
}

// Wait implements loop.Syscalls.
func (c *faultyCalls) Wait(epoll int, events []unix.EpollEvent, timeout int) (int, error) {
	return c.current().Wait(epoll, events, timeout)
}

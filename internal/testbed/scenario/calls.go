package scenario

import (
	"fmt"

	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/testbed/faultinject"
	"indigospool/internal/testbed/trafficlog"
)

// Values of processFault.Peer: the connections whose reads and writes a syscalls fault affects.
const (
	peerAll     = ""        // all connections
	peerMembers = "members" // connections that the process has opened, such as a router's to a cache
	peerClients = "clients" // connections that the process has accepted from clients
)

// faultyCalls implements the system calls of a process's event loop. It makes the kernel's
// system calls, and during a syscalls fault lets calls fail as the fault's plan says. Its
// methods are called by the loop's goroutine only; the injector may start a fault concurrently.
type faultyCalls struct {
	faults   *injector
	accepted map[int]bool // by descriptor: whether its latest connection was accepted from a client, rather than opened
}

var _ eventloop.Syscalls = (*faultyCalls)(nil)

func newFaultyCalls(faults *injector) *faultyCalls {
	return &faultyCalls{faults: faults, accepted: map[int]bool{}}
}

// plannedCalls holds the system calls of a syscalls fault and the fault's end.
type plannedCalls struct {
	calls *faultinject.Syscalls
	plan  faultinject.Plan
	peer  string
	until float64 // end of the fault, see trafficlog.Now
}

// newPlannedCalls parses the plan of a fault. The plan's time spans count from the call of
// newPlannedCalls.
func newPlannedCalls(fault processFault) (*plannedCalls, error) {
	plan, err := faultinject.Parse(fault.Plan)
	if err != nil {
		return nil, fmt.Errorf("day: parse the plan of a syscalls fault: %w", err)
	}
	seed := uint64(fault.Until) // the same in all processes that the fault affects
	return &plannedCalls{faultinject.New(plan, seed, faultinject.StartClock()), plan, fault.Peer, fault.Until}, nil
}

// counts returns how many calls of the plan's kinds were made, and how many of them failed.
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

// current returns the system calls to use now for all calls but reads and writes. A syscalls
// fault affects these calls whatever its peer is.
func (c *faultyCalls) current() eventloop.Syscalls {
	if planned := c.faults.calls.Load(); planned != nil && trafficlog.Now() < planned.until {
		return planned.calls
	}
	return eventloop.Kernel
}

// forConnection returns the system calls to use now for reads and writes on a connection. A
// syscalls fault affects them only on connections of its peer.
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

// Accept implements eventloop.Syscalls.
func (c *faultyCalls) Accept(listener int) (int, error) {
	fd, err := c.current().Accept(listener)
	if err == nil {
		c.accepted[fd] = true
	}
	return fd, err
}

// Socket implements eventloop.Syscalls.
func (c *faultyCalls) Socket(family int) (int, error) {
	fd, err := c.current().Socket(family)
	if err == nil {
		delete(c.accepted, fd)
	}
	return fd, err
}

// Connect implements eventloop.Syscalls.
func (c *faultyCalls) Connect(fd int, to unix.Sockaddr) error { return c.current().Connect(fd, to) }

// Read implements eventloop.Syscalls.
func (c *faultyCalls) Read(fd int, b []byte) (int, error) { return c.forConnection(fd).Read(fd, b) }

// Write implements eventloop.Syscalls.
func (c *faultyCalls) Write(fd int, b []byte) (int, error) { return c.forConnection(fd).Write(fd, b) }

// WriteTwo implements eventloop.Syscalls.
func (c *faultyCalls) WriteTwo(fd int, first, second []byte) (int, error) {
	return c.forConnection(fd).WriteTwo(fd, first, second)
}

// Wait implements eventloop.Syscalls.
func (c *faultyCalls) Wait(epoll int, events []unix.EpollEvent, timeout int) (int, error) {
	return c.current().Wait(epoll, events, timeout)
}

// Package faultinject makes selected system calls on sockets fail, for tests and scenarios.
// A Syscalls wraps the kernel's system calls for an event loop and fails calls as a plan says.
//
// A plan is a list of faults separated by ";". Each has the form
//
//	call:error[:how often][:from-until]
//
// where
//
//   - call is accept, socket, connect, read, write (which includes WriteTwo) or wait;
//   - error is the name of an error number, such as ENFILE, or "short" for a read or write
//     that transfers only a part of the bytes;
//   - how often is a share of the calls (0.05), or a number of calls followed by x (3x: the
//     next three); the default is all calls;
//   - from-until is a range of readings of the clock that New is given, as durations (2s-4s);
//     without a range the fault always applies, and without the second duration ("2s-") it
//     does not end.
//
// For example:
//
//	accept:ENFILE:1:2000ms-4000ms; read:EINTR:0.01; connect:EADDRNOTAVAIL:3x; write:short:0.05
//
// The first fault that applies to a call is used. A wait is interrupted only when no event is
// ready, as in the kernel.
package faultinject

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
)

// Call names a kind of system call.
type Call string

// The calls that can fail.
const (
	Accept  Call = "accept"
	Socket  Call = "socket"
	Connect Call = "connect"
	Read    Call = "read"
	Write   Call = "write"
	Wait    Call = "wait"
)

// ErrPlan is wrapped by the errors of Parse.
var ErrPlan = errors.New("faultinject: bad plan")

// short is the error name of a read or write that transfers only a part of the bytes.
const short = "short"

// Fault is one entry of a plan.
type Fault struct {
	Call  Call
	Errno unix.Errno    // 0: a short read or write
	Share float64       // share of the calls that fail; 1 if Count is set
	Count int           // number of calls that fail; 0: no limit
	From  time.Duration // readings of the clock at which the fault begins and ends
	Until time.Duration // 0: no end
}

// Plan is a list of faults. The first one that applies to a call is used.
type Plan []Fault

// Parse parses a plan; see the package documentation for its form.
func Parse(text string) (Plan, error) {
	var plan Plan
	for _, part := range strings.Split(text, ";") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		fault, err := parseFault(part)
		if err != nil {
			return nil, fmt.Errorf("%w: %q: %w", ErrPlan, part, err)
		}
		plan = append(plan, fault)
	}
	return plan, nil
}

func parseFault(text string) (Fault, error) {
	fields := strings.Split(text, ":")
	if len(fields) < 2 || len(fields) > 4 {
		return Fault{}, errors.New("want call:error[:how often][:from-until]")
	}
	fault := Fault{Call: Call(fields[0]), Share: 1}
	switch fault.Call {
	case Accept, Socket, Connect, Read, Write, Wait:
	default:
		return Fault{}, fmt.Errorf("unknown call %q", fields[0])
	}
	if err := fault.parseError(fields[1]); err != nil {
		return Fault{}, err
	}
	rest := fields[2:]
	if len(rest) > 0 && !strings.Contains(rest[0], "-") {
		if err := fault.parseOften(rest[0]); err != nil {
			return Fault{}, err
		}
		rest = rest[1:]
	}
	if len(rest) == 0 {
		return fault, nil
	}
	if len(rest) > 1 {
		return Fault{}, fmt.Errorf("%q follows the time span, want nothing after it", rest[1])
	}
	return fault, fault.parseSpan(rest[0])
}

func (f *Fault) parseError(name string) error {
	if name == short {
		if f.Call != Read && f.Call != Write {
			return fmt.Errorf("%s cannot be short, only read and write can", f.Call)
		}
		return nil
	}
	for errno := unix.Errno(1); errno < 256; errno++ {
		if unix.ErrnoName(errno) == name {
			f.Errno = errno
			return nil
		}
	}
	return fmt.Errorf("unknown error %q", name)
}

func (f *Fault) parseOften(text string) (err error) {
	if number, ok := strings.CutSuffix(text, "x"); ok {
		if f.Count, err = strconv.Atoi(number); err != nil || f.Count < 1 {
			return fmt.Errorf("%q is not a number of calls, want an integer above 0 followed by x", text)
		}
		return nil
	}
	if f.Share, err = strconv.ParseFloat(text, 64); err != nil || !(f.Share > 0 && f.Share <= 1) {
		return fmt.Errorf("%q is not a share of calls, want a number above 0 and at most 1", text)
	}
	return nil
}

func (f *Fault) parseSpan(text string) (err error) {
	from, until, ok := strings.Cut(text, "-")
	if !ok {
		return fmt.Errorf("%q is not a time span, want from-until or from-", text)
	}
	if f.From, err = time.ParseDuration(from); err != nil {
		return fmt.Errorf("begin of time span %q: %w", text, err)
	}
	if until == "" {
		return nil
	}
	if f.Until, err = time.ParseDuration(until); err != nil {
		return fmt.Errorf("end of time span %q: %w", text, err)
	}
	if f.Until <= f.From {
		return fmt.Errorf("time span %q ends before it begins", text)
	}
	return nil
}

// Syscalls fails calls as a plan says and passes the others on. It is safe for concurrent
// use.
type Syscalls struct {
	next  eventloop.Syscalls
	clock func() time.Duration

	mu     sync.Mutex
	plan   Plan
	random *rand.Rand
	made   map[Call]int
	failed map[Call]int
}

var _ eventloop.Syscalls = (*Syscalls)(nil)

// New returns a Syscalls that wraps the kernel's calls. The plan's time spans are readings of
// clock. With the same seed and the same sequence of calls, the same calls fail.
func New(plan Plan, seed uint64, clock func() time.Duration) *Syscalls {
	return &Syscalls{next: eventloop.Kernel, clock: clock, plan: append(Plan(nil), plan...), random: rand.New(rand.NewPCG(seed, 0)),
		made: map[Call]int{}, failed: map[Call]int{}}
}

// StartClock returns a clock that starts at zero now.
func StartClock() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// Set replaces the plan.
func (s *Syscalls) Set(plan Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = append(Plan(nil), plan...)
}

// Counts returns how many calls of a kind were made, and how many of them failed or were short.
func (s *Syscalls) Counts(call Call) (made, failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.made[call], s.failed[call]
}

// fault counts a call and returns the fault to apply to it, if any.
func (s *Syscalls) fault(call Call) (fault Fault, ok bool) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made[call]++
	for i := range s.plan {
		f := &s.plan[i]
		if f.Call != call || now < f.From || f.Until > 0 && now >= f.Until || f.Count < 0 {
			continue
		}
		if f.Share < 1 && s.random.Float64() >= f.Share {
			continue
		}
		if f.Count > 0 {
			if f.Count--; f.Count == 0 {
				f.Count = -1 // no calls left to fail
			}
		}
		s.failed[call]++
		return *f, true
	}
	return Fault{}, false
}

// part returns the number of bytes that a short call of n bytes transfers: at least one.
func (s *Syscalls) part(n int) int {
	if n < 2 {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.random.IntN(n-1)
}

// Accept implements eventloop.Syscalls.
func (s *Syscalls) Accept(listener int) (int, error) {
	if fault, ok := s.fault(Accept); ok {
		return -1, fault.Errno
	}
	return s.next.Accept(listener)
}

// Socket implements eventloop.Syscalls.
func (s *Syscalls) Socket(family int) (int, error) {
	if fault, ok := s.fault(Socket); ok {
		return -1, fault.Errno
	}
	return s.next.Socket(family)
}

// Connect implements eventloop.Syscalls.
func (s *Syscalls) Connect(fd int, to unix.Sockaddr) error {
	if fault, ok := s.fault(Connect); ok {
		return fault.Errno
	}
	return s.next.Connect(fd, to)
}

// Read implements eventloop.Syscalls.
func (s *Syscalls) Read(fd int, b []byte) (int, error) {
	if fault, ok := s.fault(Read); ok {
		if fault.Errno != 0 {
			return 0, fault.Errno
		}
		b = b[:s.part(len(b))]
	}
	return s.next.Read(fd, b)
}

// Write implements eventloop.Syscalls.
func (s *Syscalls) Write(fd int, b []byte) (int, error) {
	if fault, ok := s.fault(Write); ok {
		if fault.Errno != 0 {
			return 0, fault.Errno
		}
		b = b[:s.part(len(b))]
	}
	return s.next.Write(fd, b)
}

// WriteTwo implements eventloop.Syscalls.
func (s *Syscalls) WriteTwo(fd int, first, second []byte) (int, error) {
	if fault, ok := s.fault(Write); ok {
		if fault.Errno != 0 {
			return 0, fault.Errno
		}
		n := s.part(len(first) + len(second))
		first, second = first[:min(n, len(first))], second[:max(n-len(first), 0)]
	}
	return s.next.WriteTwo(fd, first, second)
}

// Wait implements eventloop.Syscalls. A fault applies only if no event is ready; it does not wait
// for the timeout.
func (s *Syscalls) Wait(epoll int, events []unix.EpollEvent, timeout int) (int, error) {
	fault, ok := s.fault(Wait)
	if !ok {
		return s.next.Wait(epoll, events, timeout)
	}
	if n, err := s.next.Wait(epoll, events, 0); n > 0 || err != nil {
		return n, err
	}
	return 0, fault.Errno
}

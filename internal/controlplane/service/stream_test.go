package service

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Good, bad and repeated versions; then the service stops, and comes back.
func TestVersionsByStages(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 100)
		var routers []*testRouter
		for i := range 8 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		eventually(t, "the streams", func() bool { return len(s.Status().Routers) == 8 })
		if n, err := s.PushUnchecked(settingsText(3, ""), false); n != 1 || err != nil {
			t.Fatal(n, err)
		}
		eventually(t, "the first version everywhere", allRunning(routers, 1))
		s.PushUnchecked(settingsText(4, ""), false)
		eventually(t, "the second by stages", allRunning(routers, 2))
		s.PushUnchecked(settingsText(3, "(zone y (routers 1))"), false) // a zone with routers and without a cache
		eventually(t, "the halt", func() bool { return m.get().HaltReason != "" })
		if !strings.Contains(m.get().HaltReason, "1 of 1 routers refuse it") || !strings.Contains(m.get().HaltReason, "zone/y: no cache is listed there") {
			t.Errorf("halted: %q", m.get().HaltReason)
		}
		eventually(t, "the old content under a new number", allRunning(routers, 4))
		refused := 0
		for _, r := range s.Status().Routers {
			if r.Rejected == 3 {
				refused++
			}
		}
		if refused != 1 {
			t.Errorf("%d routers were offered the bad version", refused)
		}
		s.Stop()
		time.Sleep(100 * time.Millisecond)
		if !allRunning(routers, 4)() {
			t.Error("the last good version does not run on without its service")
		}
		s, _ = startServer(t, addr, m, 100)
		eventually(t, "the streams again", func() bool { return len(s.Status().Routers) == 8 })
		s.PushUnchecked(settingsText(5, ""), true)
		eventually(t, "the fleet to be level", allRunning(routers, 5))
		for _, r := range routers {
			if n := r.uses.Load(); n != 4 {
				t.Errorf("%d versions were used, want 4: 1, 2, 4 and 5", n)
			}
		}
	})
}

// A service whose state can't be kept offers nothing that it could forget.
func TestNothingIsOfferedWhenStateIsNotPersisted(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{err: errors.New("no space left")}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		r := startRouter(t, full, "r", 1, nil, addr)
		eventually(t, "the stream", func() bool { return len(s.Status().Routers) == 1 })
		if _, err := s.PushUnchecked(settingsText(3, ""), true); err == nil || !strings.Contains(err.Error(), "no space left") {
			t.Errorf("push: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
		if n, _ := r.Running(); n != 0 {
			t.Errorf("version %d was offered", n)
		}
	})
}

// A version of 5 MB comes through; of two services the first one is followed.
func TestLargeVersionAndSecondService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		r := startRouter(t, full, "r", 1, nil, "127.0.0.1:1", addr)
		s.PushUnchecked(settingsText(3, "; "+strings.Repeat("x", 5<<20)), true)
		eventually(t, "5 MB by the second service", allRunning([]*testRouter{r}, 1))
	})
}

// Many routers come back at once to a service that takes few streams a second.
func TestReconnectingFleet(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		s.PushUnchecked(settingsText(3, ""), true)
		var routers []*testRouter
		for i := range 60 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		eventually(t, "all on version 1", allRunning(routers, 1))
		s.Stop()
		ln, err := net.Listen("tcp", addr)
		for err != nil {
			time.Sleep(20 * time.Millisecond)
			ln, err = net.Listen("tcp", addr)
		}
		slow := NewServer(ServerConfig{Name: "svc", State: m.get(), Store: m, StreamsPerSecond: 30, TickInterval: 10 * time.Millisecond})
		go slow.Serve(ln)
		defer slow.Stop()
		slow.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "the fleet level again", allRunning(routers, 2))
	})
}

// A version that never ends is bounded by the size of a message, and the router
// goes on with what it has; the service may be slow, and is followed all the same.
func TestOversizedVersionAndSlowService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		r := startRouter(t, full, "r", 1, nil, addr)
		s.PushUnchecked(settingsText(3, ""), true)
		eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
		s.PushUnchecked(settingsText(3, "; "+strings.Repeat("x", 33<<20)), true)
		eventually(t, "the turn-down", func() bool { return r.warned("larger than max") })
		if n, _ := r.Running(); n != 1 {
			t.Fatalf("runs %d", n)
		}
		s.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "the next", allRunning([]*testRouter{r}, 3))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go relaySlowly(ln, addr)
		slow := startRouter(t, full, "slow", 2, nil, ln.Addr().String())
		eventually(t, "a version that drips", allRunning([]*testRouter{slow}, 3))
	})
}

// relaySlowly passes bytes on a few at a time.
func relaySlowly(ln net.Listener, to string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		u, err := net.Dial("tcp", to)
		if err != nil {
			c.Close()
			return
		}
		pass := func(dst, src net.Conn) {
			defer dst.Close()
			buf := make([]byte, 64)
			for {
				n, err := src.Read(buf)
				if n > 0 {
					time.Sleep(5 * time.Millisecond)
					dst.Write(buf[:n])
				}
				if err != nil {
					return
				}
			}
		}
		go pass(c, u)
		go pass(u, c)
	}
}

// A service that comes and goes every moment: the routers neither lose what they
// run nor take anything twice.
func TestFlappingService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		var routers []*testRouter
		for i := range 5 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		s.PushUnchecked(settingsText(3, ""), true)
		eventually(t, "version 1", allRunning(routers, 1))
		for i := range 8 {
			s.Stop()
			time.Sleep(20 * time.Millisecond)
			if !allRunning(routers, 1)() {
				t.Fatalf("flap %d: not all run version 1", i)
			}
			s, _ = startServer(t, addr, m, 50)
			time.Sleep(30 * time.Millisecond)
		}
		for _, r := range routers {
			if n := r.uses.Load(); n != 1 {
				t.Errorf("version 1 was used %d times", n)
			}
		}
		s.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "version 2", allRunning(routers, 2))
	})
}

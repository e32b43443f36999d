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
		stateStore := &memoryStateStore{}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 100)
		var routers []*testRouter
		for i := range 8 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		waitFor(t, "the streams", func() bool { return len(server.Status().Routers) == 8 })
		if n, err := server.PushUnchecked(settingsText(3, ""), false); n != 1 || err != nil {
			t.Fatal(n, err)
		}
		waitFor(t, "the first version everywhere", allRunning(routers, 1))
		server.PushUnchecked(settingsText(4, ""), false)
		waitFor(t, "the second by stages", allRunning(routers, 2))
		server.PushUnchecked(settingsText(3, "(zone y (routers 1))"), false) // a zone with routers and without a cache
		waitFor(t, "the halt", func() bool { return stateStore.get().HaltReason != "" })
		if !strings.Contains(stateStore.get().HaltReason, "1 of 1 routers rejected it") || !strings.Contains(stateStore.get().HaltReason, "zone/y: no cache is listed there") {
			t.Errorf("halted: %q", stateStore.get().HaltReason)
		}
		waitFor(t, "the old content under a new number", allRunning(routers, 4))
		rejecting := 0
		for _, router := range server.Status().Routers {
			if router.Rejected == 3 {
				rejecting++
			}
		}
		if rejecting != 1 {
			t.Errorf("%d routers were offered the bad version", rejecting)
		}
		server.Stop()
		time.Sleep(100 * time.Millisecond)
		if !allRunning(routers, 4)() {
			t.Error("the last good version does not run on without its service")
		}
		server, _ = startServer(t, addr, stateStore, 100)
		waitFor(t, "the streams again", func() bool { return len(server.Status().Routers) == 8 })
		server.PushUnchecked(settingsText(5, ""), true)
		waitFor(t, "the fleet to be level", allRunning(routers, 5))
		for _, router := range routers {
			if n := router.activations.Load(); n != 4 {
				t.Errorf("%d versions were used, want 4: 1, 2, 4 and 5", n)
			}
		}
	})
}

// A service whose state can't be persisted offers nothing that it could forget.
func TestNothingIsOfferedWhenStateIsNotPersisted(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{err: errors.New("no space left")}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		router := startRouter(t, full, "r", 1, nil, addr)
		waitFor(t, "the stream", func() bool { return len(server.Status().Routers) == 1 })
		if _, err := server.PushUnchecked(settingsText(3, ""), true); err == nil || !strings.Contains(err.Error(), "no space left") {
			t.Errorf("push: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
		if n, _ := router.Running(); n != 0 {
			t.Errorf("version %d was offered", n)
		}
	})
}

// A version of 5 MB comes through; of two services the first one is followed.
func TestLargeVersionAndSecondService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		router := startRouter(t, full, "r", 1, nil, "127.0.0.1:1", addr)
		server.PushUnchecked(settingsText(3, "; "+strings.Repeat("x", 5<<20)), true)
		waitFor(t, "5 MB by the second service", allRunning([]*testRouter{router}, 1))
	})
}

// Many routers come back at once to a service that takes few streams a second.
func TestReconnectingFleet(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		server.PushUnchecked(settingsText(3, ""), true)
		var routers []*testRouter
		for i := range 60 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		waitFor(t, "all on version 1", allRunning(routers, 1))
		server.Stop()
		listener, err := net.Listen("tcp", addr)
		for err != nil {
			time.Sleep(20 * time.Millisecond)
			listener, err = net.Listen("tcp", addr)
		}
		slow := NewServer(ServerConfig{Name: "svc", State: stateStore.get(), Store: stateStore, StreamsPerSecond: 30, TickInterval: 10 * time.Millisecond})
		go slow.Serve(listener)
		defer slow.Stop()
		slow.PushUnchecked(settingsText(4, ""), true)
		waitFor(t, "the fleet level again", allRunning(routers, 2))
	})
}

// A version is bounded by the size of a message, and the router goes on with what it
// has; the service may be slow, and is followed all the same.
func TestOversizedVersionAndSlowService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		router := startRouter(t, full, "r", 1, nil, addr)
		server.PushUnchecked(settingsText(3, ""), true)
		waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
		server.PushUnchecked(settingsText(3, "; "+strings.Repeat("x", 33<<20)), true)
		waitFor(t, "the rejection", func() bool { return router.warned("larger than max") })
		if n, _ := router.Running(); n != 1 {
			t.Fatalf("runs %d", n)
		}
		server.PushUnchecked(settingsText(4, ""), true)
		waitFor(t, "the next", allRunning([]*testRouter{router}, 3))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go relaySlowly(listener, addr)
		slow := startRouter(t, full, "slow", 2, nil, listener.Addr().String())
		waitFor(t, "a version that drips", allRunning([]*testRouter{slow}, 3))
	})
}

// relaySlowly passes bytes on a few at a time.
func relaySlowly(listener net.Listener, to string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", to)
		if err != nil {
			client.Close()
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
		go pass(client, upstream)
		go pass(upstream, client)
	}
}

// A service that comes and goes every moment: the routers neither lose what they
// run nor use anything twice.
func TestFlappingService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		var routers []*testRouter
		for i := range 5 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		server.PushUnchecked(settingsText(3, ""), true)
		waitFor(t, "version 1", allRunning(routers, 1))
		for i := range 8 {
			server.Stop()
			time.Sleep(20 * time.Millisecond)
			if !allRunning(routers, 1)() {
				t.Fatalf("flap %d: not all run version 1", i)
			}
			server, _ = startServer(t, addr, stateStore, 50)
			time.Sleep(30 * time.Millisecond)
		}
		for _, router := range routers {
			if n := router.activations.Load(); n != 1 {
				t.Errorf("version 1 was used %d times", n)
			}
		}
		server.PushUnchecked(settingsText(4, ""), true)
		waitFor(t, "version 2", allRunning(routers, 2))
	})
}

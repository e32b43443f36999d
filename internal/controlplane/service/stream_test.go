package service

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Valid, invalid and repeated versions are rolled out; then the service stops and
// returns.
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
			t.Fatalf("pushed version %d, %v, want 1", n, err)
		}
		waitFor(t, "version 1 on all routers", allRunning(routers, 1))
		server.PushUnchecked(settingsText(4, ""), false)
		waitFor(t, "version 2 through all stages", allRunning(routers, 2))
		server.PushUnchecked(settingsText(3, "(zone y (routers 1))"), false) // a zone with routers but without caches
		waitFor(t, "the halt", func() bool { return stateStore.get().HaltReason != "" })
		if !strings.Contains(stateStore.get().HaltReason, "1 of 1 routers rejected it") || !strings.Contains(stateStore.get().HaltReason, "zone/y: no cache is listed there") {
			t.Errorf("reason of the halt: %q, want one rejection because of zone/y in it", stateStore.get().HaltReason)
		}
		waitFor(t, "the old content under a new number", allRunning(routers, 4))
		rejecting := 0
		for _, router := range server.Status().Routers {
			if router.Rejected == 3 {
				rejecting++
			}
		}
		if rejecting != 1 {
			t.Errorf("%d routers have rejected version 3, want 1: the only router of the first stage", rejecting)
		}
		server.Stop()
		time.Sleep(100 * time.Millisecond)
		if !allRunning(routers, 4)() {
			t.Error("the last good version does not keep running without the service")
		}
		server, _ = startServer(t, addr, stateStore, 100)
		waitFor(t, "the streams again", func() bool { return len(server.Status().Routers) == 8 })
		server.PushUnchecked(settingsText(5, ""), true)
		waitFor(t, "version 5 on all routers", allRunning(routers, 5))
		for _, router := range routers {
			if n := router.activations.Load(); n != 4 {
				t.Errorf("%d versions were activated, want 4: 1, 2, 4 and 5", n)
			}
		}
	})
}

// A service offers nothing while its state can't be persisted, since after a restart it could
// assign the number of an offered version again.
func TestNothingIsOfferedWhenStateIsNotPersisted(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{err: errors.New("no space left")}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		router := startRouter(t, full, "r", 1, nil, addr)
		waitFor(t, "the stream", func() bool { return len(server.Status().Routers) == 1 })
		if _, err := server.PushUnchecked(settingsText(3, ""), true); err == nil || !strings.Contains(err.Error(), "no space left") {
			t.Errorf("push: %v, want an error with \"no space left\"", err)
		}
		time.Sleep(50 * time.Millisecond)
		if n, _ := router.Running(); n != 0 {
			t.Errorf("router runs version %d, want none to be offered", n)
		}
	})
}

// A version of 5 MB is received from the second service if the first one does not answer.
func TestLargeVersionAndSecondService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		router := startRouter(t, full, "r", 1, nil, "127.0.0.1:1", addr)
		server.PushUnchecked(settingsText(3, "; "+strings.Repeat("x", 5<<20)), true)
		waitFor(t, "5 MB from the second service", allRunning([]*testRouter{router}, 1))
	})
}

// Many routers reconnect at once to a service that admits few streams per second.
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
		waitFor(t, "version 2 on all routers", allRunning(routers, 2))
	})
}

// A version above the message size limit is not received, and the router keeps its
// version. A router also receives versions over a slow connection.
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
			t.Fatalf("router runs version %d, want 1", n)
		}
		server.PushUnchecked(settingsText(4, ""), true)
		waitFor(t, "version 3", allRunning([]*testRouter{router}, 3))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go relaySlowly(listener, addr)
		slow := startRouter(t, full, "slow", 2, nil, listener.Addr().String())
		waitFor(t, "the version over a slow connection", allRunning([]*testRouter{slow}, 3))
	})
}

// relaySlowly relays connections, a few bytes at a time.
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

// While a service stops and restarts repeatedly, the routers keep their version and
// activate nothing twice.
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
				t.Fatalf("after stop %d of the service: not all routers run version 1", i+1)
			}
			server, _ = startServer(t, addr, stateStore, 50)
			time.Sleep(30 * time.Millisecond)
		}
		for _, router := range routers {
			if n := router.activations.Load(); n != 1 {
				t.Errorf("versions were activated %d times, want once: version 1", n)
			}
		}
		server.PushUnchecked(settingsText(4, ""), true)
		waitFor(t, "version 2", allRunning(routers, 2))
	})
}

package service

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// While a router's disk can't be written, the router neither acknowledges nor rejects a
// version that it could not store yet. It recovers by itself, and its status has the cause
// and the start of the fault.
func TestAgentStoreFault(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
		for _, onlySync := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/only syncs fail %v", errno, onlySync), func(t *testing.T) {
				t.Parallel()
				stateStore, files := &memoryStateStore{}, &faultyFiles{onlySync: onlySync}
				server, addr := startServer(t, "127.0.0.1:0", stateStore, 20)
				path := filepath.Join(t.TempDir(), "good.db")
				store, err := configstore.OpenWith(files, path, 8)
				if err != nil {
					t.Fatal(err)
				}
				defer store.Close()
				router := startRouter(t, false, "r", 1, store, addr)
				server.PushUnchecked(settingsText(3, ""), true) // true: to all routers at once
				waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
				files.setFault(errno)
				server.PushUnchecked(settingsText(4, ""), false) // false: in stages
				time.Sleep(500 * time.Millisecond)
				status := server.Status()
				if n, _ := router.Running(); n != 1 || status.Routers[0].Running != 1 || status.Routers[0].Rejected != 0 || status.State.HaltReason != "" {
					t.Errorf("while version 2 can't be stored: router runs %d, want 1; status at the service %+v, want version 1 and no rejection; rollout halted: %q", n, status.Routers[0], status.State.HaltReason)
				}
				if status := router.Status(); status.NotStored != 2 || !errors.Is(status.StoreFault, errno) || time.Since(status.StoreFaultSince) < 400*time.Millisecond {
					t.Errorf("while version 2 can't be stored: status %+v, want NotStored 2 and StoreFault %v for at least 400 ms", status, errno)
				}
				files.setFault(nil)
				waitFor(t, "version 2", allRunning([]*testRouter{router}, 2))
				waitFor(t, "the acknowledgement of version 2", func() bool { return server.Status().Routers[0].Running == 2 })
				if status := router.Status(); status.NotStored != 0 || status.StoreFault != nil {
					t.Errorf("after the fault: status %+v, want NotStored 0 and no StoreFault", status)
				}
				if v, _, err := store.Last(); err != nil || v.Number != 2 {
					t.Errorf("stored version: %d, %v, want 2", v.Number, err)
				}
			})
		}
	}
}

// A version that can't be stored within the timeout is rejected with the reason, and is
// accepted when it is offered again.
func TestAgentStoreTimeout(t *testing.T) {
	files := &faultyFiles{}
	server, addr := startServer(t, "127.0.0.1:0", &memoryStateStore{}, 20)
	store, err := configstore.OpenWith(files, filepath.Join(t.TempDir(), "good.db"), 8)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	router := startRouterWith(t, AgentConfig{Router: "r", Services: []string{addr}, Store: store, StoreTimeout: 200 * time.Millisecond, Machine: configversion.MachineSettings{Jitter: 50}})
	server.PushUnchecked(settingsText(3, ""), true)
	waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
	files.setFault(syscall.ENOSPC)
	server.PushUnchecked(settingsText(4, ""), true)
	waitFor(t, "the rejection", func() bool {
		status := server.Status().Routers[0]
		return status.Rejected == 2 && len(status.Reasons) == 1 && strings.Contains(status.Reasons[0], "no space left")
	})
	files.setFault(nil)
	server.PushUnchecked(settingsText(4, ""), true)
	waitFor(t, "version 3", allRunning([]*testRouter{router}, 3))
}

// A router without a running version does not wait for its disk: it runs the offered
// version at once, and acknowledges the version only after storing it. A router that can't
// read its stored version at the start runs that version as soon as it can be read.
func TestAgentStartsDuringStoreFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	stateStore, files := &memoryStateStore{}, &faultyFiles{failReads: true}
	server, addr := startServer(t, "127.0.0.1:0", stateStore, 20)
	server.PushUnchecked(settingsText(3, ""), true)
	store, err := configstore.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put(stateStore.get().Base, time.Now()); err != nil { // Base: the service's version 1
		t.Fatal(err)
	}
	store.Close()
	files.setFault(syscall.EIO)
	if store, err = configstore.OpenWith(files, path, 8); store == nil {
		t.Fatal(err)
	}
	defer store.Close()
	alone := startRouterWith(t, AgentConfig{Router: "alone", Store: store, Deferred: true}) // without a service
	if status := alone.Status(); status.Running != 0 || !errors.Is(status.StoreFault, syscall.EIO) {
		t.Errorf("while the store can't be read: status %+v, want Running 0 and StoreFault EIO", status)
	}
	files.setFault(nil)
	waitFor(t, "the stored version", allRunning([]*testRouter{alone}, 1))
	alone.Close()

	files.setFault(syscall.ENOSPC)
	emptyStore, err := configstore.OpenWith(files, filepath.Join(t.TempDir(), "other.db"), 8)
	if emptyStore == nil {
		t.Fatal(err)
	}
	defer emptyStore.Close()
	router := startRouter(t, false, "r", 1, emptyStore, addr)
	waitFor(t, "the offered version", allRunning([]*testRouter{router}, 1))
	time.Sleep(100 * time.Millisecond)
	if status := server.Status().Routers[0]; status.Running != 0 {
		t.Errorf("version acknowledged before it is stored: %+v, want Running 0", status)
	}
	files.setFault(nil)
	waitFor(t, "the acknowledgement of the version", func() bool { return server.Status().Routers[0].Running == 1 })
	if v, _, err := emptyStore.Last(); err != nil || v.Number != 1 {
		t.Errorf("stored version: %d, %v, want 1", v.Number, err)
	}
}

// A restarted router starts with its last good version, without a service. If a service has
// lost its latest state and assigns the number of that version to other content, the router
// rejects it, and accepts the next number.
func TestRouterRestart(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		stateStore := &memoryStateStore{}
		server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
		path := filepath.Join(t.TempDir(), "good.db")
		store, err := configstore.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		router := startRouter(t, full, "r", 1, store, addr)
		server.PushUnchecked(settingsText(3, ""), true)
		waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
		past := stateStore.get()
		server.PushUnchecked(settingsText(4, ""), true)
		waitFor(t, "version 2", allRunning([]*testRouter{router}, 2))
		router.Close()
		store.Close()
		server.Stop()
		if store, err = configstore.Open(path); err != nil {
			t.Fatal(err)
		}
		defer store.Close()
		router = startRouter(t, full, "r", 2, store, addr)
		if n, _ := router.Running(); n != 2 {
			t.Fatalf("after the restart: router runs version %d, want 2", n)
		}
		server, _ = startServer(t, addr, &memoryStateStore{state: past}, 50)
		server.PushUnchecked(settingsText(5, ""), true) // the service assigns number 2 again
		waitFor(t, "the rejection of the other version 2", func() bool {
			status := server.Status().Routers
			return len(status) == 1 && status[0].Rejected == 2 && strings.Contains(strings.Join(status[0].Reasons, " "), "other content")
		})
		if n, _ := router.Running(); n != 2 {
			t.Errorf("after the rejection: router runs version %d, want 2", n)
		}
		server.PushUnchecked(settingsText(5, ""), true)
		waitFor(t, "the next number", allRunning([]*testRouter{router}, 3))
	})
}

// If two services offer different versions, a router follows the first one until the lease
// of that service has expired, even though its stream has ended. It rejects the versions of
// the other service until then, and does not switch back and forth.
func TestTwoServicesDisagree(t *testing.T) {
	first, firstAddr := startServer(t, "127.0.0.1:0", &memoryStateStore{}, 50)
	secondState := &memoryStateStore{}
	second := NewServer(ServerConfig{Name: "other", Store: secondState, TickInterval: 10 * time.Millisecond, StreamsPerSecond: 2000})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go second.Serve(listener)
	defer second.Stop()
	first.PushUnchecked(settingsText(3, ""), true)
	for i := range 20 {
		second.PushUnchecked(settingsText(5+i%2, ""), true)
	}
	lease := 3 * time.Second
	router := startRouterWith(t, AgentConfig{Router: "r", Services: []string{firstAddr, listener.Addr().String()}, HeartbeatInterval: 50 * time.Millisecond,
		Machine: configversion.MachineSettings{Jitter: 50, Lease: float64(lease.Milliseconds())}})
	waitFor(t, "version 1 of the first service", allRunning([]*testRouter{router}, 1))
	first.Stop()
	stoppedAt := time.Now()
	waitFor(t, "the rejection at the second service", func() bool { status := second.Status().Routers; return len(status) == 1 && status[0].Rejected == 20 })
	if n, _ := router.Running(); n != 1 {
		t.Errorf("switched to version %d before the first service's lease expired, want version 1 until then", n)
	}
	if status := second.Status().Routers; !strings.Contains(strings.Join(status[0].Reasons, " "), "is in charge") {
		t.Errorf("reasons at the second service: %q, want \"is in charge\" in them", status[0].Reasons)
	}
	waitFor(t, "the second service in charge", allRunning([]*testRouter{router}, 20))
	if took := time.Since(stoppedAt); took < lease*9/10 {
		t.Errorf("the second service was followed after %v, want at least %v", took, lease*9/10)
	}
}

// If a router is killed after acknowledging a version but before activating it, the restarted
// router runs that version. If it is killed before the version is stored, it has not
// acknowledged it, and the service offers it again.
func TestRouterKilledBeforeActivation(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		const longJitter = 3_600_000 // ms; longer than the test, so that version 2 is not activated
		server, addr := startServer(t, "127.0.0.1:0", &memoryStateStore{}, 50)
		dir := t.TempDir()
		path, before := filepath.Join(dir, "good.db"), filepath.Join(dir, "before.db")
		start := func(path string, jitter float64) (*testRouter, *configstore.Store) {
			store, err := configstore.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			return startRouterWith(t, AgentConfig{Router: "r", Services: []string{addr}, Store: store, StateOfTheWorld: full,
				Machine: configversion.MachineSettings{Jitter: jitter}}), store
		}
		server.PushUnchecked(settingsText(3, ""), true)
		router, store := start(path, longJitter)
		waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
		router.Close()
		store.Close()
		stored, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(before, stored, 0o600) // without version 2, as after a kill before storing it
		router, store = start(path, longJitter)
		server.PushUnchecked(settingsText(4, ""), true)
		// in the service's status, Running is the last acknowledged version
		waitFor(t, "the acknowledgement of version 2", func() bool { return server.Status().Routers[0].Running == 2 })
		if n, _ := router.Running(); n != 1 {
			t.Fatalf("router runs version %d before the end of the jitter, want 1", n)
		}
		router.Close()
		store.Close()
		server.Stop()
		router, store = start(path, longJitter)
		defer store.Close()
		if n, _ := router.Running(); n != 2 {
			t.Errorf("killed between storing and activation: router runs version %d, want 2", n)
		}
		router.Close()
		server, _ = startServer(t, addr, &memoryStateStore{state: server.Status().State}, 50)
		router, store = start(before, 50)
		defer store.Close()
		if n, _ := router.Running(); n != 1 {
			t.Errorf("killed before storing: router runs version %d, want 1", n)
		}
		waitFor(t, "version 2, offered again", allRunning([]*testRouter{router}, 2))
	})
}

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

// A router whose disk takes no writes for a while: it says nothing of a version until
// that is stored, refuses none, and comes back by itself; status says why and since
// when.
func TestAgentStoreFault(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/synced %v", errno, !late), func(t *testing.T) {
				t.Parallel()
				m, files := &memoryStateStore{}, &faultyFiles{onlySync: late}
				s, addr := startServer(t, "127.0.0.1:0", m, 20)
				path := filepath.Join(t.TempDir(), "good.db")
				store, err := configstore.OpenWith(files, path, 8)
				if err != nil {
					t.Fatal(err)
				}
				defer store.Close()
				r := startRouter(t, false, "r", 1, store, addr)
				s.PushUnchecked(settingsText(3, ""), true)
				eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
				files.setFault(errno)
				s.PushUnchecked(settingsText(4, ""), false)
				time.Sleep(500 * time.Millisecond)
				st := s.Status()
				if n, _ := r.Running(); n != 1 || st.Routers[0].Running != 1 || st.Routers[0].Rejected != 0 || st.State.HaltReason != "" {
					t.Errorf("while it can't be stored: runs %d, %+v, halted %q", n, st.Routers[0], st.State.HaltReason)
				}
				if status := r.Status(); status.NotStored != 2 || !errors.Is(status.StoreFault, errno) || time.Since(status.StoreFaultSince) < 400*time.Millisecond {
					t.Errorf("%+v", status)
				}
				files.setFault(nil)
				eventually(t, "version 2", allRunning([]*testRouter{r}, 2))
				eventually(t, "its acknowledgement", func() bool { return s.Status().Routers[0].Running == 2 })
				if status := r.Status(); status.NotStored != 0 || status.StoreFault != nil {
					t.Errorf("%+v", status)
				}
				if v, _, err := store.Last(); err != nil || v.Number != 2 {
					t.Errorf("stored: %d, %v", v.Number, err)
				}
			})
		}
	}
}

// A version that can't be stored for long is refused, and every reason told; it is
// taken when it is offered again.
func TestAgentStoreTimeout(t *testing.T) {
	files := &faultyFiles{}
	s, addr := startServer(t, "127.0.0.1:0", &memoryStateStore{}, 20)
	store, err := configstore.OpenWith(files, filepath.Join(t.TempDir(), "good.db"), 8)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	r := startRouterWith(t, AgentConfig{Router: "r", Services: []string{addr}, Store: store, StoreTimeout: 200 * time.Millisecond, Machine: configversion.MachineSettings{Jitter: 50}})
	s.PushUnchecked(settingsText(3, ""), true)
	eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
	files.setFault(syscall.ENOSPC)
	s.PushUnchecked(settingsText(4, ""), true)
	eventually(t, "the refusal", func() bool {
		st := s.Status().Routers[0]
		return st.Rejected == 2 && len(st.Reasons) == 1 && strings.Contains(st.Reasons[0], "no space left")
	})
	files.setFault(nil)
	s.PushUnchecked(settingsText(4, ""), true)
	eventually(t, "version 3", allRunning([]*testRouter{r}, 3))
}

// A router that has nothing to run does not wait for its disk: it runs what comes, and
// acknowledges it once it is stored. What the disk holds is found when it can be read.
func TestAgentStartsDuringStoreFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	m, files := &memoryStateStore{}, &faultyFiles{failReads: true}
	s, addr := startServer(t, "127.0.0.1:0", m, 20)
	s.PushUnchecked(settingsText(3, ""), true)
	store, err := configstore.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put(m.get().Base, time.Now()); err != nil {
		t.Fatal(err)
	}
	store.Close()
	files.setFault(syscall.EIO)
	if store, err = configstore.OpenWith(files, path, 8); store == nil {
		t.Fatal(err)
	}
	defer store.Close()
	alone := startRouterWith(t, AgentConfig{Router: "alone", Store: store, Deferred: true})
	if status := alone.Status(); status.Running != 0 || !errors.Is(status.StoreFault, syscall.EIO) {
		t.Errorf("%+v", status)
	}
	files.setFault(nil)
	eventually(t, "the stored version", allRunning([]*testRouter{alone}, 1))
	alone.Close()

	files.setFault(syscall.ENOSPC)
	empty, err := configstore.OpenWith(files, filepath.Join(t.TempDir(), "other.db"), 8)
	if empty == nil {
		t.Fatal(err)
	}
	defer empty.Close()
	r := startRouter(t, false, "r", 1, empty, addr)
	eventually(t, "the version", allRunning([]*testRouter{r}, 1))
	time.Sleep(100 * time.Millisecond)
	if st := s.Status().Routers[0]; st.Running != 0 {
		t.Errorf("acknowledged before it is stored: %+v", st)
	}
	files.setFault(nil)
	eventually(t, "its acknowledgement", func() bool { return s.Status().Routers[0].Running == 1 })
	if v, _, err := empty.Last(); err != nil || v.Number != 1 {
		t.Errorf("stored: %d, %v", v.Number, err)
	}
}

// A router that restarts begins with its last good version, without a service,
// and takes nothing older from one that comes back with its past.
func TestRouterRestart(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		path := filepath.Join(t.TempDir(), "good.db")
		store, err := configstore.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		r := startRouter(t, full, "r", 1, store, addr)
		s.PushUnchecked(settingsText(3, ""), true)
		eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
		past := m.get()
		s.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "version 2", allRunning([]*testRouter{r}, 2))
		r.Close()
		store.Close()
		s.Stop()
		if store, err = configstore.Open(path); err != nil {
			t.Fatal(err)
		}
		defer store.Close()
		r = startRouter(t, full, "r", 2, store, addr)
		if n, _ := r.Running(); n != 2 {
			t.Fatalf("after the restart: version %d", n)
		}
		s, _ = startServer(t, addr, &memoryStateStore{state: past}, 50)
		s.PushUnchecked(settingsText(5, ""), true) // it believes that this is number 2
		eventually(t, "the refusal", func() bool {
			st := s.Status().Routers
			return len(st) == 1 && st[0].Rejected == 2 && strings.Contains(strings.Join(st[0].Reasons, " "), "other content")
		})
		if n, _ := r.Running(); n != 2 {
			t.Errorf("runs %d", n)
		}
		s.PushUnchecked(settingsText(5, ""), true)
		eventually(t, "the next number", allRunning([]*testRouter{r}, 3))
	})
}

// Two services that disagree: whoever is in charge stays so while it is heard of,
// also when the stream of one of them breaks, and the routers don't flap.
func TestTwoServicesDisagree(t *testing.T) {
	a, addrA := startServer(t, "127.0.0.1:0", &memoryStateStore{}, 50)
	other := &memoryStateStore{}
	b := NewServer(ServerConfig{Name: "other", Store: other, TickInterval: 10 * time.Millisecond, StreamsPerSecond: 2000})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go b.Serve(ln)
	defer b.Stop()
	a.PushUnchecked(settingsText(3, ""), true)
	for i := range 20 {
		b.PushUnchecked(settingsText(5+i%2, ""), true)
	}
	lease := 3 * time.Second
	r := startRouterWith(t, AgentConfig{Router: "r", Services: []string{addrA, ln.Addr().String()}, HeartbeatInterval: 50 * time.Millisecond,
		Machine: configversion.MachineSettings{Jitter: 50, Lease: float64(lease.Milliseconds())}})
	eventually(t, "version 1 of the first", allRunning([]*testRouter{r}, 1))
	a.Stop()
	gone := time.Now()
	eventually(t, "the word of the other", func() bool { st := b.Status().Routers; return len(st) == 1 && st[0].Rejected == 20 })
	if n, _ := r.Running(); n != 1 {
		t.Errorf("flapped to %d while the first was silent for less than its lease", n)
	}
	if st := b.Status().Routers; !strings.Contains(strings.Join(st[0].Reasons, " "), "is in charge") {
		t.Errorf("the other is told %q", st[0].Reasons)
	}
	eventually(t, "the other in charge", allRunning([]*testRouter{r}, 20))
	if took := time.Since(gone); took < lease*9/10 {
		t.Errorf("the other was believed after %v", took)
	}
}

// A router that is killed between its word and its use runs what it gave its
// word on; one killed before it was on disk never gave it, and is offered it again.
func TestRouterKilledBetweenAcceptanceAndUse(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		s, addr := startServer(t, "127.0.0.1:0", &memoryStateStore{}, 50)
		dir := t.TempDir()
		path, before := filepath.Join(dir, "good.db"), filepath.Join(dir, "before.db")
		begin := func(path string, spread float64) (*testRouter, *configstore.Store) {
			store, err := configstore.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			return startRouterWith(t, AgentConfig{Router: "r", Services: []string{addr}, Store: store, StateOfTheWorld: full,
				Machine: configversion.MachineSettings{Jitter: spread}}), store
		}
		s.PushUnchecked(settingsText(3, ""), true)
		r, store := begin(path, 3.6e6)
		eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
		r.Close()
		store.Close()
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(before, b, 0o600)
		r, store = begin(path, 3.6e6)
		s.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "the word on version 2", func() bool { return s.Status().Routers[0].Running == 2 })
		if n, _ := r.Running(); n != 1 {
			t.Fatalf("version %d is in use before its time", n)
		}
		r.Close()
		store.Close()
		s.Stop()
		r, store = begin(path, 3.6e6)
		defer store.Close()
		if n, _ := r.Running(); n != 2 {
			t.Errorf("killed between disk and use: runs %d", n)
		}
		r.Close()
		s, _ = startServer(t, addr, &memoryStateStore{state: s.Status().State}, 50)
		r, store = begin(before, 50)
		defer store.Close()
		if n, _ := r.Running(); n != 1 {
			t.Errorf("killed before the disk: runs %d", n)
		}
		eventually(t, "version 2, offered again", allRunning([]*testRouter{r}, 2))
	})
}

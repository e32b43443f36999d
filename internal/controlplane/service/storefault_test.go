package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// While the service's disk can't be written, for longer than a rollout's answer
// timeout, during a push, a rollback or a halt: nothing is offered or acknowledged that
// is not persisted, streams and requests fail with a typed error, and the status has
// the cause and the start of the fault. The service recovers by itself, and a kill
// loses nothing that was acknowledged.
func TestServiceStoreFault(t *testing.T) {
	steps := map[string]string{"push": "/push", "push now": "/push?now", "rollback": "/rollback?to=1&now", "halt": "/halt"}
	for name, path := range steps {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
			for _, onlySync := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/only syncs fail %v", name, errno, onlySync), func(t *testing.T) {
					t.Parallel()
					testServiceStoreFault(t, path, &faultyFiles{onlySync: onlySync}, errno)
				})
			}
		}
	}
}

func testServiceStoreFault(t *testing.T, step string, files *faultyFiles, errno error) {
	var mu sync.Mutex
	var offered []int64
	path := filepath.Join(t.TempDir(), "svc.db")
	minStageTime := 20
	if step == "/halt" { // needs a rollout in progress
		minStageTime = 60000
	}
	service := startServiceOn(t, files, path, minStageTime, func(_ string, v configversion.Version) {
		mu.Lock()
		defer mu.Unlock()
		offered = append(offered, v.Number)
	})
	highest := func() int64 {
		mu.Lock()
		defer mu.Unlock()
		return slices.Max(offered)
	}
	text := func(n int) string { return string(settingsText(3, fmt.Sprintf("(limits (held %d))", n))) }
	mustPost := func(path, text string) {
		t.Helper()
		if code, b := adminRequest(t, service, "POST", path, text); code != http.StatusOK {
			t.Fatalf("%s: %d %s", path, code, b)
		}
	}
	router := startRouter(t, false, "r", 1, nil, service.Addr())
	waitFor(t, "the stream", func() bool { return len(service.View().Routers) == 1 })
	mustPost("/push?now", text(1))
	mustPost("/push?now", text(2))
	waitFor(t, "version 2", allRunning([]*testRouter{router}, 2))
	if step == "/halt" {
		mustPost("/push", text(3))
		waitFor(t, "version 3", allRunning([]*testRouter{router}, 3))
	}
	before, lastOffered := service.View(), highest()

	files.setFault(errno)
	code, answer := adminRequest(t, service, "POST", step, text(4))
	var result PushResult
	if err := json.Unmarshal(answer, &result); err != nil || code != http.StatusServiceUnavailable || result.Error == "" {
		t.Fatalf("%s while nothing can be persisted: %d %s, want %d and an error", step, code, answer, http.StatusServiceUnavailable)
	}
	if code, answer := adminRequest(t, service, "POST", "/push?now", text(4)); code != http.StatusServiceUnavailable {
		t.Errorf("push while nothing can be persisted: %d %s, want %d", code, answer, http.StatusServiceUnavailable)
	}
	var notPersisted *PersistError
	if err := service.Halt("x"); !errors.As(err, &notPersisted) || notPersisted.Queued || status.Code(err) != codes.Unavailable || !errors.Is(err, errno) {
		t.Errorf("halt while nothing can be persisted: %v, want a PersistError that is not queued, with code Unavailable and cause %v", err, errno)
	}
	other := startRouter(t, false, "other", 2, nil, service.Addr())
	time.Sleep(700 * time.Millisecond)
	if n, _ := other.Running(); n != 0 || highest() != lastOffered {
		t.Errorf("highest version offered before the fault: %d, during it: %d, want no other; the new router runs version %d, want none", lastOffered, highest(), n)
	}
	view := service.View()
	if view.StateFault == "" || view.StateFaultSince == "" || view.StateFaultMs < 600 || view.Base != before.Base || view.Next != before.Next || view.Last != before.Last {
		t.Errorf("status during the fault: %+v, want a state fault of at least 600 ms and the numbers of %+v", view, before)
	}
	copied, err := os.ReadFile(path) // the state after a kill
	if err != nil {
		t.Fatal(err)
	}

	files.setFault(nil)
	waitFor(t, "the service's recovery", func() bool { return service.View().StateFault == "" })
	service.mu.Lock()
	decided := service.rollout.State()
	service.mu.Unlock()
	if persisted, err := service.stateStore.load(); err != nil || persisted.LastNumber != decided.LastNumber || persisted.Base.Sum != decided.Base.Sum || persisted.Next.Sum != decided.Next.Sum {
		t.Errorf("%+v is persisted, %+v was decided: %v", persisted, decided, err)
	}
	waitFor(t, "the requested version on all routers", func() bool {
		v := service.View()
		return v.Next == 0 && v.Base > before.Base && allRunning([]*testRouter{router, other}, v.Base)()
	})
	if v := service.View(); v.Halted != "" && step != "/halt" {
		t.Errorf("halted because of missing answers to versions that were not sent: %s", v.Halted)
	}
	mustPost("/push?now", text(5))
	waitFor(t, "the newest version on all routers", func() bool { return allRunning([]*testRouter{router, other}, service.View().Base)() })
	checkAfterKill(t, copied, before)
}

// checkAfterKill checks that a service started with a copy of a store has everything
// that was acknowledged before.
func checkAfterKill(t *testing.T, copied []byte, before StatusView) {
	t.Helper()
	killed := filepath.Join(t.TempDir(), "svc.db")
	if err := os.WriteFile(killed, copied, 0o600); err != nil {
		t.Fatal(err)
	}
	restarted := startServiceOn(t, configstore.Disk{}, killed, 20, nil)
	if v := restarted.View(); v.Last < before.Last || v.Base < before.Base || v.Service != before.Service {
		t.Errorf("after a kill: status %+v, want no lower numbers and no other name than in %+v", v, before)
	}
	for number := int64(1); number <= before.Last; number++ {
		if v, _, err := restarted.store.Version(number); err != nil || v.Number != number {
			t.Errorf("after a kill: version %d is read as version %d: %v", number, v.Number, err)
		}
	}
}

// A service recovers by itself from a time in which its state could not be persisted,
// and the rollout's clock is paused meanwhile.
func TestServiceRecoversFromStoreFault(t *testing.T) {
	stateStore := &memoryStateStore{}
	server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
	router := startRouter(t, false, "r", 1, nil, addr)
	if _, err := server.PushUnchecked(settingsText(3, ""), true); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
	stateStore.setFault(syscall.ENOSPC)
	if _, err := server.PushUnchecked(settingsText(4, ""), true); err == nil {
		t.Error("a push was acknowledged that was not persisted")
	}
	rolloutTime := func() configversion.Millis {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.rolloutNow()
	}
	began := rolloutTime()
	time.Sleep(500 * time.Millisecond)
	stateStore.setFault(nil)
	waitFor(t, "the state to be persisted", func() bool { return server.Status().PersistError == nil })
	if passed := rolloutTime() - began; passed >= 500 {
		t.Errorf("the rollout's clock advanced by %v ms while nothing could be offered, want less than 500", passed)
	}
	waitFor(t, "a push that is persisted", func() bool { _, err := server.PushUnchecked(settingsText(5, ""), true); return err == nil })
	waitFor(t, "the newest version on the router", func() bool { n, _ := router.Running(); return n == stateStore.get().Base.Number })
}

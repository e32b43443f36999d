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

// A folder that takes no writes for a while, longer than the patience of a rollout,
// during a push, a rollback or a halt: nothing is offered or acknowledged that is not
// kept, streams and requests are refused with a typed error, status says since when
// and why, the service comes back by itself, and a kill loses nothing acknowledged.
func TestServiceStoreFault(t *testing.T) {
	steps := map[string]string{"push": "/push", "push now": "/push?now", "rollback": "/rollback?to=1&now", "halt": "/halt"}
	for name, path := range steps {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/synced %v", name, errno, !late), func(t *testing.T) {
					t.Parallel()
					testServiceStoreFault(t, path, &faultyFiles{onlySync: late}, errno)
				})
			}
		}
	}
}

func testServiceStoreFault(t *testing.T, step string, files *faultyFiles, errno error) {
	var mu sync.Mutex
	var offered []int64
	store := filepath.Join(t.TempDir(), "svc.db")
	hold := 20
	if step == "/halt" { // there has to be a rollout to stop
		hold = 60000
	}
	s := startServiceOn(t, files, store, hold, func(_ string, v configversion.Version) {
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
	ok := func(path, text string) {
		t.Helper()
		if code, b := adminRequest(t, s, "POST", path, text); code != http.StatusOK {
			t.Fatalf("%s: %d %s", path, code, b)
		}
	}
	r := startRouter(t, false, "r", 1, nil, s.Addr())
	eventually(t, "the stream", func() bool { return len(s.View().Routers) == 1 })
	ok("/push?now", text(1))
	ok("/push?now", text(2))
	eventually(t, "version 2", allRunning([]*testRouter{r}, 2))
	if step == "/halt" {
		ok("/push", text(3))
		eventually(t, "version 3", allRunning([]*testRouter{r}, 3))
	}
	before, last := s.View(), highest()

	files.setFault(errno)
	code, answer := adminRequest(t, s, "POST", step, text(4))
	var refused PushResult
	if err := json.Unmarshal(answer, &refused); err != nil || code != http.StatusServiceUnavailable || refused.Error == "" {
		t.Fatalf("%s: %d %s", step, code, answer)
	}
	if code, answer := adminRequest(t, s, "POST", "/push?now", text(4)); code != http.StatusServiceUnavailable {
		t.Errorf("pushed while nothing can be kept: %d %s", code, answer)
	}
	var unkept *PersistError
	if err := s.Halt("x"); !errors.As(err, &unkept) || unkept.Queued || status.Code(err) != codes.Unavailable || !errors.Is(err, errno) {
		t.Errorf("halted while nothing can be kept: %v", err)
	}
	other := startRouter(t, false, "other", 2, nil, s.Addr())
	time.Sleep(700 * time.Millisecond)
	if n, _ := other.Running(); n != 0 || highest() != last {
		t.Errorf("offered while nothing can be kept: %d, then %d; the new router runs %d", last, highest(), n)
	}
	view := s.View()
	if view.StateFault == "" || view.StateFaultSince == "" || view.StateFaultMs < 600 || view.Base != before.Base || view.Next != before.Next || view.Last != before.Last {
		t.Errorf("status says %+v, it was %+v", view, before)
	}
	copied, err := os.ReadFile(store) // as a kill would leave it
	if err != nil {
		t.Fatal(err)
	}

	files.setFault(nil)
	eventually(t, "the service", func() bool { return s.View().StateFault == "" })
	s.mu.Lock()
	says := s.rollout.State()
	s.mu.Unlock()
	if kept, err := s.stateStore.load(); err != nil || kept.LastNumber != says.LastNumber || kept.Base.Sum != says.Base.Sum || kept.Next.Sum != says.Next.Sum {
		t.Errorf("%+v is kept, %+v is said: %v", kept, says, err)
	}
	eventually(t, "what was asked for, everywhere", func() bool {
		v := s.View()
		return v.Next == 0 && v.Base > before.Base && allRunning([]*testRouter{r, other}, v.Base)()
	})
	if v := s.View(); v.Halted != "" && step != "/halt" {
		t.Errorf("halted for want of answers to what was not sent: %s", v.Halted)
	}
	ok("/push?now", text(5))
	eventually(t, "the newest everywhere", func() bool { return allRunning([]*testRouter{r, other}, s.View().Base)() })

	killed := filepath.Join(t.TempDir(), "svc.db")
	if err := os.WriteFile(killed, copied, 0o600); err != nil {
		t.Fatal(err)
	}
	anew := startServiceOn(t, configstore.Disk{}, killed, 20, nil)
	if v := anew.View(); v.Last < before.Last || v.Base < before.Base || v.Service != before.Service {
		t.Errorf("after a kill: %+v, %+v was acknowledged", v, before)
	}
	for number := int64(1); number <= before.Last; number++ {
		if v, _, err := anew.store.Version(number); err != nil || v.Number != number {
			t.Errorf("after a kill: version %d: %v", number, err)
		}
	}
}

// A service whose state could not be kept for a while comes back by itself.
func TestServiceRecoversFromStoreFault(t *testing.T) {
	m := &memoryStateStore{}
	s, addr := startServer(t, "127.0.0.1:0", m, 50)
	r := startRouter(t, false, "r", 1, nil, addr)
	if _, err := s.PushUnchecked(settingsText(3, ""), true); err != nil {
		t.Fatal(err)
	}
	eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
	m.setFault(syscall.ENOSPC)
	if _, err := s.PushUnchecked(settingsText(4, ""), true); err == nil {
		t.Error("acknowledged")
	}
	clock := func() configversion.Millis {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.rolloutNow()
	}
	began := clock()
	time.Sleep(500 * time.Millisecond)
	m.setFault(nil)
	eventually(t, "the state", func() bool { return s.Status().PersistError == nil })
	if stood := clock() - began; stood >= 500 {
		t.Errorf("%v ms of a rollout's patience have passed while nothing could be offered", stood)
	}
	eventually(t, "a push", func() bool { _, err := s.PushUnchecked(settingsText(5, ""), true); return err == nil })
	eventually(t, "the newest", func() bool { n, _ := r.Running(); return n == m.get().Base.Number })
}

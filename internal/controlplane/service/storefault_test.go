package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// setFault has saving fail from now on, or succeed again.
func (m *memoryStateStore) setFault(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// faultyFiles is a file system that takes no writes while it has an errno.
type faultyFiles struct {
	configstore.Disk
	mu        sync.Mutex
	fault     error
	onlySync  bool // only syncs fail: what was written may last, or not
	failReads bool // reads fail too
}

func (s *faultyFiles) setFault(errno error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = errno
}

func (s *faultyFiles) currentFault() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *faultyFiles) Read(file *os.File) ([]byte, error) {
	if err := s.currentFault(); err != nil && s.failReads {
		return nil, err
	}
	return s.Disk.Read(file)
}

func (s *faultyFiles) Write(file *os.File, content []byte) error {
	if err := s.currentFault(); err != nil {
		s.Disk.Write(file, content[:len(content)/2])
		return err
	}
	return s.Disk.Write(file, content)
}

func (s *faultyFiles) Commit(tx *bbolt.Tx) error {
	err := s.currentFault()
	switch {
	case err == nil || s.onlySync:
		return errors.Join(err, s.Disk.Commit(tx))
	default:
		tx.Rollback()
		return err
	}
}

func startServiceOn(t *testing.T, files configstore.FileSystem, store string, hold int, sent func(string, configversion.Version)) *Service {
	t.Helper()
	var set Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen "127.0.0.1:0") (admin "127.0.0.1:0") (store %q) (keep 20))
		(rollout (hold %d) (patience 400))`, store, hold), &set); err != nil {
		t.Fatal(err)
	}
	s, err := StartWithFiles(files, &set, zap.NewNop(), sent)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

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

// A folder's content that could not be kept is offered once it can.
func TestFolderDuringStoreFault(t *testing.T) {
	dir := t.TempDir()
	set := filepath.Join(dir, "set")
	os.Mkdir(set, 0o755)
	files := &faultyFiles{}
	s := startServiceOn(t, files, filepath.Join(dir, "svc.db"), 20, nil)
	s.settings.Service.Folder = set
	if err := os.WriteFile(filepath.Join(set, "a.edn"), settingsText(3, ""), 0o644); err != nil {
		t.Fatal(err)
	}
	files.setFault(syscall.ENOSPC)
	if _, err := s.PushUnchecked(settingsText(4, ""), true); err == nil {
		t.Fatal("acknowledged")
	}
	if again := s.offerFolder(); again >= folderPollInterval {
		t.Errorf("looked at again after %v", again)
	}
	files.setFault(nil)
	eventually(t, "the service", func() bool { return s.View().StateFault == "" })
	s.offerFolder()
	if v := s.View(); v.Last != 2 {
		t.Errorf("the folder's content was not offered: %+v", v)
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

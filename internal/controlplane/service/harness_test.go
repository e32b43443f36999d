package service

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

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

func settingsText(boxes int, extra string) []byte {
	var text strings.Builder
	text.WriteString(`(router (zone z) (of 400)) (zone z (routers 4)) (class c) (route "/c/{object}" (class c))` + "\n" + extra + "\n")
	for i := range boxes {
		fmt.Fprintf(&text, "(member b%d (zone z) (address \"127.0.0.1:%d\"))\n", i, 9000+i)
	}
	return []byte(text.String())
}

// canonical is the same as a service makes it of what is offered.
func canonical(t testing.TB, boxes int, extra string) []byte {
	b, reasons := Validate([]config.Source{{File: "test", Text: string(settingsText(boxes, extra))}}, nil, NoLimits())
	if len(reasons) > 0 {
		t.Fatal(reasons)
	}
	return b
}

// memoryStateStore keeps a service's state over its restarts.
type memoryStateStore struct {
	mu    sync.Mutex
	state rollout.State
	err   error
}

func (m *memoryStateStore) Save(s rollout.State) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.state = s
	}
	return m.err
}

func (m *memoryStateStore) get() rollout.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// setFault has saving fail from now on, or succeed again.
func (m *memoryStateStore) setFault(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

func startServer(t testing.TB, addr string, store *memoryStateStore, hold float64) (*Server, string) {
	var listener net.Listener
	var err error
	for range 100 { // the address of an earlier life may take a moment to be free
		if listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Name: "svc", State: store.get(), Store: store, TickInterval: 10 * time.Millisecond, StreamsPerSecond: 2000,
		Rollout: rollout.Settings{MinStageTime: hold, AnswerTimeout: 5000}})
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return server, listener.Addr().String()
}

// bothProtocols runs a test by both protocols.
func bothProtocols(t *testing.T, f func(t *testing.T, full bool)) {
	t.Run("full", func(t *testing.T) { f(t, true) })
	t.Run("delta", func(t *testing.T) { f(t, false) })
}

type testRouter struct {
	*Agent
	uses     atomic.Int64
	mu       sync.Mutex
	warnings []string
}

func startRouter(t testing.TB, full bool, name string, seed uint64, store *configstore.Store, services ...string) *testRouter {
	return startRouterWith(t, AgentConfig{Router: name, Services: services, Seed: seed, Store: store, StateOfTheWorld: full, Machine: configversion.MachineSettings{Jitter: 50}})
}

// startRouterWith is startRouter with more said.
func startRouterWith(t testing.TB, config AgentConfig) *testRouter {
	router := &testRouter{}
	config.Backoff = 20 * time.Millisecond
	if config.DialOptions == nil {
		config.DialOptions = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	}
	config.Use = func(configversion.Activate) { router.uses.Add(1) }
	config.Warn = func(s string) { router.mu.Lock(); router.warnings = append(router.warnings, s); router.mu.Unlock() }
	router.Agent = StartAgent(config)
	t.Cleanup(router.Close)
	return router
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("waited in vain for %s", what)
}

func allRunning(routers []*testRouter, number int64) func() bool {
	return func() bool {
		for _, r := range routers {
			if n, _ := r.Running(); n != number {
				return false
			}
		}
		return true
	}
}

func (r *testRouter) acceptedVersion() configversion.Version {
	r.Agent.mu.Lock()
	defer r.Agent.mu.Unlock()
	return r.machine.Accepted()
}

func (r *testRouter) streaming() bool {
	r.Agent.mu.Lock()
	defer r.Agent.mu.Unlock()
	return r.replies != nil
}

func (r *testRouter) warned(what string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.warnings {
		if strings.Contains(s, what) {
			return true
		}
	}
	return false
}

func startService(dir, extra string, log *zap.Logger) (*Service, error) {
	var s Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen "127.0.0.1:0") (admin "127.0.0.1:0") (store %q) (keep 5) %s)
		(rollout (hold 50))`, filepath.Join(dir, "svc.db"), extra), &s); err != nil {
		return nil, err
	}
	return Start(&s, log, nil)
}

func adminRequest(t *testing.T, s *Service, method, path, text string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.AdminAddr()+path, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, b
}

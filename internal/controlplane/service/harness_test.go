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

// faultyFiles is a file system whose writes fail while a fault is set.
type faultyFiles struct {
	configstore.Disk
	mu        sync.Mutex
	fault     error
	onlySync  bool // writes succeed but syncs fail, so that data may or may not be on disk
	failReads bool // reads fail too
}

// setFault makes writes fail from now on or, with nil, succeed again.
func (f *faultyFiles) setFault(fault error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *faultyFiles) currentFault() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

func (f *faultyFiles) Read(file *os.File) ([]byte, error) {
	if err := f.currentFault(); err != nil && f.failReads {
		return nil, err
	}
	return f.Disk.Read(file)
}

func (f *faultyFiles) Write(file *os.File, content []byte) error {
	if err := f.currentFault(); err != nil {
		f.Disk.Write(file, content[:len(content)/2])
		return err
	}
	return f.Disk.Write(file, content)
}

func (f *faultyFiles) Commit(tx *bbolt.Tx) error {
	err := f.currentFault()
	switch {
	case err == nil || f.onlySync:
		return errors.Join(err, f.Disk.Commit(tx))
	default:
		tx.Rollback()
		return err
	}
}

// startServiceOn starts a service with a minimum stage time in ms.
func startServiceOn(t *testing.T, files configstore.FileSystem, store string, minStageTime int, onSend func(string, configversion.Version)) *Service {
	t.Helper()
	var settings Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen "127.0.0.1:0") (admin "127.0.0.1:0") (store %q) (keep 20))
		(rollout (hold %d) (patience 400))`, store, minStageTime), &settings); err != nil {
		t.Fatal(err)
	}
	service, err := StartWithFiles(files, &settings, zap.NewNop(), onSend)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	return service
}

// settingsText returns settings with the given number of caches, and extra sections.
func settingsText(caches int, extra string) []byte {
	var text strings.Builder
	text.WriteString(`(router (zone z) (of 400)) (zone z (routers 4)) (class c) (route "/c/{object}" (class c))` + "\n" + extra + "\n")
	for i := range caches {
		fmt.Fprintf(&text, "(member b%d (zone z) (address \"127.0.0.1:%d\"))\n", i, 9000+i)
	}
	return []byte(text.String())
}

// canonical returns the canonical text of settingsText.
func canonical(t testing.TB, caches int, extra string) []byte {
	text, reasons := Validate([]config.Source{{File: "test", Text: string(settingsText(caches, extra))}}, nil, NoLimits())
	if len(reasons) > 0 {
		t.Fatal(reasons)
	}
	return text
}

// memoryStateStore keeps a service's state in memory, across restarts of the service.
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

// setFault makes saving fail from now on or, with nil, succeed again.
func (m *memoryStateStore) setFault(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// startServer starts a server at an address, with a minimum stage time in ms, and returns it
// and its address.
func startServer(t testing.TB, addr string, store *memoryStateStore, minStageTime float64) (*Server, string) {
	var listener net.Listener
	var err error
	for range 100 { // the address of an earlier server may take a moment to be free
		listener, err = net.Listen("tcp", addr)
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Name: "svc", State: store.get(), Store: store, TickInterval: 10 * time.Millisecond, StreamsPerSecond: 2000,
		Rollout: rollout.Settings{MinStageTime: minStageTime, AnswerTimeout: 5000}})
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return server, listener.Addr().String()
}

// bothProtocols runs a test with each protocol; full is true for the state-of-the-world one.
func bothProtocols(t *testing.T, f func(t *testing.T, full bool)) {
	t.Run("full", func(t *testing.T) { f(t, true) })
	t.Run("delta", func(t *testing.T) { f(t, false) })
}

// testRouter is an agent that records its warnings and counts its activations.
type testRouter struct {
	*Agent
	activations atomic.Int64
	mu          sync.Mutex
	warnings    []string
}

// startRouter starts an agent with a name, a seed, a store (nil: none) and the addresses of
// its services. full selects the state-of-the-world protocol.
func startRouter(t testing.TB, full bool, name string, seed uint64, store *configstore.Store, services ...string) *testRouter {
	return startRouterWith(t, AgentConfig{Router: name, Services: services, Seed: seed, Store: store, StateOfTheWorld: full, Machine: configversion.MachineSettings{Jitter: 50}})
}

// startRouterWith is like startRouter, with a configuration that it completes.
func startRouterWith(t testing.TB, cfg AgentConfig) *testRouter {
	router := &testRouter{}
	cfg.Backoff = 20 * time.Millisecond
	if cfg.DialOptions == nil {
		cfg.DialOptions = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	}
	cfg.OnActivate = func(configversion.Activate) { router.activations.Add(1) }
	cfg.Warn = router.warn
	router.Agent = StartAgent(cfg)
	t.Cleanup(router.Close)
	return router
}

// waitFor waits up to 15 s for a condition.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout waiting for %s", what)
}

// allRunning returns a condition that is true once all routers run the given version.
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

func (r *testRouter) warn(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warnings = append(r.warnings, text)
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
	for _, warning := range r.warnings {
		if strings.Contains(warning, what) {
			return true
		}
	}
	return false
}

// startService starts a service with its store in a folder, and extra settings.
func startService(dir, extra string, log *zap.Logger) (*Service, error) {
	var settings Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen "127.0.0.1:0") (admin "127.0.0.1:0") (store %q) (keep 5) %s)
		(rollout (hold 50))`, filepath.Join(dir, "svc.db"), extra), &settings); err != nil {
		return nil, err
	}
	return Start(&settings, log, nil)
}

// adminRequest sends an operator's request, and returns the status and body of the
// response.
func adminRequest(t *testing.T, service *Service, method, path, text string) (int, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+service.AdminAddr()+path, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, body
}

package control

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"indigospool/internal/fleet"
	"indigospool/internal/lastgood"
)

func body(boxes int, extra string) []byte {
	var b strings.Builder
	b.WriteString(`(router (zone z) (of 400)) (zone z (routers 4)) (class c) (route "/c/{object}" (class c))` + "\n" + extra + "\n")
	for i := range boxes {
		fmt.Fprintf(&b, "(member b%d (zone z) (address \"127.0.0.1:%d\"))\n", i, 9000+i)
	}
	return []byte(b.String())
}

// memory keeps a service's state over its restarts.
type memory struct {
	mu    sync.Mutex
	state fleet.RolloutState
	err   error
}

func (m *memory) Save(s fleet.RolloutState) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.state = s
	}
	return m.err
}

func serve(t testing.TB, addr string, m *memory, hold float64) (*Server, string) {
	var ln net.Listener
	var err error
	for range 100 { // the address of an earlier life may take a moment to be free
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerConfig{Name: "svc", State: m.state, Keep: m, Tick: 10 * time.Millisecond, PerSecond: 2000,
		Rollout: fleet.RolloutSettings{Hold: hold, Patience: 5000}})
	go s.Serve(ln)
	t.Cleanup(s.Stop)
	return s, ln.Addr().String()
}

type router struct {
	*Agent
	uses atomic.Int64
	mu   sync.Mutex
	said []string
}

func follow(t testing.TB, name string, seed uint64, store *lastgood.Store, services ...string) *router {
	r := &router{}
	r.Agent = StartAgent(AgentConfig{Router: name, Services: services, Seed: seed, Store: store, Backoff: 20 * time.Millisecond,
		Fleet: fleet.Settings{Spread: 50}, Dial: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
		Use:  func(fleet.Use) { r.uses.Add(1) },
		Warn: func(s string) { r.mu.Lock(); r.said = append(r.said, s); r.mu.Unlock() }})
	t.Cleanup(r.Close)
	return r
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

func all(routers []*router, number int64) func() bool {
	return func() bool {
		for _, r := range routers {
			if n, _ := r.Running(); n != number {
				return false
			}
		}
		return true
	}
}

// Good, bad and repeated versions; then the service stops, and comes back.
func TestVersionsOverTheStream(t *testing.T) {
	m := &memory{}
	s, addr := serve(t, "127.0.0.1:0", m, 100)
	var routers []*router
	for i := range 8 {
		routers = append(routers, follow(t, fmt.Sprint("r", i), uint64(i), nil, addr))
	}
	eventually(t, "the streams", func() bool { return len(s.Status().Routers) == 8 })
	if n, err := s.Push(body(3, ""), false); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	eventually(t, "the first version everywhere", all(routers, 1))
	s.Push(body(4, ""), false)
	eventually(t, "the second by stages", all(routers, 2))
	s.Push(body(3, "(zone y (routers 1))"), false) // a zone with routers and without a cache
	eventually(t, "the halt", func() bool { return m.state.Halted != "" })
	if !strings.Contains(m.state.Halted, "1 of 1 routers refuse it") || !strings.Contains(m.state.Halted, "zone/y: no cache is listed there") {
		t.Errorf("halted: %q", m.state.Halted)
	}
	eventually(t, "the old content under a new number", all(routers, 4))
	refused := 0
	for _, r := range s.Status().Routers {
		if r.Refused == 3 {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d routers were offered the bad version", refused)
	}
	s.Stop()
	time.Sleep(100 * time.Millisecond)
	if !all(routers, 4)() {
		t.Error("the last good version does not run on without its service")
	}
	s, _ = serve(t, addr, m, 100)
	eventually(t, "the streams again", func() bool { return len(s.Status().Routers) == 8 })
	s.Push(body(5, ""), true)
	eventually(t, "the fleet to be level", all(routers, 5))
	for _, r := range routers {
		if n := r.uses.Load(); n != 4 {
			t.Errorf("%d versions were used, want 4: 1, 2, 4 and 5", n)
		}
	}
}

// A router that restarts begins with its last good version, without a service,
// and takes nothing older from one that comes back with its past.
func TestRouterRestarts(t *testing.T) {
	m := &memory{}
	s, addr := serve(t, "127.0.0.1:0", m, 50)
	path := filepath.Join(t.TempDir(), "good.db")
	store, err := lastgood.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	r := follow(t, "r", 1, store, addr)
	s.Push(body(3, ""), true)
	eventually(t, "version 1", all([]*router{r}, 1))
	past := m.state
	s.Push(body(4, ""), true)
	eventually(t, "version 2", all([]*router{r}, 2))
	r.Close()
	store.Close()
	s.Stop()
	if store, err = lastgood.Open(path); err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	r = follow(t, "r", 2, store, addr)
	if n, _ := r.Running(); n != 2 {
		t.Fatalf("after the restart: version %d", n)
	}
	s, _ = serve(t, addr, &memory{state: past}, 50)
	s.Push(body(5, ""), true) // it believes that this is number 2
	eventually(t, "the refusal", func() bool {
		st := s.Status().Routers
		return len(st) == 1 && st[0].Refused == 2 && strings.Contains(strings.Join(st[0].Reasons, " "), "other content")
	})
	if n, _ := r.Running(); n != 2 {
		t.Errorf("runs %d", n)
	}
	s.Push(body(5, ""), true)
	eventually(t, "the next number", all([]*router{r}, 3))
}

// A service whose state can't be kept offers nothing that it could forget.
func TestStateCannotBeKept(t *testing.T) {
	m := &memory{err: errors.New("no space left")}
	s, addr := serve(t, "127.0.0.1:0", m, 50)
	r := follow(t, "r", 1, nil, addr)
	eventually(t, "the stream", func() bool { return len(s.Status().Routers) == 1 })
	if _, err := s.Push(body(3, ""), true); err == nil || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("push: %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	if n, _ := r.Running(); n != 0 {
		t.Errorf("version %d was offered", n)
	}
}

// A version of 5 MB comes through; of two services the first one is followed.
func TestLargeVersionAndSecondService(t *testing.T) {
	m := &memory{}
	s, addr := serve(t, "127.0.0.1:0", m, 50)
	r := follow(t, "r", 1, nil, "127.0.0.1:1", addr)
	s.Push(body(3, "; "+strings.Repeat("x", 5<<20)), true)
	eventually(t, "5 MB by the second service", all([]*router{r}, 1))
}

// Many routers come back at once to a service that takes few streams a second.
func TestReconnectingFleet(t *testing.T) {
	m := &memory{}
	s, addr := serve(t, "127.0.0.1:0", m, 50)
	s.Push(body(3, ""), true)
	var routers []*router
	for i := range 60 {
		routers = append(routers, follow(t, fmt.Sprint("r", i), uint64(i), nil, addr))
	}
	eventually(t, "all on version 1", all(routers, 1))
	s.Stop()
	ln, err := net.Listen("tcp", addr)
	for err != nil {
		time.Sleep(20 * time.Millisecond)
		ln, err = net.Listen("tcp", addr)
	}
	slow := NewServer(ServerConfig{Name: "svc", State: m.state, Keep: m, PerSecond: 30, Tick: 10 * time.Millisecond})
	go slow.Serve(ln)
	defer slow.Stop()
	slow.Push(body(4, ""), true)
	eventually(t, "the fleet level again", all(routers, 2))
}

package service

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"pgregory.net/rapid"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

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

// Good, bad and repeated versions; then the service stops, and comes back.
func TestVersionsByStages(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 100)
		var routers []*testRouter
		for i := range 8 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		eventually(t, "the streams", func() bool { return len(s.Status().Routers) == 8 })
		if n, err := s.PushUnchecked(settingsText(3, ""), false); n != 1 || err != nil {
			t.Fatal(n, err)
		}
		eventually(t, "the first version everywhere", allRunning(routers, 1))
		s.PushUnchecked(settingsText(4, ""), false)
		eventually(t, "the second by stages", allRunning(routers, 2))
		s.PushUnchecked(settingsText(3, "(zone y (routers 1))"), false) // a zone with routers and without a cache
		eventually(t, "the halt", func() bool { return m.get().HaltReason != "" })
		if !strings.Contains(m.get().HaltReason, "1 of 1 routers refuse it") || !strings.Contains(m.get().HaltReason, "zone/y: no cache is listed there") {
			t.Errorf("halted: %q", m.get().HaltReason)
		}
		eventually(t, "the old content under a new number", allRunning(routers, 4))
		refused := 0
		for _, r := range s.Status().Routers {
			if r.Rejected == 3 {
				refused++
			}
		}
		if refused != 1 {
			t.Errorf("%d routers were offered the bad version", refused)
		}
		s.Stop()
		time.Sleep(100 * time.Millisecond)
		if !allRunning(routers, 4)() {
			t.Error("the last good version does not run on without its service")
		}
		s, _ = startServer(t, addr, m, 100)
		eventually(t, "the streams again", func() bool { return len(s.Status().Routers) == 8 })
		s.PushUnchecked(settingsText(5, ""), true)
		eventually(t, "the fleet to be level", allRunning(routers, 5))
		for _, r := range routers {
			if n := r.uses.Load(); n != 4 {
				t.Errorf("%d versions were used, want 4: 1, 2, 4 and 5", n)
			}
		}
	})
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

// A service whose state can't be kept offers nothing that it could forget.
func TestNothingIsOfferedWhenStateIsNotPersisted(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{err: errors.New("no space left")}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		r := startRouter(t, full, "r", 1, nil, addr)
		eventually(t, "the stream", func() bool { return len(s.Status().Routers) == 1 })
		if _, err := s.PushUnchecked(settingsText(3, ""), true); err == nil || !strings.Contains(err.Error(), "no space left") {
			t.Errorf("push: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
		if n, _ := r.Running(); n != 0 {
			t.Errorf("version %d was offered", n)
		}
	})
}

// A version of 5 MB comes through; of two services the first one is followed.
func TestLargeVersionAndSecondService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		r := startRouter(t, full, "r", 1, nil, "127.0.0.1:1", addr)
		s.PushUnchecked(settingsText(3, "; "+strings.Repeat("x", 5<<20)), true)
		eventually(t, "5 MB by the second service", allRunning([]*testRouter{r}, 1))
	})
}

// Many routers come back at once to a service that takes few streams a second.
func TestReconnectingFleet(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		s.PushUnchecked(settingsText(3, ""), true)
		var routers []*testRouter
		for i := range 60 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		eventually(t, "all on version 1", allRunning(routers, 1))
		s.Stop()
		ln, err := net.Listen("tcp", addr)
		for err != nil {
			time.Sleep(20 * time.Millisecond)
			ln, err = net.Listen("tcp", addr)
		}
		slow := NewServer(ServerConfig{Name: "svc", State: m.get(), Store: m, StreamsPerSecond: 30, TickInterval: 10 * time.Millisecond})
		go slow.Serve(ln)
		defer slow.Stop()
		slow.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "the fleet level again", allRunning(routers, 2))
	})
}

// byteCounter counts the bytes of what a service sends.
type byteCounter struct {
	stats.Handler
	sent atomic.Int64
}

func (c *byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (c *byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (c *byteCounter) HandleConn(context.Context, stats.ConnStats)                       {}
func (c *byteCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	if p, ok := s.(*stats.OutPayload); ok {
		c.sent.Add(int64(p.WireLength))
	}
}

// By the incremental protocol a change of one member costs about that member,
// also after a reconnect, and what arrives is the version to the byte.
func TestDeltaSendsOnlyChanges(t *testing.T) {
	m, c := &memoryStateStore{}, &byteCounter{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerConfig{Name: "svc", Store: m, StreamsPerSecond: 2000}, grpc.StatsHandler(c))
	go s.Serve(ln)
	defer s.Stop()
	r := startRouter(t, false, "r", 1, nil, ln.Addr().String())
	first, second := canonical(t, 300, ""), canonical(t, 301, "")
	s.PushUnchecked(first, true)
	eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
	whole := c.sent.Swap(0)
	if whole < int64(len(first)) {
		t.Fatalf("%d bytes were sent of a version of %d", whole, len(first))
	}
	s.PushUnchecked(second, true)
	eventually(t, "version 2", allRunning([]*testRouter{r}, 2))
	if n := c.sent.Swap(0); n > 400 {
		t.Errorf("one more member took %d bytes; the whole takes %d", n, len(second))
	}
	if v := r.acceptedVersion(); string(v.Body) != string(second) {
		t.Errorf("%d bytes arrived of %d", len(v.Body), len(second))
	}
	s.mu.Lock()
	for _, st := range s.streams {
		st.cancel(errors.New("cut by the test"))
	}
	s.mu.Unlock()
	eventually(t, "the stream again", func() bool { st := s.Status().Routers; return len(st) == 1 && st[0].Connected && r.streaming() })
	s.PushUnchecked(canonical(t, 300, ""), true)
	eventually(t, "version 3", allRunning([]*testRouter{r}, 3))
	if n := c.sent.Swap(0); n > 800 {
		t.Errorf("after a reconnect, one member less took %d bytes", n)
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

// Where the two sides disagree about what a router has, the checksum tells, and
// the whole is sent.
func TestDeltaStateMismatch(t *testing.T) {
	m := &memoryStateStore{}
	s, addr := startServer(t, "127.0.0.1:0", m, 50)
	r := startRouter(t, false, "r", 1, nil, addr)
	s.PushUnchecked(canonical(t, 30, ""), true)
	eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
	s.PushUnchecked(canonical(t, 31, ""), true)
	eventually(t, "version 2", allRunning([]*testRouter{r}, 2))
	bad := &mismatchedServer{first: canonical(t, 31, ""), next: configversion.New(3, canonical(t, 32, ""))}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(g, bad)
	go g.Serve(ln)
	defer g.Stop()
	r = startRouter(t, false, "r", 1, nil, ln.Addr().String())
	eventually(t, "the whole, in the second stream", allRunning([]*testRouter{r}, 3))
	if n := bad.streams.Load(); n != 2 {
		t.Errorf("%d streams, want 2", n)
	}
}

// mismatchedServer first takes a router to have what it has not.
type mismatchedServer struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	first   []byte
	next    configversion.Version
	streams atomic.Int64
}

func (m *mismatchedServer) DeltaAggregatedResources(g grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]) error {
	p := &deltaServerStream{stream: g, snapshots: &snapshotCache{}}
	if _, err := p.hello(); err != nil {
		return err
	}
	if m.streams.Add(1) == 1 {
		if err := p.send(configversion.New(2, m.first), "bad"); err != nil {
			return err
		}
		if _, _, err := p.recv(); err != nil {
			return err
		}
		p.acceptedVersions = maps.Clone(p.accepted.versions)
		p.acceptedVersions["member/b31"] = pieceVersion(splitPieces(m.next.Body)["member/b31"]) // which the router was never sent
		p.accepted = nil
	}
	if err := p.send(m.next, "bad"); err != nil {
		return err
	}
	_, _, err := p.recv()
	<-g.Context().Done()
	return err
}

// However settings change, pieces put together are the text to the byte, and the
// pieces that differ lead from one text to the other.
func TestSplitAndJoinPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []byte {
			if rapid.IntRange(0, 9).Draw(t, name+" is no settings") == 0 {
				return rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, name)
			}
			var s config.Settings
			if err := config.ReadVersion("x", string(settingsText(1, "")), nil, &s); err != nil {
				t.Fatal(err)
			}
			s.Members = nil
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 12, rapid.ID).Draw(t, name) {
				id := fmt.Sprint("b", i)
				if rapid.IntRange(0, 5).Draw(t, "odd id") == 0 {
					id = fmt.Sprint(i, rapid.SampledFrom([]string{" a", ")", "\"", "(", "\n(x", "ä"}).Draw(t, "id"))
				}
				s.Members = append(s.Members, config.Member{ID: id, Zone: "z", Kind: "box", Address: "127.0.0.1:1", State: "serving",
					Size: float64(rapid.IntRange(1, 3).Draw(t, "size"))})
			}
			return Canonical(&s)
		}
		a, b := draw("a"), draw("b")
		pa, pb := splitPieces(a), splitPieces(b)
		if string(joinPieces(pa)) != string(a) || string(joinPieces(pb)) != string(b) {
			t.Fatalf("%q came back as %q", a, joinPieces(pa))
		}
		has := maps.Clone(pa)
		for name, text := range pb {
			if pieceVersion(has[name]) != pieceVersion(text) {
				has[name] = text
			}
		}
		for name := range pa {
			if _, is := pb[name]; !is {
				delete(has, name)
			}
		}
		if string(joinPieces(has)) != string(b) {
			t.Fatalf("from\n%q to\n%q came\n%q", a, b, joinPieces(has))
		}
	})
}

// A change of one member in canonical settings is one piece.
func TestOneMemberIsOnePiece(t *testing.T) {
	a, b := splitPieces(canonical(t, 12, "")), splitPieces(canonical(t, 13, ""))
	if len(a) < 12 || len(b) != len(a)+1 {
		t.Fatalf("%d and %d pieces", len(a), len(b))
	}
	for name := range a {
		if a[name] != b[name] {
			t.Errorf("piece %s differs", name)
		}
	}
}

// A version that never ends is bounded by the size of a message, and the router
// goes on with what it has; the service may be slow, and is followed all the same.
func TestOversizedVersionAndSlowService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		r := startRouter(t, full, "r", 1, nil, addr)
		s.PushUnchecked(settingsText(3, ""), true)
		eventually(t, "version 1", allRunning([]*testRouter{r}, 1))
		s.PushUnchecked(settingsText(3, "; "+strings.Repeat("x", 33<<20)), true)
		eventually(t, "the turn-down", func() bool { return r.warned("larger than max") })
		if n, _ := r.Running(); n != 1 {
			t.Fatalf("runs %d", n)
		}
		s.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "the next", allRunning([]*testRouter{r}, 3))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go relaySlowly(ln, addr)
		slow := startRouter(t, full, "slow", 2, nil, ln.Addr().String())
		eventually(t, "a version that drips", allRunning([]*testRouter{slow}, 3))
	})
}

// relaySlowly passes bytes on a few at a time.
func relaySlowly(ln net.Listener, to string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		u, err := net.Dial("tcp", to)
		if err != nil {
			c.Close()
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
		go pass(c, u)
		go pass(u, c)
	}
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

// A service that comes and goes every moment: the routers neither lose what they
// run nor take anything twice.
func TestFlappingService(t *testing.T) {
	bothProtocols(t, func(t *testing.T, full bool) {
		m := &memoryStateStore{}
		s, addr := startServer(t, "127.0.0.1:0", m, 50)
		var routers []*testRouter
		for i := range 5 {
			routers = append(routers, startRouter(t, full, fmt.Sprint("r", i), uint64(i), nil, addr))
		}
		s.PushUnchecked(settingsText(3, ""), true)
		eventually(t, "version 1", allRunning(routers, 1))
		for i := range 8 {
			s.Stop()
			time.Sleep(20 * time.Millisecond)
			if !allRunning(routers, 1)() {
				t.Fatalf("flap %d: not all run version 1", i)
			}
			s, _ = startServer(t, addr, m, 50)
			time.Sleep(30 * time.Millisecond)
		}
		for _, r := range routers {
			if n := r.uses.Load(); n != 1 {
				t.Errorf("version 1 was used %d times", n)
			}
		}
		s.PushUnchecked(settingsText(4, ""), true)
		eventually(t, "version 2", allRunning(routers, 2))
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

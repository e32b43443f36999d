package service

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"testing"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"indigospool/internal/controlplane/configversion"
)

// byteCounter counts the bytes of what a service sends.
type byteCounter struct {
	stats.Handler
	sent atomic.Int64
}

func (c *byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (c *byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (c *byteCounter) HandleConn(context.Context, stats.ConnStats) {}

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

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

// byteCounter counts the bytes that a service sends.
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

// In the incremental protocol, a change of one member sends about the size of that member,
// also after a reconnect, and the received version is identical to the pushed one.
func TestDeltaSendsOnlyChanges(t *testing.T) {
	stateStore, sent := &memoryStateStore{}, &byteCounter{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Name: "svc", Store: stateStore, StreamsPerSecond: 2000}, grpc.StatsHandler(sent))
	go server.Serve(listener)
	defer server.Stop()
	router := startRouter(t, false, "r", 1, nil, listener.Addr().String())
	first, second := canonical(t, 300, ""), canonical(t, 301, "")
	server.PushUnchecked(first, true)
	waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
	complete := sent.sent.Swap(0)
	if complete < int64(len(first)) {
		t.Fatalf("only %d bytes were sent for the first version of %d bytes, want at least as many", complete, len(first))
	}
	server.PushUnchecked(second, true)
	waitFor(t, "version 2", allRunning([]*testRouter{router}, 2))
	if n := sent.sent.Swap(0); n > 400 {
		t.Errorf("adding a member sent %d bytes, want at most 400; the complete settings have %d", n, len(second))
	}
	if v := router.acceptedVersion(); string(v.Body) != string(second) {
		t.Errorf("received settings of %d bytes, want the pushed settings of %d bytes", len(v.Body), len(second))
	}
	server.mu.Lock()
	for _, status := range server.streams {
		status.cancel(errors.New("stream closed by the test"))
	}
	server.mu.Unlock()
	waitFor(t, "the new stream", func() bool {
		status := server.Status().Routers
		return len(status) == 1 && status[0].Connected && router.streaming()
	})
	server.PushUnchecked(canonical(t, 300, ""), true)
	waitFor(t, "version 3", allRunning([]*testRouter{router}, 3))
	if n := sent.sent.Swap(0); n > 800 {
		t.Errorf("after a reconnect, removing a member sent %d bytes, want at most 800", n)
	}
}

// If the two sides disagree about which pieces the router has accepted, the checksum does not
// match, and the complete settings are sent on a second stream.
func TestDeltaStateMismatch(t *testing.T) {
	stateStore := &memoryStateStore{}
	server, addr := startServer(t, "127.0.0.1:0", stateStore, 50)
	router := startRouter(t, false, "r", 1, nil, addr)
	server.PushUnchecked(canonical(t, 30, ""), true)
	waitFor(t, "version 1", allRunning([]*testRouter{router}, 1))
	server.PushUnchecked(canonical(t, 31, ""), true)
	waitFor(t, "version 2", allRunning([]*testRouter{router}, 2))
	mismatched := &mismatchedServer{first: canonical(t, 31, ""), next: configversion.New(3, canonical(t, 32, ""))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	grpcServer := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(grpcServer, mismatched)
	go grpcServer.Serve(listener)
	defer grpcServer.Stop()
	router = startRouter(t, false, "r", 1, nil, listener.Addr().String())
	waitFor(t, "the complete settings on the second stream", allRunning([]*testRouter{router}, 3))
	if n := mismatched.streams.Load(); n != 2 {
		t.Errorf("the router opened %d streams, want 2", n)
	}
}

// mismatchedServer is a service that on the first stream assumes that the router has a
// piece that it was never sent.
type mismatchedServer struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	first   []byte
	next    configversion.Version
	streams atomic.Int64
}

func (m *mismatchedServer) DeltaAggregatedResources(stream grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]) error {
	peer := &deltaServerStream{stream: stream, snapshots: &snapshotCache{}}
	if _, err := peer.hello(); err != nil {
		return err
	}
	if m.streams.Add(1) == 1 {
		if err := peer.send(configversion.New(2, m.first), "bad"); err != nil {
			return err
		}
		if _, _, err := peer.recv(); err != nil {
			return err
		}
		peer.acceptedVersions = maps.Clone(peer.accepted.versions)
		peer.acceptedVersions["member/b31"] = pieceVersion(splitPieces(m.next.Body)["member/b31"]) // never sent to the router
		peer.accepted = nil
	}
	if err := peer.send(m.next, "bad"); err != nil {
		return err
	}
	_, _, err := peer.recv()
	<-stream.Context().Done()
	return err
}

package service

import (
	"context"
	"errors"
	"io"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

// serverStream is the service's end of a stream to one router, in either protocol. One
// goroutine sends, another receives.
type serverStream interface {
	// hello receives the stream's first request.
	hello() (helloRequest, error)
	// send sends a version in the name of a service.
	send(v configversion.Version, service string) error
	// recv receives the next reply. known is false if it has a stale or unknown nonce.
	recv() (reply routerReply, known bool, err error)
}

// helloRequest is the content of a stream's first request.
type helloRequest struct {
	router   string
	accepted int64 // number of the version that the router has accepted; 0: none
}

// routerReply is a router's ACK or NACK of a version.
type routerReply struct {
	number  int64
	reasons []string // of a NACK; nil: an ACK
}

// routerStream is an open stream in the server's table.
type routerStream struct {
	router   string
	versions chan configversion.Version // capacity 1: a newer version replaces an unsent one
	cancel   context.CancelCauseFunc
}

// offer queues a version for sending. It replaces a version that was not sent yet. The
// caller must hold the server's lock, so that there is only one sender.
func (r *routerStream) offer(v configversion.Version) {
	select {
	case <-r.versions: // remove the unsent version
	default:
	}
	r.versions <- v
}

var errStreamReplaced = errors.New("control: the router has opened another stream")

// maxAdmissionDelay is the longest time that a new stream waits for admission. Instead
// of waiting longer, a router should try another service or come back later.
const maxAdmissionDelay = 2 * time.Second

// admitStream limits the rate of new streams: it waits until the stream may be
// admitted, or returns an error that makes the router come back later.
func (s *Server) admitStream(ctx context.Context) error {
	wait, err := s.reserveAdmission(time.Now())
	if err != nil {
		return err
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) reserveAdmission(now time.Time) (wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextStreamAt.Before(now) {
		s.nextStreamAt = now
	}
	wait = s.nextStreamAt.Sub(now)
	if wait > maxAdmissionDelay || len(s.streams) >= s.cfg.MaxStreams {
		return 0, status.Error(codes.ResourceExhausted, "control: too many new or open streams; retry later")
	}
	s.nextStreamAt = s.nextStreamAt.Add(time.Duration(float64(time.Second) / s.cfg.StreamsPerSecond))
	return wait, nil
}

// StreamAggregatedResources serves a router's stream in the state-of-the-world
// protocol.
func (s *Server) StreamAggregatedResources(stream grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]) error {
	return s.serveStream(stream.Context(), &sotwServerStream{stream: stream, snapshots: &s.snapshots})
}

// DeltaAggregatedResources serves a router's stream in the incremental protocol.
func (s *Server) DeltaAggregatedResources(stream grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]) error {
	return s.serveStream(stream.Context(), &deltaServerStream{stream: stream, snapshots: &s.snapshots})
}

// serveStream serves a router's stream until it ends.
func (s *Server) serveStream(ctx context.Context, peer serverStream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first, err := peer.hello()
	if err != nil {
		return err
	}
	if err := checkCertificateName(ctx, first.router); err != nil {
		s.mu.Lock()
		s.recordEvent("%v", err)
		s.mu.Unlock()
		return err
	}
	if err := s.admitStream(ctx); err != nil {
		return err
	}
	stream := &routerStream{router: first.router, versions: make(chan configversion.Version, 1), cancel: cancel}
	if err := s.addStream(stream, first.accepted); err != nil {
		return err
	}
	defer s.removeStream(stream)
	// The group's first error cancels its context. Waiting for the group would deadlock:
	// gRPC unblocks its calls to send and recv only when this function returns.
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.sendVersions(ctx, stream, peer) })
	group.Go(func() error { return s.receiveReplies(stream.router, peer) })
	<-ctx.Done()
	if err := context.Cause(ctx); err != io.EOF {
		return err
	}
	return nil
}

// addStream registers a stream and cancels the router's previous one. If the state
// can't be persisted, the error is a *PersistError.
func (s *Server) addStream(stream *routerStream, accepted int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.persistError(false); err != nil {
		return err
	}
	if old := s.streams[stream.router]; old != nil {
		old.cancel(errStreamReplaced)
	}
	s.streams[stream.router] = stream
	s.handleLocked(rollout.Connected{Router: stream.router, Running: accepted})
	return nil
}

// removeStream unregisters a stream that has ended, unless another one has replaced it.
func (s *Server) removeStream(stream *routerStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[stream.router] != stream {
		return
	}
	delete(s.streams, stream.router)
	s.handleLocked(rollout.Disconnected{Router: stream.router})
}

// sendVersions sends the versions offered to a router, until the context ends.
func (s *Server) sendVersions(ctx context.Context, stream *routerStream, peer serverStream) error {
	for {
		select {
		case version := <-stream.versions:
			if s.cfg.OnSend != nil {
				s.cfg.OnSend(stream.router, version)
			}
			if err := peer.send(version, s.cfg.Name); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiveReplies passes a router's replies to the rollout, until the stream ends.
func (s *Server) receiveReplies(router string, peer serverStream) error {
	for {
		reply, known, err := peer.recv()
		switch {
		case err != nil:
			return err
		case !known: // stale or unknown nonce: ignored, as xDS requires
		case reply.reasons != nil:
			s.handle(rollout.Nacked{Router: router, Number: reply.number, Reasons: reply.reasons})
		default:
			s.handle(rollout.Acked{Router: router, Number: reply.number})
		}
	}
}

package service

import (
	"context"
	"errors"
	"fmt"
	"indigospool/internal/controlplane/configversion"
	"math/rand/v2"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// clientStream is the router's end of a stream to a service, in either protocol. One
// goroutine receives, another sends replies.
type clientStream interface {
	// hello sends the stream's first request. accepted is the number of the version that
	// the router has accepted; 0: none.
	hello(router string, accepted int64) error
	// recv receives the next version. A response that can't be decoded is no error: the
	// result's fault says why, and the router rejects it.
	recv() (offeredVersion, error)
	// reply sends an ACK or a NACK.
	reply(r reply) error
}

// offeredVersion is a version as received by a router.
type offeredVersion struct {
	service string // name and epoch; may be empty
	version configversion.Version
	nonce   string
	fault   error // why the version can't be decoded
}

// reply is an ACK or a NACK of a version, to be sent on the stream.
type reply struct {
	nonce            string
	number, accepted int64                  // the version's number, and the highest acknowledged one
	reasons          []configversion.Reason // of a NACK; none: an ACK
}

// maxReplies is how many replies may wait to be sent. The agent leaves a service that
// reads its replies more slowly.
const maxReplies = 16

// maxBackoffFactor is the ratio of the longest reconnect delay to AgentConfig.Backoff.
const maxBackoffFactor = 64

var (
	// errReoffer closes a stream so that its service offers its version again.
	errReoffer       = errors.New("control: the service in charge is silent; reconnecting to this one")
	errSilent        = errors.New("no version received within the silence timeout")
	errRepliesUnread = errors.New("the service does not read replies")
)

// reply queues an ACK or, with reasons, a NACK on the current stream. The stream of a
// service that reads no replies is closed.
func (a *Agent) reply(number int64, reasons []configversion.Reason) {
	if a.replies == nil {
		return
	}
	select {
	case a.replies <- reply{a.nonces[number], number, a.acknowledgedNumber(), reasons}:
	default:
		close(a.replies)
		a.replies = nil
	}
}

// followServices keeps a stream open until the agent is closed. The delays between
// attempts double and are randomized by the seed, so that a fleet that lost its service
// does not reconnect all at once.
func (a *Agent) followServices() {
	random := rand.New(rand.NewPCG(a.cfg.Seed, 0xa9e7))
	backoff := a.cfg.Backoff
	next := 0
	for a.ctx.Err() == nil {
		address := a.cfg.Services[next%len(a.cfg.Services)]
		received, service, err := a.follow(address)
		if a.ctx.Err() != nil {
			return
		}
		if service != "" {
			a.handle(configversion.Disconnected{Service: service})
		}
		if received > 0 {
			backoff = a.cfg.Backoff // and try the same service first
		} else {
			next++
		}
		a.mu.Lock()
		a.requestComplete = errors.Is(err, errStateMismatch)
		a.streamState = fmt.Sprintf("lost %s: %v", address, err)
		a.mu.Unlock()
		a.cfg.Warn(fmt.Sprintf("stream of control service %s ended: %v", address, err))
		select {
		case <-time.After(time.Duration(float64(backoff) * (0.5 + random.Float64()))):
		case <-a.ctx.Done():
		}
		backoff = min(2*backoff, maxBackoffFactor*a.cfg.Backoff)
	}
}

// follow follows one service until its stream ends. It returns the number of versions
// received, the service's name and the cause of the end.
func (a *Agent) follow(address string) (received int, service string, err error) {
	conn, err := a.dial(address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(a.ctx)
	group, ctx := errgroup.WithContext(ctx)
	defer group.Wait() // runs after cancel
	defer cancel(nil)
	silence := time.AfterFunc(a.cfg.SilenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	stream, err := a.openStream(ctx, conn)
	if err != nil {
		return 0, "", err
	}
	replies := make(chan reply, maxReplies)
	accepted := a.attach(replies, cancel)
	defer a.detach()
	if err := stream.hello(a.cfg.Router, accepted); err != nil {
		return 0, "", err
	}
	group.Go(func() error { return sendReplies(ctx, stream, replies) })
	for {
		offered, err := stream.recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return received, service, err
		}
		silence.Stop()
		received++
		if service == "" {
			service = offered.service
			if service == "" {
				service = address
			}
			a.mu.Lock()
			a.streamState, a.streamService = "following "+address, service
			a.mu.Unlock()
			group.Go(func() error { return a.sendHeartbeats(ctx, service) })
			if a.cfg.LoadCounts != nil {
				// not in the group: LoadCounts may wait for a router that waits for this agent
				go a.runLoadReports(ctx, conn, address)
			}
		}
		a.handleOffer(service, offered)
	}
}

func (a *Agent) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient(address, append([]grpc.DialOption{
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(a.cfg.MaxBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
	}, a.cfg.DialOptions...)...)
}

// openStream opens a stream in the configured protocol.
func (a *Agent) openStream(ctx context.Context, conn *grpc.ClientConn) (clientStream, error) {
	client := discovery.NewAggregatedDiscoveryServiceClient(conn)
	if a.cfg.StateOfTheWorld {
		stream, err := client.StreamAggregatedResources(ctx)
		return &sotwClientStream{stream: stream}, err
	}
	stream, err := client.DeltaAggregatedResources(ctx)
	delta := &deltaClientStream{stream: stream}
	a.mu.Lock()
	defer a.mu.Unlock()
	if version := a.machine.Accepted(); version.Number > 0 && !a.requestComplete {
		delta.accepted = splitPieces(version.Body)
	}
	return delta, err
}

// attach makes a stream the current one, and returns the version number for its first
// request.
func (a *Agent) attach(replies chan reply, cancel context.CancelCauseFunc) (accepted int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nonces = map[int64]string{}
	a.replies = replies
	a.cancelStream = cancel
	a.streamService = ""
	return a.acknowledgedNumber()
}

func (a *Agent) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replies, a.cancelStream = nil, nil
}

// handleOffer passes an offered version to the machine, or rejects a version that could
// not be decoded.
func (a *Agent) handleOffer(service string, offered offeredVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	number := offered.version.Number
	a.nonces[number] = offered.nonce
	if offered.fault != nil {
		a.reply(number, []configversion.Reason{{What: offered.fault.Error(), Remedy: "send resources of the expected type, with version number:checksum"}})
		return
	}
	a.handleLocked(configversion.Offered{Service: service, Version: offered.version})
}

// sendReplies sends replies on the stream, until the context ends.
func sendReplies(ctx context.Context, stream clientStream, replies <-chan reply) error {
	for {
		select {
		case r, open := <-replies:
			if !open {
				return errRepliesUnread
			}
			if err := stream.reply(r); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendHeartbeats reports the open stream as a sign of life of its service until the
// context ends: gRPC keepalive closes the stream of a service that does not answer
// pings.
func (a *Agent) sendHeartbeats(ctx context.Context, service string) error {
	ticker := time.NewTicker(a.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.handle(configversion.Heartbeat{Service: service})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runLoadReports reports load until the context ends or reporting fails.
func (a *Agent) runLoadReports(ctx context.Context, conn *grpc.ClientConn, address string) {
	err := a.reportLoad(ctx, conn)
	if err != nil && ctx.Err() == nil {
		a.cfg.Warn(fmt.Sprintf("load reports to %s ended: %v", address, err))
	}
}

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

// clientStream is a service's stream as an agent sees it, by either protocol. One
// goroutine receives, another replies.
type clientStream interface {
	hello(router string, accepted int64) error
	recv() (offeredVersion, error)
	reply(r reply) error
}

// offeredVersion is a version as a router receives it, and where it can't be read, why.
type offeredVersion struct {
	service string // its name and epoch; may be empty
	version configversion.Version
	nonce   string
	fault   error
}

// reply is an ACK or a NACK of a version, to be written to the stream.
type reply struct {
	nonce            string
	number, accepted int64                  // the version's number, and the highest that was acknowledged
	reasons          []configversion.Reason // none: an ACK
}

// maxReplies is how many replies wait for a stream. A service that leaves more unread
// is not followed any longer.
const maxReplies = 16

// maxBackoffFactor is how many times AgentConfig.Backoff the longest delay is.
const maxBackoffFactor = 64

var (
	// errReoffer ends a stream so that its service offers its version again.
	errReoffer       = errors.New("control: the service in charge is silent; this one is asked again")
	errSilent        = errors.New("the service said nothing")
	errRepliesUnread = errors.New("the service takes no answers")
)

// reply has a version acknowledged on the present stream, or rejected with every
// reason. A service that reads no replies is left.
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

// followServices keeps a stream until the agent is closed, with delays between attempts
// that double, each by chance of the seed: a fleet that lost its service does not come
// back at once.
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
			backoff = a.cfg.Backoff // and the one that spoke is called again first
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

// follow follows one service until its stream ends, and returns how many versions
// came, from whom, and why the stream ended.
func (a *Agent) follow(address string) (received int, service string, err error) {
	conn, err := a.dial(address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(a.ctx)
	group, ctx := errgroup.WithContext(ctx)
	defer group.Wait() // after the cancel
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
				// not in the group: its count may wait for a router that waits for this agent
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

// openStream opens a stream by the protocol of the settings.
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

// attach makes a stream the present one, and returns the number that its first request
// names.
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

// handleOffer passes an offered version to the machine, or rejects one that can't be
// read.
func (a *Agent) handleOffer(service string, offered offeredVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	number := offered.version.Number
	a.nonces[number] = offered.nonce
	if offered.fault != nil {
		a.reply(number, []configversion.Reason{{What: offered.fault.Error(), Remedy: "send resources of the type, with number:sum"}})
		return
	}
	a.handleLocked(configversion.Offered{Service: service, Version: offered.version})
}

// sendReplies writes replies to the stream, until the context ends.
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

// sendHeartbeats counts an open stream as a sign of life of its service, since the
// connection answers pings, until the context ends.
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
		a.cfg.Warn(fmt.Sprintf("service is not reported to %s: %v", address, err))
	}
}

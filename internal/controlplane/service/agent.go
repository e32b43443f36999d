package service

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// AgentConfig is what a router's agent is. Zero fields mean the defaults.
type AgentConfig struct {
	Router            string
	Services          []string // addresses; the first that answers is followed, the others are for when it is gone
	Machine           configversion.MachineSettings
	Seed              uint64
	Store             *configstore.Store    // nil: nothing is kept
	Initial           configversion.Version // to begin with where nothing is stored; Number 0: none
	Deferred          bool                  // no service is called until Connect
	Backoff           time.Duration         // first wait before a service is called again; doubles to 64 times; default 250 ms
	SilenceTimeout    time.Duration         // a stream that begins and says nothing is left after so long; default 30 s
	HeartbeatInterval time.Duration         // how often an open stream counts as a sign of life; default 5 s
	DialOptions       []grpc.DialOption
	StateOfTheWorld   bool                       // state of the world, instead of what differs
	MaxBytes          int                        // of a message; default 32 MB
	StoreTimeout      time.Duration              // a version that can't be stored for so long is refused; default 30 s
	ReportInterval    time.Duration              // how often service is reported, at most
	LoadCounts        func() (LoadCounts, error) // what is reported; nil: nothing

	Use  func(configversion.Activate) // a version is to be run; called from the agent's goroutine
	Warn func(text string)            // for the operator
}

// Agent follows control services for one router.
type Agent struct {
	cfg     AgentConfig
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu              sync.Mutex
	machine         *configversion.Machine
	cancelStream    context.CancelCauseFunc // ends the present stream
	streamService   string                  // the service at its other end
	replies         chan reply              // of the present stream; nil: there is none
	nonces          map[int64]string        // of versions offered on it
	requestComplete bool                    // the next stream asks for everything
	streamState     string                  // of the stream, for status
	wakeTimer       *time.Timer
	started         time.Time
	connectOnce     sync.Once

	storeFailed chan struct{}         // a version could not be stored
	pending     *pendingVersion       // nil: there is none
	unstored    configversion.Version // used without being stored, since there was none to run; Number 0: none
	restoring   bool                  // the last good version could not be read yet
}

// reply is an answer to a version, to be written to the stream.
type reply struct {
	nonce            string
	number, accepted int64
	reasons          []configversion.Reason
}

// errReoffer ends a stream so that its service offers its version again.
var errReoffer = errors.New("control: the service in charge is silent; this one is asked again")

// StartAgent begins: the last good version first, then the services.
func StartAgent(cfg AgentConfig) *Agent {
	if cfg.Backoff <= 0 {
		cfg.Backoff = 250 * time.Millisecond
	}
	if cfg.SilenceTimeout <= 0 {
		cfg.SilenceTimeout = 30 * time.Second
	}
	if cfg.HeartbeatInterval <= 0 {
		cfg.HeartbeatInterval = 5 * time.Second
	}
	if cfg.StoreTimeout <= 0 {
		cfg.StoreTimeout = 30 * time.Second
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = 32 << 20
	}
	if cfg.Warn == nil {
		cfg.Warn = func(string) {}
	}
	agent := &Agent{cfg: cfg, machine: configversion.NewMachine(cfg.Machine, cfg.Seed), started: time.Now(), streamState: "not connected",
		storeFailed: make(chan struct{}, 1)}
	agent.ctx, agent.cancel = context.WithCancel(context.Background())
	agent.restore()
	if cfg.Store != nil {
		agent.workers.Add(1)
		go agent.retryStoreLoop()
	}
	if !cfg.Deferred {
		agent.Connect()
	}
	return agent
}

// Connect has an agent that was held call its services.
func (a *Agent) Connect() {
	a.connectOnce.Do(func() {
		a.workers.Add(1)
		go a.run()
	})
}

// Accepted is the newest version that passed the checks and is kept.
func (a *Agent) Accepted() configversion.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Accepted()
}

// Close ends the agent; what it ran stays as it is.
func (a *Agent) Close() {
	a.cancel()
	a.workers.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wakeTimer != nil {
		a.wakeTimer.Stop()
	}
}

// Running is the number of the version in use, and the remembered versions.
func (a *Agent) Running() (int64, []configversion.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Running(), a.machine.Records()
}

// AgentStatus is what an agent knows, for operators.
type AgentStatus struct {
	Running, Accepted int64
	Service           string // in charge
	StreamState       string // state of the stream
	Age               configversion.Millis
	Versions          []configversion.Record
	NotStored         int64     // number of a version that could not be stored yet; 0: none
	StoreFault        error     // why the store can't be read or written for now; nil: it can
	StoreFaultSince   time.Time // since when
}

// Status tells what runs, who is in charge, how old the word on it is, and what
// became of the last versions.
func (a *Agent) Status() AgentStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	machine := a.machine
	status := AgentStatus{Running: machine.Running(), Accepted: a.acknowledgedNumber(), Service: machine.LeaseHolder(), StreamState: a.streamState, Age: machine.Age(a.now()),
		Versions: machine.Records(), NotStored: a.unstored.Number}
	if a.pending != nil {
		status.NotStored = a.pending.version.Number
	}
	if a.cfg.Store != nil {
		status.StoreFaultSince, status.StoreFault = a.cfg.Store.Fault()
	}
	return status
}

func (a *Agent) now() configversion.Millis {
	return float64(time.Since(a.started).Microseconds()) / 1000
}

// handle gives the machine an event and carries out its actions. Storing waits
// for the disk, which is why the agent is not on the loop.
func (a *Agent) handle(event configversion.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handleLocked(event)
}

func (a *Agent) handleLocked(queue ...configversion.Event) {
	for len(queue) > 0 {
		event := queue[0]
		queue = queue[1:]
		for _, action := range a.machine.Handle(a.now(), event, nil) {
			switch action := action.(type) {
			case configversion.Store:
				queue = append(queue, a.storeVersion(action.Version)...)
			case configversion.Ack:
				a.acknowledge(action.Number)
			case configversion.Nack:
				a.reply(action.Number, action.Reasons)
			case configversion.Activate:
				a.cfg.Use(action)
			case configversion.Warn:
				a.cfg.Warn(action.Text)
			case configversion.RequestOffer:
				if a.cancelStream != nil && a.streamService == action.Service {
					a.cancelStream(errReoffer)
				}
			case configversion.Wake:
				if a.wakeTimer == nil {
					a.wakeTimer = time.AfterFunc(0, func() { a.handle(configversion.Tick{}) })
				}
				a.wakeTimer.Reset(time.Duration(action.After*float64(time.Millisecond)) + time.Millisecond)
			}
		}
	}
}

// reply acknowledges a version on the present stream, or refuses it with every
// reason. A service that takes no answers is left.
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

// run keeps a stream, with waits between tries that double, each by chance of
// the seed: a fleet that lost its service does not come back at once.
func (a *Agent) run() {
	defer a.workers.Done()
	rng := rand.New(rand.NewPCG(a.cfg.Seed, 0xa9e7))
	backoff := a.cfg.Backoff
	for i := 0; a.ctx.Err() == nil; i++ {
		address := a.cfg.Services[i%len(a.cfg.Services)]
		received, service, err := a.follow(address)
		if a.ctx.Err() != nil {
			return
		}
		if service != "" {
			a.handle(configversion.Disconnected{Service: service})
		}
		if received > 0 {
			backoff = a.cfg.Backoff
			i-- // the one that spoke is called again first
		}
		a.mu.Lock()
		a.requestComplete = errors.Is(err, errStateMismatch)
		a.streamState = fmt.Sprintf("lost %s: %v", address, err)
		a.mu.Unlock()
		a.cfg.Warn(fmt.Sprintf("stream of control service %s ended: %v", address, err))
		select {
		case <-time.After(time.Duration(float64(backoff) * (0.5 + rng.Float64()))):
		case <-a.ctx.Done():
		}
		backoff = min(2*backoff, 64*a.cfg.Backoff)
	}
}

// openStream begins a stream by the protocol of the settings.
func (a *Agent) openStream(ctx context.Context, conn *grpc.ClientConn) (clientStream, error) {
	c := discovery.NewAggregatedDiscoveryServiceClient(conn)
	if a.cfg.StateOfTheWorld {
		g, err := c.StreamAggregatedResources(ctx)
		return &sotwClientStream{stream: g}, err
	}
	g, err := c.DeltaAggregatedResources(ctx)
	l := &deltaClientStream{stream: g}
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.machine.Accepted(); v.Number > 0 && !a.requestComplete {
		l.accepted = splitPieces(v.Body)
	}
	return l, err
}

// follow follows one service until its stream ends, and says how many versions
// came and from whom.
func (a *Agent) follow(address string) (received int, service string, err error) {
	conn, err := grpc.NewClient(address, append([]grpc.DialOption{
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(a.cfg.MaxBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
	}, a.cfg.DialOptions...)...)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(a.ctx)
	defer cancel(nil)
	silent := time.AfterFunc(a.cfg.SilenceTimeout, func() { cancel(errors.New("the service said nothing")) })
	defer silent.Stop()
	stream, err := a.openStream(ctx, conn)
	if err != nil {
		return 0, "", err
	}
	replies := make(chan reply, 16)
	a.mu.Lock()
	accepted := a.acknowledgedNumber()
	a.nonces, a.replies, a.cancelStream, a.streamService = map[int64]string{}, replies, cancel, ""
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.replies, a.cancelStream = nil, nil
		a.mu.Unlock()
	}()
	if err := stream.hello(a.cfg.Router, accepted); err != nil {
		return 0, "", err
	}
	go func() {
		for {
			select {
			case r, open := <-replies:
				err := errors.New("the service takes no answers")
				if open {
					err = stream.reply(r.nonce, r.number, r.accepted, r.reasons)
				}
				if err != nil {
					cancel(err)
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		offered, err := stream.recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return received, service, err
		}
		silent.Stop()
		if received++; service == "" {
			if service = offered.service; service == "" {
				service = address
			}
			a.mu.Lock()
			a.streamState, a.streamService = "following "+address, service
			a.mu.Unlock()
			go a.reportStreamAlive(ctx, service)
			if a.cfg.LoadCounts != nil {
				go func() {
					if err := a.reportLoad(ctx, conn); err != nil && ctx.Err() == nil {
						a.cfg.Warn(fmt.Sprintf("service is not reported to %s: %v", address, err))
					}
				}()
			}
		}
		a.mu.Lock()
		a.nonces[offered.version.Number] = offered.nonce
		if offered.fault != nil {
			a.reply(offered.version.Number, []configversion.Reason{{What: offered.fault.Error(), Remedy: "send resources of the type, with number:sum"}})
		}
		a.mu.Unlock()
		if offered.fault == nil {
			a.handle(configversion.Offered{Service: service, Version: offered.version})
		}
	}
}

// reportStreamAlive counts an open stream as a sign of life: the connection answers pings.
func (a *Agent) reportStreamAlive(ctx context.Context, service string) {
	ticker := time.NewTicker(a.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.handle(configversion.Heartbeat{Service: service})
		case <-ctx.Done():
			return
		}
	}
}

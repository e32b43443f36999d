package service

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// AgentConfig configures an Agent. Zero fields are set to the defaults.
type AgentConfig struct {
	// Router is the router's id.
	Router string
	// Services are the addresses of at least one service. The agent follows the first one
	// that answers, and falls back to the others.
	Services []string
	// Machine configures the state machine that decides about versions.
	Machine configversion.MachineSettings
	// Seed is the seed of the reconnect delays and of the machine.
	Seed uint64
	// Store is where versions are stored on disk; nil: nothing is stored.
	Store *configstore.Store
	// Initial is the version to run if none is stored or can be read; Number 0: none.
	Initial configversion.Version
	// Deferred delays connecting to a service until Connect is called.
	Deferred bool
	// Backoff is the initial delay between connection attempts. It doubles up to
	// maxBackoffFactor times this value. Default 250 ms.
	Backoff time.Duration
	// SilenceTimeout is how long a new stream may take to deliver its first version.
	// Default 30 s.
	SilenceTimeout time.Duration
	// HeartbeatInterval is the interval at which an open stream counts as a sign of life of
	// its service. Default 5 s.
	HeartbeatInterval time.Duration
	// DialOptions are gRPC options such as credentials.
	DialOptions []grpc.DialOption
	// StateOfTheWorld selects the state-of-the-world protocol instead of the incremental one.
	StateOfTheWorld bool
	// MaxBytes limits the size of a message. Default 32 MiB.
	MaxBytes int
	// StoreTimeout is how long storing a version is retried before the version is rejected.
	// Default 30 s.
	StoreTimeout time.Duration
	// ReportInterval is the minimum interval of load reports.
	ReportInterval time.Duration
	// LoadCounts returns the request counts to report; nil: nothing is reported. It may
	// block.
	LoadCounts func() (LoadCounts, error)

	// OnActivate is called with each version to run, in order, from one of the agent's
	// goroutines. It must not call the agent.
	OnActivate func(configversion.Activate)
	// Warn is called with messages for operators; may be nil.
	Warn func(text string)
}

func (c AgentConfig) withDefaults() AgentConfig {
	if c.Backoff <= 0 {
		c.Backoff = 250 * time.Millisecond
	}
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = 30 * time.Second
	}
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = 5 * time.Second
	}
	if c.StoreTimeout <= 0 {
		c.StoreTimeout = 30 * time.Second
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = 32 << 20
	}
	if c.Warn == nil {
		c.Warn = func(string) {}
	}
	return c
}

// Agent follows control services for one router. Its methods may be called from any
// goroutine, but not from AgentConfig.OnActivate.
type Agent struct {
	cfg         AgentConfig
	started     time.Time // origin of the machine's clock
	ctx         context.Context
	cancel      context.CancelFunc
	workers     sync.WaitGroup
	connectOnce sync.Once
	storeFailed chan struct{} // capacity 1; signals that a version could not be stored

	mu              sync.Mutex
	machine         *configversion.Machine
	wakeTimer       *time.Timer             // for the machine's last Wake; nil: there was none
	streamState     string                  // for status
	streamService   string                  // the service at the other end of the current stream
	cancelStream    context.CancelCauseFunc // cancels the current stream; nil: there is none
	replies         chan reply              // of the current stream; nil: there is none
	nonces          map[int64]string        // of versions offered on the current stream, by number
	requestComplete bool                    // the next stream requests the complete settings
	pending         *pendingVersion         // passed the checks, not stored yet; nil: there is none
	unstored        configversion.Version   // runs without being stored, since no other version was available; Number 0: none
	restoring       bool                    // the last good version could not be read yet
}

// StartAgent starts an agent. It first runs the last good version and then follows the
// services.
func StartAgent(cfg AgentConfig) *Agent {
	a := &Agent{
		cfg:         cfg.withDefaults(),
		machine:     configversion.NewMachine(cfg.Machine, cfg.Seed),
		started:     time.Now(),
		streamState: "not connected",
		storeFailed: make(chan struct{}, 1),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.restore()
	if cfg.Store != nil {
		a.workers.Go(a.retryStoreLoop)
	}
	if !cfg.Deferred {
		a.Connect()
	}
	return a
}

// Connect makes a deferred agent connect to its services.
func (a *Agent) Connect() {
	a.connectOnce.Do(func() { a.workers.Go(a.followServices) })
}

// Accepted returns the newest version that passed the checks and was stored.
func (a *Agent) Accepted() configversion.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Accepted()
}

// Close stops the agent and waits for its goroutines. The router keeps its running
// version.
func (a *Agent) Close() {
	a.cancel()
	a.workers.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wakeTimer != nil {
		a.wakeTimer.Stop()
	}
}

// Running returns the number of the running version, and the remembered versions.
func (a *Agent) Running() (int64, []configversion.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Running(), a.machine.Records()
}

// AgentStatus is the status of an agent, for operators.
type AgentStatus struct {
	Running, Accepted int64  // numbers of versions; 0: none
	Service           string // the service that is followed; empty: none
	StreamState       string
	Age               configversion.Millis // time since the running version was last known to be the newest
	Versions          []configversion.Record
	NotStored         int64     // number of a version that could not be stored yet; 0: none
	StoreFault        error     // why the store can't be read or written; nil: it can
	StoreFaultSince   time.Time // start of StoreFault
}

// Status returns the running version and its age, the service that is followed, and the
// remembered versions.
func (a *Agent) Status() AgentStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := AgentStatus{
		Running:     a.machine.Running(),
		Accepted:    a.acknowledgedNumber(),
		Service:     a.machine.LeaseHolder(),
		StreamState: a.streamState,
		Age:         a.machine.Age(a.now()),
		Versions:    a.machine.Records(),
		NotStored:   a.unstored.Number,
	}
	if a.pending != nil {
		status.NotStored = a.pending.version.Number
	}
	if a.cfg.Store != nil {
		status.StoreFaultSince, status.StoreFault = a.cfg.Store.Fault()
	}
	return status
}

// now returns the time of the machine's clock.
func (a *Agent) now() configversion.Millis { return millisSince(a.started) }

// handle passes an event to the machine and executes its actions. Storing a version
// blocks on disk I/O, which is why the agent does not run on the router's event loop.
func (a *Agent) handle(event configversion.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handleLocked(event)
}

// handleLocked handles events and the events that result from their actions.
func (a *Agent) handleLocked(events ...configversion.Event) {
	for len(events) > 0 {
		event := events[0]
		events = events[1:]
		for _, action := range a.machine.Handle(a.now(), event, nil) {
			events = append(events, a.execute(action)...)
		}
	}
}

// execute executes an action and returns the resulting events.
func (a *Agent) execute(action configversion.Action) []configversion.Event {
	switch action := action.(type) {
	case configversion.Store:
		return a.storeVersion(action.Version)
	case configversion.Ack:
		a.acknowledge(action.Number)
	case configversion.Nack:
		a.reply(action.Number, action.Reasons)
	case configversion.Activate:
		a.cfg.OnActivate(action)
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
	return nil
}

package service

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// AgentConfig is what an Agent is made of. Zero fields mean the defaults.
type AgentConfig struct {
	// Router is the router's id, under which services know it.
	Router string
	// Services are addresses, at least one: the first that answers is followed, the others
	// are for when it is gone.
	Services []string
	// Machine has the figures of the machine that decides about versions.
	Machine configversion.MachineSettings
	// Seed is what delays between attempts and the machine's chances come from.
	Seed uint64
	// Store has versions on disk; nil: nothing is stored.
	Store *configstore.Store
	// Initial is the version to begin with where nothing is stored; Number 0: none.
	Initial configversion.Version
	// Deferred has the agent call no service until Connect.
	Deferred bool
	// Backoff is the first delay before a service is called again; it doubles to
	// maxBackoffFactor times. Default 250 ms.
	Backoff time.Duration
	// SilenceTimeout ends a stream that begins and says nothing. Default 30 s.
	SilenceTimeout time.Duration
	// HeartbeatInterval is how often an open stream counts as a sign of life of its
	// service. Default 5 s.
	HeartbeatInterval time.Duration
	// DialOptions are gRPC's, as credentials.
	DialOptions []grpc.DialOption
	// StateOfTheWorld selects that protocol in place of the incremental one.
	StateOfTheWorld bool
	// MaxBytes bounds a message. Default 32 MB.
	MaxBytes int
	// StoreTimeout has a version rejected that can't be stored for so long. Default 30 s.
	StoreTimeout time.Duration
	// ReportInterval is the shortest time between load reports.
	ReportInterval time.Duration
	// LoadCounts counts the requests to be reported; nil: nothing is reported. It may
	// block.
	LoadCounts func() (LoadCounts, error)

	// OnActivate is called for a version that is to be run, from one of the agent's goroutines
	// and in order. It must not call the agent.
	OnActivate func(configversion.Activate)
	// Warn is called with what operators should know; may be nil.
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
// goroutine, but not from AgentConfig.Use.
type Agent struct {
	cfg         AgentConfig
	started     time.Time // origin of the machine's clock
	ctx         context.Context
	cancel      context.CancelFunc
	workers     sync.WaitGroup
	connectOnce sync.Once
	storeFailed chan struct{} // of one: a version could not be stored

	mu              sync.Mutex
	machine         *configversion.Machine
	wakeTimer       *time.Timer             // of the machine's last Wake; nil: there was none
	streamState     string                  // for status
	streamService   string                  // the service at the other end of the present stream
	cancelStream    context.CancelCauseFunc // ends the present stream; nil: there is none
	replies         chan reply              // of the present stream; nil: there is none
	nonces          map[int64]string        // of versions offered on the present stream, by number
	requestComplete bool                    // the next stream asks for everything
	pending         *pendingVersion         // accepted and not stored yet; nil: there is none
	unstored        configversion.Version   // used without being stored, since there was none to run; Number 0: none
	restoring       bool                    // the last good version could not be read yet
}

// StartAgent starts an agent: it runs the last good version first, and then follows the
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

// Connect has an agent that was deferred call its services.
func (a *Agent) Connect() {
	a.connectOnce.Do(func() { a.workers.Go(a.followServices) })
}

// Accepted returns the newest version that passed the checks and is stored.
func (a *Agent) Accepted() configversion.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Accepted()
}

// Close ends the agent and waits for its goroutines; what the router runs stays as it is.
func (a *Agent) Close() {
	a.cancel()
	a.workers.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wakeTimer != nil {
		a.wakeTimer.Stop()
	}
}

// Running returns the number of the version in use, and the remembered versions.
func (a *Agent) Running() (int64, []configversion.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Running(), a.machine.Records()
}

// AgentStatus is what an agent knows, for operators.
type AgentStatus struct {
	Running, Accepted int64  // numbers of versions; 0: none
	Service           string // in charge
	StreamState       string
	Age               configversion.Millis // of the last sign of life of the service in charge
	Versions          []configversion.Record
	NotStored         int64     // number of a version that could not be stored yet; 0: none
	StoreFault        error     // why the store can't be read or written for now; nil: it can
	StoreFaultSince   time.Time // since when
}

// Status returns what runs, who is in charge, how old its last sign of life is, and
// what became of the last versions.
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

// now is the time of the machine's clock.
func (a *Agent) now() configversion.Millis { return millisSince(a.started) }

// handle passes an event to the machine and executes its actions. Storing waits
// for the disk, which is why the agent is not on the router's event loop.
func (a *Agent) handle(event configversion.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handleLocked(event)
}

// handleLocked handles events and those that follow from their actions.
func (a *Agent) handleLocked(events ...configversion.Event) {
	for len(events) > 0 {
		event := events[0]
		events = events[1:]
		for _, action := range a.machine.Handle(a.now(), event, nil) {
			events = append(events, a.execute(action)...)
		}
	}
}

// execute executes an action and returns the events that follow from it.
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

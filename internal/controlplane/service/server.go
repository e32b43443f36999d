package service

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
	"indigospool/internal/wallclock"
)

// StateStore persists the state of a service.
type StateStore interface {
	// Save returns nil once the state is persisted such that it survives a crash.
	Save(rollout.State) error
}

// ServerConfig configures a Server. Zero fields are set to the defaults.
type ServerConfig struct {
	// Name identifies the service and its epoch to routers. It must be unique.
	Name string
	// Rollout configures staged rollouts.
	Rollout rollout.Settings
	// State is the persisted state to start from.
	State rollout.State
	// Store persists the state; nil: the state is lost when the service ends.
	Store StateStore
	// StreamsPerSecond limits the rate at which streams are admitted; others wait up to
	// maxAdmissionDelay or are rejected. Default 200.
	StreamsPerSecond float64
	// MaxStreams limits the number of open streams; more are rejected. Default 4000.
	MaxStreams int
	// TickInterval is the interval of the rollout's ticks. Default 250 ms.
	TickInterval time.Duration
	// ReportInterval is the interval at which routers report load. Default 10 s.
	ReportInterval time.Duration
	// Limits are the limits of the semantic checks.
	Limits configversion.CheckLimits
	// OnSend is called before a version is written to a router's stream; may be nil.
	OnSend func(router string, v configversion.Version)
	// OnEvent is called with the text of each event; may be nil. Status always has the
	// last events.
	OnEvent func(text string)
}

func (c ServerConfig) withDefaults() ServerConfig {
	if c.StreamsPerSecond <= 0 {
		c.StreamsPerSecond = 200
	}
	if c.MaxStreams <= 0 {
		c.MaxStreams = 4000
	}
	if c.TickInterval <= 0 {
		c.TickInterval = 250 * time.Millisecond
	}
	if c.ReportInterval <= 0 {
		c.ReportInterval = 10 * time.Second
	}
	return c
}

// maxEvents is how many events Status has.
const maxEvents = 100

// Server is a control service: it sends versions to routers over their streams and
// executes the actions of the rollout. Its methods may be called from any goroutine.
type Server struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	load.UnimplementedLoadReportingServiceServer
	cfg       ServerConfig
	grpc      *grpc.Server
	started   time.Time // origin of the rollout's clock
	ctx       context.Context
	cancel    context.CancelFunc
	ticking   sync.WaitGroup
	snapshots snapshotCache

	mu           sync.Mutex
	rollout      *rollout.Rollout
	streams      map[string]*routerStream // by router
	events       []string                 // the last maxEvents
	nextStreamAt time.Time                // earliest time to admit the next stream
	persisted    rollout.State            // the last state that was persisted
	persistFault *persistFault            // why the state can't be persisted; nil: it can
	pausedFor    configversion.Millis     // total time for which the rollout's clock was paused
}

// NewServer returns a service; options are gRPC options such as credentials. Its clock
// runs from now on, until Stop.
func NewServer(cfg ServerConfig, options ...grpc.ServerOption) *Server {
	options = append([]grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 10 * time.Second}),
	}, options...)
	s := &Server{
		cfg:       cfg.withDefaults(),
		grpc:      grpc.NewServer(options...),
		started:   time.Now(),
		streams:   map[string]*routerStream{},
		rollout:   rollout.New(cfg.Rollout, cfg.State),
		persisted: cfg.State,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	discovery.RegisterAggregatedDiscoveryServiceServer(s.grpc, s)
	load.RegisterLoadReportingServiceServer(s.grpc, s)
	s.ticking.Go(s.runTicks)
	return s
}

// Serve serves routers until Stop. It returns gRPC's error.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(listener) }

// Stop stops the service and closes its streams immediately. It may be called
// repeatedly.
func (s *Server) Stop() {
	s.cancel()
	s.grpc.Stop()
	s.ticking.Wait()
}

// runTicks calls tick at each TickInterval until the server is stopped.
func (s *Server) runTicks() {
	ticker := time.NewTicker(s.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick()
		case <-s.ctx.Done():
			return
		}
	}
}

// tick advances the rollout's time or, while the state can't be persisted, retries to persist
// it.
func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.persistFault != nil {
		s.retryPersist()
		return
	}
	s.handleLocked(rollout.Tick{})
}

// handle passes an event to the rollout and executes its actions.
func (s *Server) handle(event any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleLocked(event)
}

func (s *Server) handleLocked(event any) {
	if s.persistFault != nil {
		s.deferEvent(event)
		return
	}
	s.execute(s.rollout.Handle(s.rolloutNow(), event, nil))
}

// execute executes the rollout's actions in order. Actions that follow a Persist are
// executed only once that state is persisted.
func (s *Server) execute(actions []any) {
	for i, action := range actions {
		switch action := action.(type) {
		case rollout.Persist:
			if s.cfg.Store == nil {
				continue
			}
			if err := s.cfg.Store.Save(action.State); err != nil {
				s.suspend(err, actions[i+1:])
				return
			}
			s.persisted = action.State
		case rollout.Offer:
			if stream := s.streams[action.Router]; stream != nil {
				stream.offer(action.Version)
			}
		case rollout.Halted:
			s.recordEvent("version %d halted: %s", action.Number, action.Reason)
		case rollout.NumberAhead:
			s.recordEvent("router %s has accepted version %d, which this service never assigned; numbering continues above it", action.Router, action.Number)
		case rollout.StageStarted:
			s.recordEvent("version %d: stage %d, %d routers", action.Number, action.Stage+1, action.Routers)
		case rollout.Completed:
			s.recordEvent("version %d is offered to all routers", action.Number)
		}
	}
}

func (s *Server) recordEvent(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if s.cfg.OnEvent != nil {
		s.cfg.OnEvent(text)
	}
	s.events = append(s.events, wallclock.Now().UTC().Format("15:04:05.000 ")+text)
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
}

// RejectedError reports why settings were not made a version.
type RejectedError struct{ Reasons []configversion.Reason }

// Error returns a message with one reason per line.
func (e *RejectedError) Error() string {
	text := "control: settings rejected"
	for _, reason := range e.Reasons {
		text += "\n" + reason.String()
	}
	return text
}

// PushUnchecked starts the rollout of a body and returns its number. Unlike PushSources
// it does not check the body; routers still do. With immediate it goes to all routers
// at once, without stages. If the state can't be persisted, the error is a
// *PersistError.
func (s *Server) PushUnchecked(body []byte, immediate bool) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pushLocked(body, immediate)
}

func (s *Server) pushLocked(body []byte, immediate bool) (int64, error) {
	if err := s.persistError(false); err != nil {
		return 0, err
	}
	s.handleLocked(rollout.Push{Body: body, Force: immediate})
	if err := s.persistError(true); err != nil {
		return 0, err
	}
	state := s.rollout.State()
	return max(state.Next.Number, state.Base.Number), nil
}

// PushSources checks settings, converts them to their canonical form and starts their
// rollout; with immediate they go to all routers at once, without stages. If the checks
// fail, the error is a *RejectedError with all reasons; if the state can't be
// persisted, it is a *PersistError. Settings with the same content as the newest
// version are not pushed again: that version's number is returned, and created is false.
func (s *Server) PushSources(sources []config.Source, immediate bool) (number int64, created bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.persistError(false); err != nil {
		return 0, false, err
	}
	state := s.rollout.State()
	newest := state.Base
	if state.Next.Number > 0 {
		newest = state.Next
	}
	body, reasons := Validate(sources, newest.Body, s.cfg.Limits)
	if len(reasons) > 0 {
		return 0, false, &RejectedError{reasons}
	}
	sameContent := newest.Number > 0 && newest.Sum == configversion.Checksum(body)
	skipsStages := immediate && state.Next.Number > 0 // the newest version is still in its stages, and should skip the rest
	if sameContent && !skipsStages {
		return newest.Number, false, nil
	}
	number, err = s.pushLocked(body, immediate)
	return number, err == nil, err
}

// Halt stops the rollout in progress, if any, and offers the old content to all routers
// under a new number. why is shown to operators. If the state can't be persisted, the
// error is a *PersistError.
func (s *Server) Halt(why string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.persistError(false); err != nil {
		return err
	}
	s.handleLocked(rollout.Halt{Reason: why})
	return s.persistError(true)
}

// Status is the status of a service.
type Status struct {
	Service      string        // name and epoch
	State        rollout.State // as last persisted
	Routers      []rollout.RouterStatus
	Events       []string      // the last events, each with its time of day (UTC)
	PersistError *PersistError // why the state can't be persisted; nil: it can
}

// Status returns the service's status, including which version each router runs, and
// what it rejected and why.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Service: s.cfg.Name,
		State:   s.rollout.State(),
		Routers: s.rollout.Status(),
		Events:  append([]string(nil), s.events...),
	}
	if fault := s.persistFault; fault != nil {
		status.State = s.persisted
		status.PersistError = &PersistError{Since: fault.since, Err: fault.err}
	}
	return status
}

package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
	"indigospool/internal/wallclock"
)

// StateStore keeps what a service must not forget. Save returns once it would
// survive a crash.
type StateStore interface {
	Save(rollout.State) error
}

// ServerConfig is what a service is. Zero fields mean the defaults.
type ServerConfig struct {
	Name             string // and epoch: unlike any other service's
	Rollout          rollout.Settings
	State            rollout.State
	Store            StateStore
	StreamsPerSecond float64       // streams accepted a second; others wait; default 200
	MaxStreams       int           // at once; more are turned away; default 4000
	TickInterval     time.Duration // default 250 ms
	ReportInterval   time.Duration // how often routers are to report service; default 10 s
	Limits           configversion.CheckLimits
	OnSend           func(router string, v configversion.Version) // a version is about to be written to a stream; nil: nobody asks
	OnEvent          func(text string)                            // what happens, as it happens; nil: only Status tells
}

// Server is a control service.
type Server struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	load.UnimplementedLoadReportingServiceServer
	cfg       ServerConfig
	grpc      *grpc.Server
	done      chan struct{}
	stopOnce  sync.Once
	snapshots snapshotCache

	mu           sync.Mutex
	rollout      *rollout.Rollout
	streams      map[string]*routerStream
	events       []string // the last of what happened, for status
	nextStreamAt time.Time
	persisted    rollout.State        // what was kept last
	persistFault *persistFault        // the state can't be kept for now; nil: it can
	pausedFor    configversion.Millis // for how long the rollout's clock has stood
}

// routerStream is one router's.
type routerStream struct {
	router   string
	versions chan configversion.Version // of one: a newer version replaces an older one that was not sent yet
	cancel   context.CancelCauseFunc
}

// NewServer makes a service; options are gRPC's, as credentials.
func NewServer(cfg ServerConfig, options ...grpc.ServerOption) *Server {
	if cfg.StreamsPerSecond <= 0 {
		cfg.StreamsPerSecond = 200
	}
	if cfg.MaxStreams <= 0 {
		cfg.MaxStreams = 4000
	}
	if cfg.TickInterval <= 0 {
		cfg.TickInterval = 250 * time.Millisecond
	}
	if cfg.ReportInterval <= 0 {
		cfg.ReportInterval = 10 * time.Second
	}
	options = append([]grpc.ServerOption{grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 10 * time.Second})}, options...)
	server := &Server{cfg: cfg, grpc: grpc.NewServer(options...), done: make(chan struct{}), streams: map[string]*routerStream{},
		rollout: rollout.New(cfg.Rollout, cfg.State), persisted: cfg.State}
	discovery.RegisterAggregatedDiscoveryServiceServer(server.grpc, server)
	load.RegisterLoadReportingServiceServer(server.grpc, server)
	go func() {
		ticker := time.NewTicker(cfg.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				server.tick()
			case <-server.done:
				return
			}
		}
	}()
	return server
}

// Serve serves until Stop.
func (s *Server) Serve(ln net.Listener) error { return s.grpc.Serve(ln) }

// Stop ends the service and its streams at once.
func (s *Server) Stop() {
	s.stopOnce.Do(func() { close(s.done); s.grpc.Stop() })
}

var began = time.Now()

func now() configversion.Millis { return float64(time.Since(began).Microseconds()) / 1000 }

// tick has time pass, or tries again to keep the state.
func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.persistFault != nil {
		s.retryPersist()
		return
	}
	s.handleLocked(rollout.Tick{})
}

// handle gives the rollout an event and carries out what it wants.
func (s *Server) handle(ev any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleLocked(ev)
}

func (s *Server) handleLocked(ev any) {
	if s.persistFault != nil {
		s.deferEvent(ev)
		return
	}
	s.execute(s.rollout.Handle(s.rolloutNow(), ev, nil))
}

// execute does what the rollout wants, in its order: what follows the keeping of a
// state is done only once it is kept.
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
			if st := s.streams[action.Router]; st != nil {
				select {
				case <-st.versions: // not sent yet, and superseded
				default:
				}
				st.versions <- action.Version
			}
		case rollout.Halted:
			s.recordEvent("version %d halted: %s", action.Number, action.Reason)
		case rollout.NumberAhead:
			s.recordEvent("router %s has accepted version %d, which this service never gave; numbers go on from there", action.Router, action.Number)
		case rollout.StageStarted:
			s.recordEvent("version %d: stage %d, %d routers", action.Number, action.Stage+1, action.Routers)
		case rollout.Completed:
			s.recordEvent("version %d is everybody's", action.Number)
		}
	}
}

func (s *Server) recordEvent(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if s.cfg.OnEvent != nil {
		s.cfg.OnEvent(text)
	}
	s.events = append(s.events, wallclock.Now().UTC().Format("15:04:05.000 ")+text)
	if len(s.events) > 100 {
		s.events = s.events[len(s.events)-100:]
	}
}

// A RejectedError says why a text was not made a version.
type RejectedError struct{ Reasons []configversion.Reason }

func (r *RejectedError) Error() string {
	text := "control: not made a version"
	for _, one := range r.Reasons {
		text += "\n" + one.String()
	}
	return text
}

// PushUnchecked begins the rollout of a body as it is, and returns its number. It makes
// no checks but the routers'; see PushSources. Where the state can't be kept, the error is
// a *PersistError.
func (s *Server) PushUnchecked(body []byte, force bool) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pushLocked(body, force)
}

func (s *Server) pushLocked(body []byte, immediate bool) (int64, error) {
	if err := s.persistError(false); err != nil {
		return 0, err
	}
	s.handleLocked(rollout.Push{Body: body, Force: immediate})
	if err := s.persistError(true); err != nil {
		return 0, err
	}
	st := s.rollout.State()
	return max(st.Next.Number, st.Base.Number), nil
}

// PushSources checks settings, makes them canonical and begins their rollout. What
// does not pass the checks is refused with every reason, a *RejectedError. The same
// content as the newest version's is not pushed again: its number is returned.
func (s *Server) PushSources(sources []config.Source, force bool) (number int64, fresh bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.persistError(false); err != nil {
		return 0, false, err
	}
	st := s.rollout.State()
	newest := st.Base
	if st.Next.Number > 0 {
		newest = st.Next
	}
	body, reasons := Validate(sources, newest.Body, s.cfg.Limits)
	if len(reasons) > 0 {
		return 0, false, &RejectedError{reasons}
	}
	if newest.Number > 0 && newest.Sum == configversion.Checksum(body) && !(force && st.Next.Number > 0) {
		return newest.Number, false, nil
	}
	number, err = s.pushLocked(body, force)
	return number, err == nil, err
}

// Halt stops the rollout under way; the old content goes to all under a new number.
// Where the state can't be kept, the error is a *PersistError.
func (s *Server) Halt(why string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.persistError(false); err != nil {
		return err
	}
	s.handleLocked(rollout.Halt{Reason: why})
	return s.persistError(true)
}

// Status is what a service knows.
type Status struct {
	Service      string
	State        rollout.State // as it was kept
	Routers      []rollout.RouterStatus
	Events       []string
	PersistError *PersistError // the state can't be kept for now; nil: it can
}

// Status tells which version each router runs, what it refused and why.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{s.cfg.Name, s.rollout.State(), s.rollout.Status(), append([]string(nil), s.events...), nil}
	if u := s.persistFault; u != nil {
		st.State, st.PersistError = s.persisted, &PersistError{Since: u.since, Err: u.err}
	}
	return st
}

// admitStream has streams begin no faster than the service can take: the wait that is
// still bearable, or an error that tells the router to come back.
func (s *Server) admitStream(ctx context.Context) error {
	s.mu.Lock()
	now := time.Now()
	if s.nextStreamAt.Before(now) {
		s.nextStreamAt = now
	}
	wait := s.nextStreamAt.Sub(now)
	if wait > 2*time.Second || len(s.streams) >= s.cfg.MaxStreams {
		s.mu.Unlock()
		return status.Error(codes.ResourceExhausted, "control: too many streams begin at once; come back later")
	}
	s.nextStreamAt = s.nextStreamAt.Add(time.Duration(float64(time.Second) / s.cfg.StreamsPerSecond))
	s.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StreamAggregatedResources is a router's stream by state of the world.
func (s *Server) StreamAggregatedResources(stream grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]) error {
	return s.serveStream(stream.Context(), &sotwServerStream{stream: stream, snapshots: &s.snapshots})
}

// DeltaAggregatedResources is a router's stream by the incremental protocol.
func (s *Server) DeltaAggregatedResources(stream grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]) error {
	return s.serveStream(stream.Context(), &deltaServerStream{stream: stream, snapshots: &s.snapshots})
}

// serveStream serves a router's stream, to its end.
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
	registered := &routerStream{router: first.router, versions: make(chan configversion.Version, 1), cancel: cancel}
	s.mu.Lock()
	if err := s.persistError(false); err != nil {
		s.mu.Unlock()
		return err
	}
	if old := s.streams[first.router]; old != nil {
		old.cancel(errors.New("control: the router has begun another stream"))
	}
	s.streams[first.router] = registered
	s.handleLocked(rollout.Connected{Router: first.router, Running: first.accepted})
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if s.streams[first.router] == registered {
			delete(s.streams, first.router)
			s.handleLocked(rollout.Disconnected{Router: first.router})
		}
		s.mu.Unlock()
	}()
	go func() {
		for {
			select {
			case v := <-registered.versions:
				if s.cfg.OnSend != nil {
					s.cfg.OnSend(first.router, v)
				}
				if err := peer.send(v, s.cfg.Name); err != nil {
					cancel(err)
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	go func() {
		for {
			a, known, err := peer.recv()
			switch {
			case err != nil:
				cancel(err)
				return
			case !known: // to a response that was superseded, or to none: xDS has such be ignored
			case a.reasons != nil:
				s.handle(rollout.Nacked{Router: first.router, Number: a.number, Reasons: a.reasons})
			default:
				s.handle(rollout.Acked{Router: first.router, Number: a.number})
			}
		}
	}()
	<-ctx.Done()
	if err := context.Cause(ctx); err != io.EOF {
		return err
	}
	return nil
}

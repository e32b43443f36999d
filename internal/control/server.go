package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"indigospool/internal/fleet"
)

func controlPlane(service string) *core.ControlPlane { return &core.ControlPlane{Identifier: service} }

// Keeper keeps what a service must not forget. Save returns once it would
// survive a crash.
type Keeper interface {
	Save(fleet.RolloutState) error
}

// ServerConfig is what a service is. Zero fields mean the defaults.
type ServerConfig struct {
	Name      string // and epoch: unlike any other service's
	Rollout   fleet.RolloutSettings
	State     fleet.RolloutState
	Keep      Keeper
	PerSecond float64       // streams accepted a second; others wait; default 200
	Streams   int           // at once; more are turned away; default 4000
	Tick      time.Duration // default 250 ms
}

// Server is a control service.
type Server struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	cfg  ServerConfig
	grpc *grpc.Server
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	rollout *fleet.Rollout
	streams map[string]*stream
	events  []string // the last of what happened, for status
	next    time.Time
	broken  error // the state could not be kept: nothing more is offered
}

// stream is one router's.
type stream struct {
	router string
	send   chan fleet.Version // of one: a newer version replaces an older one that was not sent yet
	stop   context.CancelCauseFunc
}

// NewServer makes a service; options are gRPC's, as credentials.
func NewServer(cfg ServerConfig, opts ...grpc.ServerOption) *Server {
	if cfg.PerSecond <= 0 {
		cfg.PerSecond = 200
	}
	if cfg.Streams <= 0 {
		cfg.Streams = 4000
	}
	if cfg.Tick <= 0 {
		cfg.Tick = 250 * time.Millisecond
	}
	opts = append([]grpc.ServerOption{grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 10 * time.Second})}, opts...)
	s := &Server{cfg: cfg, grpc: grpc.NewServer(opts...), done: make(chan struct{}), streams: map[string]*stream{},
		rollout: fleet.NewRollout(cfg.Rollout, cfg.State)}
	discovery.RegisterAggregatedDiscoveryServiceServer(s.grpc, s)
	go func() {
		t := time.NewTicker(cfg.Tick)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				s.tell(fleet.Pass{})
			case <-s.done:
				return
			}
		}
	}()
	return s
}

// Serve serves until Stop.
func (s *Server) Serve(ln grpcListener) error {
	return s.grpc.Serve(ln)
}

// Stop ends the service and its streams at once.
func (s *Server) Stop() {
	s.once.Do(func() { close(s.done); s.grpc.Stop() })
}

var began = time.Now()

func now() fleet.Millis { return float64(time.Since(began).Microseconds()) / 1000 }

// tell gives the rollout an event and carries out what it wants.
func (s *Server) tell(ev any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellLocked(ev)
}

func (s *Server) tellLocked(ev any) {
	if s.broken != nil {
		return
	}
	for _, a := range s.rollout.Handle(now(), ev, nil) {
		switch a := a.(type) {
		case fleet.Keep:
			if s.cfg.Keep == nil {
				continue
			}
			if err := s.cfg.Keep.Save(a.State); err != nil {
				s.broken = fmt.Errorf("control: the state can't be kept, and nothing more is offered: %w", err)
				s.note("%v", s.broken)
				return
			}
		case fleet.Offer:
			if st := s.streams[a.Router]; st != nil {
				select {
				case <-st.send: // not sent yet, and superseded
				default:
				}
				st.send <- a.Version
			}
		case fleet.Halted:
			s.note("version %d halted: %s", a.Number, a.Why)
		case fleet.Staged:
			s.note("version %d: stage %d, %d routers", a.Number, a.Stage+1, a.Routers)
		case fleet.Finished:
			s.note("version %d is everybody's", a.Number)
		}
	}
}

func (s *Server) note(format string, a ...any) {
	s.events = append(s.events, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
	if len(s.events) > 100 {
		s.events = s.events[len(s.events)-100:]
	}
}

// Push begins the rollout of a body, and returns its number.
func (s *Server) Push(body []byte, force bool) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellLocked(fleet.Push{Body: body, Force: force})
	if s.broken != nil {
		return 0, s.broken
	}
	st := s.rollout.State()
	return max(st.Next.Number, st.Base.Number), nil
}

// Status is what a service knows.
type Status struct {
	Service string
	State   fleet.RolloutState
	Routers []fleet.RouterStatus
	Events  []string
}

// Status tells which version each router runs, what it refused and why.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{s.cfg.Name, s.rollout.State(), s.rollout.Status(), append([]string(nil), s.events...)}
}

// pace has streams begin no faster than the service can take: the wait that is
// still bearable, or an error that tells the router to come back.
func (s *Server) pace(ctx context.Context) error {
	s.mu.Lock()
	t := time.Now()
	if s.next.Before(t) {
		s.next = t
	}
	wait := s.next.Sub(t)
	if wait > 2*time.Second || len(s.streams) >= s.cfg.Streams {
		s.mu.Unlock()
		return status.Error(codes.ResourceExhausted, "control: too many streams begin at once; come back later")
	}
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.cfg.PerSecond))
	s.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StreamAggregatedResources is a router's stream, state of the world.
func (s *Server) StreamAggregatedResources(g grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]) error {
	ctx, cancel := context.WithCancelCause(g.Context())
	defer cancel(nil)
	first, err := g.Recv()
	if err != nil {
		return err
	}
	router := first.GetNode().GetId()
	if router == "" {
		return status.Error(codes.InvalidArgument, "control: the first request names no node id")
	}
	if first.GetTypeUrl() != SettingsType {
		return status.Errorf(codes.InvalidArgument, "control: type %.80q is not served; %s is", first.GetTypeUrl(), SettingsType)
	}
	running, _, err := parseInfo(first.GetVersionInfo())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if err := s.pace(ctx); err != nil {
		return err
	}
	st := &stream{router: router, send: make(chan fleet.Version, 1), stop: cancel}
	s.mu.Lock()
	if old := s.streams[router]; old != nil {
		old.stop(errors.New("control: the router has begun another stream"))
	}
	s.streams[router] = st
	s.tellLocked(fleet.Joined{Router: router, Running: running})
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if s.streams[router] == st {
			delete(s.streams, router)
			s.tellLocked(fleet.Left{Router: router})
		}
		s.mu.Unlock()
	}()
	sent := make(chan error, 1)
	var out sync.Mutex
	nonces := map[string]int64{}
	go func() {
		for n := 1; ; n++ {
			select {
			case v := <-st.send:
				nonce := strconv.Itoa(n)
				res, err := response(v, s.cfg.Name, nonce)
				if err == nil {
					out.Lock()
					nonces[nonce] = v.Number
					delete(nonces, strconv.Itoa(n-8))
					out.Unlock()
					err = g.Send(res)
				}
				if err != nil {
					cancel(err)
					sent <- err
					return
				}
			case <-ctx.Done():
				sent <- context.Cause(ctx)
				return
			}
		}
	}()
	got := make(chan error, 1)
	go func() {
		for {
			r, err := g.Recv()
			if err != nil {
				got <- err
				return
			}
			out.Lock()
			number, known := nonces[r.GetResponseNonce()]
			out.Unlock()
			if !known {
				continue // of a response that was superseded, or none: xDS has such be ignored
			}
			if d := r.GetErrorDetail(); d != nil {
				s.tell(fleet.Nacked{Router: router, Number: number, Reasons: strings.Split(d.GetMessage(), "\n")})
			} else if running, _, err := parseInfo(r.GetVersionInfo()); err == nil {
				s.tell(fleet.Acked{Router: router, Number: running})
			}
		}
	}()
	select {
	case err = <-got:
	case err = <-sent:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// Report tells the service how a router serves of late. Routers report by
// whatever watches them; the share of requests in time counts.
func (s *Server) Report(router string, served float64) {
	s.tell(fleet.Report{Router: router, Served: served})
}

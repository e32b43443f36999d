package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"

	"indigospool/internal/fleet"
	"indigospool/internal/lastgood"
)

type grpcListener = net.Listener

// AgentConfig is what a router's agent is. Zero fields mean the defaults.
type AgentConfig struct {
	Router   string
	Services []string // addresses; the first that answers is followed, the others are for when it is gone
	Fleet    fleet.Settings
	Seed     uint64
	Store    *lastgood.Store // nil: nothing is kept
	Backoff  time.Duration   // first wait before a service is called again; doubles to 64 times; default 250 ms
	Silent   time.Duration   // a stream that begins and says nothing is left after so long; default 30 s
	Alive    time.Duration   // how often an open stream counts as a sign of life; default 5 s
	Dial     []grpc.DialOption

	Use  func(fleet.Use)   // a version is to be run; called from the agent's goroutine
	Warn func(text string) // for the operator
}

// Agent follows control services for one router.
type Agent struct {
	cfg    AgentConfig
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	machine *fleet.Machine
	answer  func(*discovery.DiscoveryRequest) // on the present stream
	nonces  map[int64]string                  // of versions offered on it
	wake    *time.Timer
	began   time.Time
}

// StartAgent begins: the last good version first, then the services.
func StartAgent(cfg AgentConfig) *Agent {
	if cfg.Backoff <= 0 {
		cfg.Backoff = 250 * time.Millisecond
	}
	if cfg.Silent <= 0 {
		cfg.Silent = 30 * time.Second
	}
	if cfg.Alive <= 0 {
		cfg.Alive = 5 * time.Second
	}
	if cfg.Warn == nil {
		cfg.Warn = func(string) {}
	}
	a := &Agent{cfg: cfg, machine: fleet.NewMachine(cfg.Fleet, cfg.Seed), began: time.Now()}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if cfg.Store != nil {
		if r := cfg.Store.Restored(time.Now()); !errors.Is(r.Err, lastgood.ErrNone) {
			a.tell(r)
		}
	}
	a.done.Add(1)
	go a.run()
	return a
}

// Close ends the agent; what it ran stays as it is.
func (a *Agent) Close() {
	a.cancel()
	a.done.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wake != nil {
		a.wake.Stop()
	}
}

// Running is the number of the version in use, and the remembered versions.
func (a *Agent) Running() (int64, []fleet.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Running(), a.machine.Records()
}

// tell gives the machine an event and carries out its actions. Storing waits
// for the disk, which is why the agent is not on the loop.
func (a *Agent) tell(ev fleet.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := []fleet.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, act := range a.machine.Handle(float64(time.Since(a.began).Microseconds())/1000, ev, nil) {
			switch act := act.(type) {
			case fleet.Store:
				var err error
				if a.cfg.Store != nil {
					err = a.cfg.Store.Put(act.Version, time.Now())
				}
				queue = append(queue, fleet.Stored{Number: act.Version.Number, Err: err})
			case fleet.Ack:
				a.reply(act.Number, nil)
			case fleet.Nack:
				a.reply(act.Number, act.Reasons)
			case fleet.Use:
				a.cfg.Use(act)
			case fleet.Warn:
				a.cfg.Warn(act.Text)
			case fleet.Wake:
				if a.wake == nil {
					a.wake = time.AfterFunc(0, func() { a.tell(fleet.Tick{}) })
				}
				a.wake.Reset(time.Duration(act.In*float64(time.Millisecond)) + time.Millisecond)
			}
		}
	}
}

// reply acknowledges a version on the present stream, or refuses it with every reason.
func (a *Agent) reply(number int64, reasons []fleet.Reason) {
	if a.answer == nil {
		return
	}
	r := &discovery.DiscoveryRequest{TypeUrl: SettingsType, ResponseNonce: a.nonces[number]}
	if len(reasons) == 0 {
		r.VersionInfo = fmt.Sprint(number)
	} else {
		r.VersionInfo = fmt.Sprint(a.machine.Floor())
		lines := make([]string, len(reasons))
		for i, one := range reasons {
			lines[i] = one.String()
		}
		r.ErrorDetail = &rpc.Status{Code: int32(codes.InvalidArgument), Message: strings.Join(lines, "\n")}
	}
	a.answer(r)
}

// run keeps a stream, with waits between tries that double, each by chance of
// the seed: a fleet that lost its service does not come back at once.
func (a *Agent) run() {
	defer a.done.Done()
	rng := rand.New(rand.NewPCG(a.cfg.Seed, 0xa9e7))
	wait := a.cfg.Backoff
	for i := 0; a.ctx.Err() == nil; i++ {
		address := a.cfg.Services[i%len(a.cfg.Services)]
		got, service, err := a.follow(address)
		if a.ctx.Err() != nil {
			return
		}
		if service != "" {
			a.tell(fleet.Cut{Service: service})
		}
		if got > 0 {
			wait = a.cfg.Backoff
			i-- // the one that spoke is called again first
		}
		a.cfg.Warn(fmt.Sprintf("stream of control service %s ended: %v", address, err))
		select {
		case <-time.After(time.Duration(float64(wait) * (0.5 + rng.Float64()))):
		case <-a.ctx.Done():
		}
		wait = min(2*wait, 64*a.cfg.Backoff)
	}
}

func (a *Agent) follow(address string) (got int, service string, err error) {
	conn, err := grpc.NewClient(address, append([]grpc.DialOption{
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(32 << 20)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
	}, a.cfg.Dial...)...)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(a.ctx)
	defer cancel(nil)
	silent := time.AfterFunc(a.cfg.Silent, func() { cancel(errors.New("the service said nothing")) })
	defer silent.Stop()
	s, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return 0, "", err
	}
	out := make(chan *discovery.DiscoveryRequest, 16)
	a.mu.Lock()
	running := a.machine.Floor()
	a.nonces = map[int64]string{}
	a.answer = func(r *discovery.DiscoveryRequest) {
		select {
		case out <- r:
		default: // a service that takes no answers is left
			cancel(errors.New("the service takes no answers"))
		}
	}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.answer = nil
		a.mu.Unlock()
	}()
	first := &discovery.DiscoveryRequest{Node: &core.Node{Id: a.cfg.Router}, TypeUrl: SettingsType}
	if running > 0 {
		first.VersionInfo = fmt.Sprint(running)
	}
	if err := s.Send(first); err != nil {
		return 0, "", err
	}
	go func() {
		for {
			select {
			case r := <-out:
				if err := s.Send(r); err != nil {
					cancel(err)
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		r, err := s.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return got, service, err
		}
		silent.Stop()
		if got++; service == "" {
			if service = r.GetControlPlane().GetIdentifier(); service == "" {
				service = address
			}
			alive := time.NewTicker(a.cfg.Alive)
			defer alive.Stop()
			go func() { // as long as the connection answers pings, the service is heard of
				for {
					select {
					case <-alive.C:
						a.tell(fleet.Heard{Service: service})
					case <-ctx.Done():
						return
					}
				}
			}()
		}
		v, err := versionOf(r)
		a.mu.Lock()
		a.nonces[v.Number] = r.GetNonce()
		if err != nil {
			a.reply(v.Number, []fleet.Reason{{What: err.Error(), Remedy: "send one resource with number:sum"}})
		}
		a.mu.Unlock()
		if err == nil {
			a.tell(fleet.Offered{Service: service, Version: v})
		}
	}
}

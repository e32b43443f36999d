package httpfront

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/hotrestart"
)

// ConfigClient follows control services for a router, on goroutines of its own, and
// posts each version that is to be run to the router's loop. Which one that is,
// internal/controlplane/rollout decides.
type ConfigClient struct {
	local       *config.Settings
	log         *AccessLog
	store       *configstore.Store
	agent       *service.Agent
	activations chan configversion.Activate // in order; the newest is never dropped
	done        chan struct{}
	attached    chan *Edge
}

const keptVersions = 8 // in the store of versions

// StartConfigClient begins: with the stored version where there is one, then with the
// services that the router's own settings name.
func StartConfigClient(own *config.Settings, log *AccessLog) (*ConfigClient, error) {
	return startConfigClient(own, log, nil, configstore.Disk{})
}

// startConfigClient is Follow for a router that takes over: it begins with the version that its
// predecessor goes by where none is stored, and calls no service until it serves, since
// a service knows one stream of a router.
func startConfigClient(own *config.Settings, log *AccessLog, in *hotrestart.Inherited, files configstore.FileSystem) (*ConfigClient, error) {
	c := &own.Control
	v := &ConfigClient{local: own, log: log, activations: make(chan configversion.Activate, 64), done: make(chan struct{}), attached: make(chan *Edge, 1)}
	dial := grpc.WithTransportCredentials(insecure.NewCredentials())
	if c.Cert != "" {
		keys := &service.CertificateFiles{Cert: c.Cert, Key: c.Key, Authorities: c.Roots, Warn: func(text string) { log.Log.Warn(text) }}
		if err := keys.Load(); err != nil {
			return nil, err
		}
		dial = grpc.WithTransportCredentials(keys.ClientCredentials(c.Name))
	}
	if c.Store != "" {
		var err error
		if v.store, err = configstore.OpenWith(files, c.Store, keptVersions); v.store == nil {
			return nil, err
		} else if err != nil {
			log.Log.Error("the store of versions was damaged, or can't be read or written for now", zap.Error(err))
		}
	}
	cfg := service.AgentConfig{Router: own.Router.Name, Services: c.Services, Seed: uint64(own.Router.Seed), Store: v.store,
		Backoff: milliseconds(c.Backoff), StateOfTheWorld: c.Protocol == "full", MaxBytes: 2 * c.MaxBytes, ReportInterval: milliseconds(c.Report),
		DialOptions: []grpc.DialOption{dial},
		Machine:     configversion.MachineSettings{Local: own, MaxBytes: c.MaxBytes, Jitter: c.Spread, Lease: c.Lease, UnconfirmedAfter: c.Old, StaleAfter: c.Stale},
		OnActivate:  v.enqueue, Warn: func(text string) { log.Log.Warn(text) }}
	if c.Report > 0 {
		cfg.LoadCounts = v.loadCounts
	}
	if cfg.Deferred = in != nil; cfg.Deferred && len(in.ConfigVersion) > 0 {
		if err := json.Unmarshal(in.ConfigVersion, &cfg.Initial); err != nil {
			log.Log.Warn("the predecessor's version can't be read", zap.Error(err))
		}
	}
	v.agent = service.StartAgent(cfg)
	return v, nil
}

// Open makes a router as its settings say: by the file alone, or by versions from
// control services. end is called when the router has ended.
func Open(ctx context.Context, s *config.Settings, log *AccessLog) (e *Edge, end func(), err error) {
	return open(ctx, s, log, configstore.Disk{})
}

func open(ctx context.Context, s *config.Settings, log *AccessLog, files configstore.FileSystem) (edge *Edge, end func(), err error) {
	if !s.Follows() {
		edge, err = TakeOver(s, log)
		return edge, func() {}, err
	}
	in, err := contactPredecessor(s)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil && in != nil {
			in.Abort()
		}
	}()
	v, err := startConfigClient(s, log, in, files)
	if err != nil {
		return nil, nil, err
	}
	u, err := v.FirstVersion(ctx)
	if err == nil {
		edge, err = newFromVersion(u, s, log, in)
	}
	if err != nil {
		v.Close()
		return nil, nil, err
	}
	v.Attach(edge)
	return edge, v.Close, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// enqueue queues a version that is to be run. It never waits: of versions that the
// loop has not come to yet, the oldest gives way.
func (v *ConfigClient) enqueue(u configversion.Activate) {
	for {
		select {
		case v.activations <- u:
			return
		default:
		}
		select {
		case <-v.activations:
		default:
		}
	}
}

// FirstVersion is the version to begin with: the stored one or, where the settings say
// wait, the first that a service sends. nil: begin by the file.
func (v *ConfigClient) FirstVersion(ctx context.Context) (*configversion.Activate, error) {
	select {
	case u := <-v.activations:
		return &u, nil
	default:
	}
	if v.local.Control.Start != "wait" {
		return nil, nil
	}
	v.agent.Connect()
	v.log.Log.Info("waiting for the first version", zap.Strings("services", v.local.Control.Services))
	select {
	case u := <-v.activations:
		return &u, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("edge: no version came before the end: %w", ctx.Err())
	}
}

// Attach has a router run the versions that come from now on.
func (v *ConfigClient) Attach(edge *Edge) {
	edge.configClient = v
	v.attached <- edge
	go func() {
		for {
			select {
			case u := <-v.activations:
				for edge.loop.Post(func() { edge.activateVersion(u) }) == eventloop.ErrFull {
					time.Sleep(time.Millisecond)
				}
				edge.forwardVersion(u.Version)
			case <-v.done:
				return
			}
		}
	}()
}

// Close ends the following; the store keeps what it has.
func (v *ConfigClient) Close() {
	v.agent.Close()
	close(v.done)
	if v.store != nil {
		v.store.Close()
	}
}

// releaseStore has a successor open the store. What comes meanwhile is run, and kept in memory.
func (v *ConfigClient) releaseStore() {
	if v != nil && v.store != nil {
		if err := v.store.ReleaseLock(); err != nil {
			v.log.Log.Error("the store of versions", zap.Error(err))
		}
	}
}

// reacquireStore takes the store back from a successor that does not serve: it may take that
// one a moment to end.
func (v *ConfigClient) reacquireStore() {
	if v == nil || v.store == nil {
		return
	}
	var err error
	for range 5 {
		if err = v.store.ReacquireLock(); err == nil {
			return
		}
		select {
		case <-time.After(time.Second):
		case <-v.done:
			return
		}
	}
	v.log.Log.Error("the store of versions is not taken back yet: it is tried again", zap.Error(err))
}

// loadCounts counts requests that have ended, for reports.
func (v *ConfigClient) loadCounts() (t service.LoadCounts, err error) {
	e := <-v.attached // once a router is attached, it is there for all
	v.attached <- e
	err = e.Query(func(s *Stats, _ *engine.Core) {
		t.Succeeded, t.Issued = s.Served, s.Served+s.Refused+s.Failed+s.Broken
	})
	return t, err
}

// activateVersion goes by a version from now on, on the loop: drains first, so that nothing
// new goes to who leaves; then the settings; then the members that come.
func (e *Edge) activateVersion(u configversion.Activate) {
	var steps []configversion.Delta
	if e.settings.Router.List == "" { // else the list service's word counts
		steps = configversion.Diff(e.settings.Members, u.Settings.Members)
	}
	tell := func(s configversion.Delta) {
		e.applyUpdate(engine.UpdateFromVersion(u.Version.Number, s.Members, s.Kind == configversion.DeltaStarts))
	}
	if len(steps) > 0 && steps[0].Kind == configversion.DeltaDrains {
		tell(steps[0])
		steps = steps[1:]
	}
	e.nextVersion = u.Version.Number
	acts, err := e.core.ChangeSettings(e.loop.Now(), u.Settings, nil)
	if err != nil { // the checks let through what the module does not take
		e.log.Log.Error("version not run", zap.Int64("version", u.Version.Number), zap.Error(err))
		return
	}
	for i := range acts {
		e.execute(acts[i])
	}
	e.settings = u.Settings
	e.guard.applySettings(e.settings)
	for _, s := range steps {
		tell(s)
	}
	e.version = u.Version.Number
	e.log.Log.Info("version in use", zap.Int64("version", u.Version.Number), zap.Int("steps", len(steps)),
		zap.Bool("stale", u.Stale))
}

// applyInitialMembers is the news of members that a router begins with: those of its settings,
// and for how long the young ones of them have been listed.
func (e *Edge) applyInitialMembers() {
	if len(e.settings.Members) == 0 || e.settings.Router.List != "" {
		return
	}
	n := engine.UpdateFromSettings(e.settings)
	n.Rev = e.version
	for i := range n.Members {
		if up, young := e.listedFor[n.Members[i].ID]; young {
			n.Members[i].UptimeMillis = max(up, 0.001)
		}
	}
	e.applyUpdate(n)
}

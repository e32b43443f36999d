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
func startConfigClient(local *config.Settings, log *AccessLog, inherited *hotrestart.Inherited, files configstore.FileSystem) (*ConfigClient, error) {
	control := &local.Control
	client := &ConfigClient{local: local, log: log, activations: make(chan configversion.Activate, 64), done: make(chan struct{}), attached: make(chan *Edge, 1)}
	dial := grpc.WithTransportCredentials(insecure.NewCredentials())
	if control.Cert != "" {
		keys := &service.CertificateFiles{Cert: control.Cert, Key: control.Key, Authorities: control.Roots, Warn: func(text string) { log.Log.Warn(text) }}
		if err := keys.Load(); err != nil {
			return nil, err
		}
		dial = grpc.WithTransportCredentials(keys.ClientCredentials(control.Name))
	}
	if control.Store != "" {
		var err error
		if client.store, err = configstore.OpenWith(files, control.Store, keptVersions); client.store == nil {
			return nil, err
		} else if err != nil {
			log.Log.Error("the store of versions was damaged, or can't be read or written for now", zap.Error(err))
		}
	}
	agentConfig := service.AgentConfig{Router: local.Router.Name, Services: control.Services, Seed: uint64(local.Router.Seed), Store: client.store,
		Backoff: milliseconds(control.Backoff), StateOfTheWorld: control.Protocol == "full", MaxBytes: 2 * control.MaxBytes, ReportInterval: milliseconds(control.Report),
		DialOptions: []grpc.DialOption{dial},
		Machine:     configversion.MachineSettings{Local: local, MaxBytes: control.MaxBytes, Jitter: control.Spread, Lease: control.Lease, UnconfirmedAfter: control.Old, StaleAfter: control.Stale},
		OnActivate:  client.enqueue, Warn: func(text string) { log.Log.Warn(text) }}
	if control.Report > 0 {
		agentConfig.LoadCounts = client.loadCounts
	}
	if agentConfig.Deferred = inherited != nil; agentConfig.Deferred && len(inherited.ConfigVersion) > 0 {
		if err := json.Unmarshal(inherited.ConfigVersion, &agentConfig.Initial); err != nil {
			log.Log.Warn("the predecessor's version can't be read", zap.Error(err))
		}
	}
	client.agent = service.StartAgent(agentConfig)
	return client, nil
}

// Open makes a router as its settings say: by the file alone, or by versions from
// control services. end is called when the router has ended.
func Open(ctx context.Context, settings *config.Settings, log *AccessLog) (e *Edge, end func(), err error) {
	return open(ctx, settings, log, configstore.Disk{})
}

func open(ctx context.Context, settings *config.Settings, log *AccessLog, files configstore.FileSystem) (edge *Edge, end func(), err error) {
	if !settings.Follows() {
		edge, err = TakeOver(settings, log)
		return edge, func() {}, err
	}
	inherited, err := contactPredecessor(settings)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil && inherited != nil {
			inherited.Abort()
		}
	}()
	client, err := startConfigClient(settings, log, inherited, files)
	if err != nil {
		return nil, nil, err
	}
	version, err := client.FirstVersion(ctx)
	if err == nil {
		edge, err = newFromVersion(version, settings, log, inherited)
	}
	if err != nil {
		client.Close()
		return nil, nil, err
	}
	client.Attach(edge)
	return edge, client.Close, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// enqueue queues a version that is to be run. It never waits: of versions that the
// loop has not come to yet, the oldest gives way.
func (v *ConfigClient) enqueue(activation configversion.Activate) {
	for {
		select {
		case v.activations <- activation:
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
	case activation := <-v.activations:
		return &activation, nil
	default:
	}
	if v.local.Control.Start != "wait" {
		return nil, nil
	}
	v.agent.Connect()
	v.log.Log.Info("waiting for the first version", zap.Strings("services", v.local.Control.Services))
	select {
	case activation := <-v.activations:
		return &activation, nil
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
			case activation := <-v.activations:
				for edge.loop.Post(func() { edge.activateVersion(activation) }) == eventloop.ErrFull {
					time.Sleep(time.Millisecond)
				}
				edge.forwardVersion(activation.Version)
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
func (v *ConfigClient) loadCounts() (counts service.LoadCounts, err error) {
	e := <-v.attached // once a router is attached, it is there for all
	v.attached <- e
	err = e.Query(func(s *Stats, _ *engine.Core) {
		counts.Succeeded, counts.Issued = s.Served, s.Served+s.Refused+s.Failed+s.Broken
	})
	return counts, err
}

// activateVersion goes by a version from now on, on the loop: drains first, so that nothing
// new goes to who leaves; then the settings; then the members that come.
func (e *Edge) activateVersion(activation configversion.Activate) {
	var steps []configversion.Delta
	if e.settings.Router.List == "" { // else the list service's word counts
		steps = configversion.Diff(e.settings.Members, activation.Settings.Members)
	}
	apply := func(step configversion.Delta) {
		e.applyUpdate(engine.UpdateFromVersion(activation.Version.Number, step.Members, step.Kind == configversion.DeltaStarts))
	}
	if len(steps) > 0 && steps[0].Kind == configversion.DeltaDrains {
		apply(steps[0])
		steps = steps[1:]
	}
	e.nextVersion = activation.Version.Number
	actions, err := e.core.ChangeSettings(e.loop.Now(), activation.Settings, nil)
	if err != nil { // the checks let through what the module does not take
		e.log.Log.Error("version not run", zap.Int64("version", activation.Version.Number), zap.Error(err))
		return
	}
	for i := range actions {
		e.execute(actions[i])
	}
	e.settings = activation.Settings
	e.guard.applySettings(e.settings)
	for _, step := range steps {
		apply(step)
	}
	e.version = activation.Version.Number
	e.log.Log.Info("version in use", zap.Int64("version", activation.Version.Number), zap.Int("steps", len(steps)),
		zap.Bool("stale", activation.Stale))
}

// applyInitialMembers is the news of members that a router begins with: those of its settings,
// and for how long the young ones of them have been listed.
func (e *Edge) applyInitialMembers() {
	if len(e.settings.Members) == 0 || e.settings.Router.List != "" {
		return
	}
	update := engine.UpdateFromSettings(e.settings)
	update.Rev = e.version
	for i := range update.Members {
		if listedFor, listedLately := e.listedFor[update.Members[i].ID]; listedLately {
			update.Members[i].UptimeMillis = max(listedFor, 0.001)
		}
	}
	e.applyUpdate(update)
}

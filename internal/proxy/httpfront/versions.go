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

// ConfigClient follows control services for a router, on goroutines of its own, and posts each
// config version to activate to the router's loop. internal/controlplane/rollout decides which
// version that is.
type ConfigClient struct {
	local       *config.Settings
	log         *AccessLog
	store       *configstore.Store
	agent       *service.Agent
	activations chan configversion.Activate // config versions to activate, in order; the newest is never dropped
	done        chan struct{}               // closed by Close
	attached    chan *Edge                  // holds the attached router
}

const keptVersions = 8 // config versions in the store

// StartConfigClient returns a client that begins with the stored config version, if there is
// one, and then follows the control services of the router's local settings.
func StartConfigClient(local *config.Settings, log *AccessLog) (*ConfigClient, error) {
	return startConfigClient(local, log, nil, configstore.Disk{})
}

// startConfigClient is StartConfigClient for a router that may take over from a predecessor. It
// then falls back to the predecessor's config version if none is stored, and connects to no
// service until the router serves, since a service accepts one stream from each router.
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
			log.Log.Error("config store is damaged, or cannot be read or written at present", zap.Error(err))
		}
	}
	agentConfig := service.AgentConfig{Router: local.Router.Name, Services: control.Services, Seed: uint64(local.Router.Seed), Store: client.store,
		Backoff: milliseconds(control.Backoff), StateOfTheWorld: control.Protocol == "full", MaxBytes: 2 * control.MaxBytes, ReportInterval: milliseconds(control.ReportInterval),
		DialOptions: []grpc.DialOption{dial},
		Machine:     configversion.MachineSettings{Local: local, MaxBytes: control.MaxBytes, Jitter: control.Jitter, Lease: control.Lease, UnconfirmedAfter: control.UnconfirmedAfter, StaleAfter: control.StaleAfter},
		OnActivate:  client.enqueue, Warn: func(text string) { log.Log.Warn(text) }}
	if control.ReportInterval > 0 {
		agentConfig.LoadCounts = client.loadCounts
	}
	if agentConfig.Deferred = inherited != nil; agentConfig.Deferred && len(inherited.ConfigVersion) > 0 {
		if err := json.Unmarshal(inherited.ConfigVersion, &agentConfig.Initial); err != nil {
			log.Log.Warn("cannot decode the predecessor's config version", zap.Error(err))
		}
	}
	client.agent = service.StartAgent(agentConfig)
	return client, nil
}

// Open returns a router that is configured by its settings file alone or, if the settings name
// control services, by the config versions of those. The caller calls end when Run has returned.
func Open(ctx context.Context, settings *config.Settings, log *AccessLog) (e *Edge, end func(), err error) {
	return open(ctx, settings, log, configstore.Disk{})
}

func open(ctx context.Context, settings *config.Settings, log *AccessLog, files configstore.FileSystem) (edge *Edge, end func(), err error) {
	if !settings.UsesControlService() {
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

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// enqueue queues a config version for activation. It never blocks: if the queue is full, it
// drops the oldest one.
func (c *ConfigClient) enqueue(activation configversion.Activate) {
	for {
		select {
		case c.activations <- activation:
			return
		default:
		}
		select {
		case <-c.activations:
		default:
		}
	}
}

// FirstVersion returns the config version to start with: the stored one or, if the settings
// require to wait for a service, the first that a service sends. It returns nil if the router
// starts with its settings file.
func (c *ConfigClient) FirstVersion(ctx context.Context) (*configversion.Activate, error) {
	select {
	case activation := <-c.activations:
		return &activation, nil
	default:
	}
	if c.local.Control.Start != "wait" {
		return nil, nil
	}
	c.agent.Connect()
	c.log.Log.Info("waiting for the first config version", zap.Strings("services", c.local.Control.Services))
	select {
	case activation := <-c.activations:
		return &activation, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("edge: wait for the first config version: %w", ctx.Err())
	}
}

// Attach makes a router activate the config versions that arrive from now on. It is called once.
func (c *ConfigClient) Attach(edge *Edge) {
	edge.configClient = c
	c.attached <- edge
	go func() {
		for {
			select {
			case activation := <-c.activations:
				for edge.loop.Post(func() { edge.activateVersion(activation) }) == eventloop.ErrFull {
					time.Sleep(time.Millisecond)
				}
				edge.forwardVersion(activation.Version)
			case <-c.done:
				return
			}
		}
	}()
}

// Close disconnects from the services and closes the store, which keeps its config versions.
func (c *ConfigClient) Close() {
	c.agent.Close()
	close(c.done)
	if c.store != nil {
		c.store.Close()
	}
}

// releaseStore releases the store, so that a successor can open it. Config versions that arrive
// meanwhile are activated, and kept in memory.
func (c *ConfigClient) releaseStore() {
	if c != nil && c.store != nil {
		if err := c.store.ReleaseLock(); err != nil {
			c.log.Log.Error("cannot release the config store", zap.Error(err))
		}
	}
}

// reacquireStore opens the store again after a successor has failed. It repeats the attempt,
// since the successor may take a moment to end.
func (c *ConfigClient) reacquireStore() {
	if c == nil || c.store == nil {
		return
	}
	var err error
	for range 5 {
		if err = c.store.ReacquireLock(); err == nil {
			return
		}
		select {
		case <-time.After(time.Second):
		case <-c.done:
			return
		}
	}
	c.log.Log.Error("cannot reacquire the config store yet; it is retried later", zap.Error(err))
}

// loadCounts returns the numbers of finished requests for load reports. It waits until a router
// is attached.
func (c *ConfigClient) loadCounts() (counts service.LoadCounts, err error) {
	e := <-c.attached
	c.attached <- e
	err = e.Query(func(s *Stats, _ *engine.Core) {
		counts.Succeeded, counts.Issued = s.Served, s.Served+s.Refused+s.Failed+s.Broken
	})
	return counts, err
}

// activateVersion activates a config version. It applies drains first, so that no new attempt
// goes to members that leave, then the settings, and then the added members. It runs on the
// loop.
func (e *Edge) activateVersion(activation configversion.Activate) {
	var steps []configversion.Delta
	if e.settings.Router.DiscoveryAddress == "" { // otherwise the members come from the list service
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
	if err != nil { // the checks of the config version missed something that the module rejects
		e.log.Log.Error("cannot activate config version", zap.Int64("version", activation.Version.Number), zap.Error(err))
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
	e.log.Log.Info("config version activated", zap.Int64("version", activation.Version.Number), zap.Int("steps", len(steps)),
		zap.Bool("stale", activation.Stale))
}

// applyInitialMembers applies the members of the settings at the start, with the uptime of those
// that were listed only recently.
func (e *Edge) applyInitialMembers() {
	if len(e.settings.Members) == 0 || e.settings.Router.DiscoveryAddress != "" {
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

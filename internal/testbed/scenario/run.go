package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/decisionlog/replay"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/differential"
	"indigospool/internal/testbed/invariants"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// Options are the options of Run.
type Options struct {
	Self       []string  // the command that starts this program again, see Child
	Dir        string    // folder for the routers' settings and logs; empty: a temporary one, removed if the result is OK
	TrafficLog io.Writer // receives each record of the traffic log; may be nil
	Progress   io.Writer // receives progress messages; may be nil
	Routers    int       // number of routers; 0: as in the script
	Seed       int       // seed of the day; 0: as in the script
	Without    []string  // kinds of faults to leave out
	Journal    bool      // routers keep journals, which are replayed after the run
	Length     float64   // ms; 0: as in the script; the times of faults are scaled with it
}

// Result is the result of a run.
type Result struct {
	Verdicts []invariants.Verdict `json:"rules"`
	Summary  Summary              `json:"summary"`
	Steps    []VersionStep        `json:"versions,omitempty"`
	Injected []Injected           `json:"injected,omitempty"`
	Replays  []ReplayResult       `json:"replays,omitempty"`
	Dir      string               `json:"dir"`
	Records  []trafficlog.Record  `json:"-"`
}

// OK reports whether all rules were checked and kept, all journals were replayed without a
// difference, all steps with settings versions ended as expected, and each process fault
// made at least one call fail.
func (r *Result) OK() bool {
	for _, p := range r.Replays {
		if !p.Report.OK() || !p.Differential.OK() {
			return false
		}
	}
	for _, one := range r.Injected {
		if one.Failed == 0 {
			return false
		}
	}
	return invariants.AllOK(r.Verdicts) && !slices.ContainsFunc(r.Steps, func(s VersionStep) bool { return s.Failure != "" })
}

// ReplayResult holds the results of replaying a router's journal and of comparing the journal
// with the traffic log and the other programs.
type ReplayResult struct {
	Router       string               `json:"router"`
	Report       *replay.Report       `json:"report"`
	Differential *differential.Report `json:"drift"`
}

func journalPath(dir, router string) string { return filepath.Join(dir, router+".journal") }

// replayAll replays the routers' journals and compares each with the traffic log.
func replayAll(dir string, routers int, recs []trafficlog.Record) (out []ReplayResult, err error) {
	for i := range routers {
		name := fmt.Sprintf("router-%d", i+1)
		j, err := journal.OpenReader(journalPath(dir, name))
		if err != nil {
			return nil, err
		}
		r, err := replay.Run(j, nil)
		j.Close()
		if err != nil {
			return nil, fmt.Errorf("day: journal of %s: %w", name, err)
		}
		d, err := differential.Check(func() (*journal.Reader, error) { return journal.OpenReader(journalPath(dir, name)) }, recs, differential.Options{Router: name})
		if err != nil {
			return nil, fmt.Errorf("day: journal of %s: %w", name, err)
		}
		out = append(out, ReplayResult{name, r, d})
	}
	return out, nil
}

// machine is a test server or cache node of the day. Its process may be restarted.
type machine struct {
	config     testserver.Config
	member     engine.Row
	process    *process
	address    string
	faultUntil float64 // time until which chooseTargets prefers other machines, since a fault affects this one
}

// Day is a run of a day script.
type Day struct {
	script     *Script
	options    Options
	dir        string
	trafficLog *trafficlog.Writer
	random     *rand.Rand

	mu             sync.Mutex
	machines       map[string]*machine // by id
	order          []string            // the ids of machines, in the order in which they were added
	routers        []*router
	list           *testserver.ListService
	controlService *controlService // nil: the script has none
	processFaults  activeFaults
	origin         *machine
	http           *http.Client
	hotKey         atomic.Pointer[diversion]
	scan           atomic.Pointer[diversion]
	wg             sync.WaitGroup
	errs           []error
}

// diversion directs a share of the requests to other objects until a time.
type diversion struct {
	name  string  // of hotKey: the object; empty for scan, whose objects are requested once each
	share float64 // of the requests
	until float64 // see trafficlog.Now
}

// router is a router of the day. Its process may be restarted.
type router struct {
	endpoint *routerEndpoint
	settings string
	process  *process
	log      *os.File
}

func (r *router) adminAddress() string {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	return r.endpoint.admin
}

func (r *router) generation() int {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	return r.endpoint.generation
}

// Run runs a day script to its end and checks the rules.
func Run(ctx context.Context, script *Script, options Options) (*Result, error) {
	if options.Routers > 0 {
		script.Day.Routers = options.Routers
		for i := range script.Faults { // a fault affects no more routers than there are
			script.Faults[i].Routers = min(script.Faults[i].Routers, options.Routers)
		}
	}
	if options.Seed > 0 {
		script.Day.Seed = options.Seed
	}
	script.Faults = slices.DeleteFunc(script.Faults, func(t FaultSpec) bool { return contains(options.Without, t.Kind) })
	if options.Length > 0 && options.Length != script.Day.Length {
		f := options.Length / script.Day.Length
		for i := range script.Faults {
			script.Faults[i].At *= f
			script.Faults[i].Duration *= f
		}
		script.Day.Length = options.Length
	}
	d := &Day{script: script, options: options, trafficLog: trafficlog.NewKeeper(options.TrafficLog), random: rand.New(rand.NewPCG(uint64(script.Day.Seed), 0xda7)),
		machines: map[string]*machine{}, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}}
	var err error
	if d.dir = options.Dir; d.dir == "" {
		if d.dir, err = os.MkdirTemp("", "spool-scenario-"); err != nil {
			return nil, err
		}
	} else if err = os.MkdirAll(d.dir, 0o755); err != nil {
		return nil, err
	}
	defer d.killAll()
	d.trafficLog.Add(script.RuleParameters().Record())
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	if err := d.play(ctx); err != nil {
		return nil, err
	}
	d.killAll()
	if err := errors.Join(append(d.errs, d.trafficLog.Err())...); err != nil {
		return nil, err
	}
	recs := d.trafficLog.Records()
	res := &Result{Verdicts: invariants.Check(recs, script.RuleParameters()), Dir: d.dir, Records: recs}
	res.Summary = Summarize(script, recs)
	if d.controlService != nil {
		res.Steps = d.controlService.steps
	}
	res.Injected = d.processFaults.injected
	if options.Journal {
		if res.Replays, err = replayAll(d.dir, script.Day.Routers, recs); err != nil {
			return nil, err
		}
	}
	if options.Dir == "" && res.OK() {
		os.RemoveAll(d.dir)
		res.Dir = ""
	}
	return res, nil
}

func (d *Day) logProgress(format string, a ...any) {
	if d.options.Progress != nil {
		fmt.Fprintf(d.options.Progress, format+"\n", a...)
	}
}

func (d *Day) addError(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	d.errs = append(d.errs, err)
	d.mu.Unlock()
}

// startAll starts the discovery service, the control service, the test servers and the
// routers.
func (d *Day) startAll(ctx context.Context) error {
	script := d.script
	var err error
	if d.list, err = testserver.StartListService(testserver.ListServiceConfig{ID: "list", LagFrom: script.List.LagFrom, LagTo: script.List.LagTo,
		PurgeFrom: script.List.PurgeFrom, PurgeTo: script.List.PurgeTo, PurgeWindow: script.Rules.PurgeTime, InitialListAge: script.Day.StaleListAge,
		Seed: uint64(script.Day.Seed)}, d.trafficLog); err != nil {
		return err
	}
	if err := d.startControlService(ctx); err != nil {
		return err
	}
	if d.origin, err = d.addMachine(ctx, testserver.Config{ID: "origin", Role: "origin", Zone: script.Zones[0].Hub,
		Capacity: script.Origin.Capacity, Latency: script.Origin.Latency, Limit: script.Origin.Limit}); err != nil {
		return err
	}
	for i := range script.Parents.Count {
		hub := script.Zones[i%len(script.Zones)].Hub
		if _, err := d.addMachine(ctx, testserver.Config{ID: fmt.Sprintf("parent-%d", i+1), Role: "parent", Zone: hub,
			Upstream: d.origin.address, Capacity: script.Parents.Capacity, Bytes: int64(script.Parents.MB * (1 << 20)),
			Latency: script.Parents.Latency, WarmUpInitialShare: script.Rules.ParentWarmUpInitialShare, WarmUpTime: script.Rules.ParentWarmUpTime,
			OverloadFactor: script.Rules.ParentOverloadFactor, CompleteAbandonedFills: true}); err != nil {
			return err
		}
	}
	for _, z := range script.Zones {
		for i := range z.Boxes {
			if _, err := d.addMachine(ctx, testserver.Config{ID: fmt.Sprintf("%s-%d", z.Name, i+1), Role: "box", Zone: z.Name,
				Capacity: z.Capacity, Bytes: int64(z.MB * (1 << 20)), LinkIn: z.LinkCapacity / float64(z.Boxes), MaxFills: z.MaxFills,
				WarmUpInitialShare: script.Rules.WarmUpInitialShare, WarmUpTime: script.Rules.WarmUpTime, OverloadFactor: script.Rules.OverloadFactor, CompleteAbandonedFills: true}); err != nil {
				return err
			}
		}
	}
	if d.controlService != nil {
		if err := d.controlService.firstVersion(ctx); err != nil {
			return err
		}
	}
	for i := range script.Day.Routers {
		zone := script.Zones[i%len(script.Zones)].Name
		name := fmt.Sprintf("router-%d", i+1)
		r := &router{endpoint: &routerEndpoint{name: name, zone: zone}}
		r.settings = config.Print(d.routerSettings(name, zone, i))
		if err := os.WriteFile(filepath.Join(d.dir, name+".edn"), []byte(r.settings), 0o644); err != nil {
			return err
		}
		if r.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
			return err
		}
		d.routers = append(d.routers, r)
		if err := d.startRouter(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// addMachine starts a new machine and publishes it as a member.
func (d *Day) addMachine(ctx context.Context, c testserver.Config) (*machine, error) {
	st := &d.script.Stand
	c.Flow, c.FillFlow, c.FillTimeout, c.OverloadTime, c.Feedback = st.Flow, st.FillFlow, st.FillTimeout, d.script.Rules.OverloadTime, st.Feedback
	c.Seed = uint64(d.script.Day.Seed)<<16 + uint64(len(d.order))
	for _, k := range d.script.Classes {
		c.Classes = append(c.Classes, testserver.Class{Name: k.Name, KB: k.KB, Fresh: k.Fresh, Write: k.Write, Window: k.KeyWindow})
	}
	m := &machine{config: c, member: engine.Row{ID: c.ID, Kind: c.Role, Zone: c.Zone, Size: c.Capacity}}
	d.machines[c.ID] = m
	d.order = append(d.order, c.ID)
	return m, d.startMachine(ctx, m, false)
}

// startMachine starts the machine's process, again if it ran before, and publishes the member
// as serving.
func (d *Day) startMachine(ctx context.Context, m *machine, cold bool) error {
	m.member.Start++
	m.config.Start, m.config.Cold = m.member.Start, cold
	in, err := json.Marshal(m.config)
	word := ChildTestServer
	if kind := d.script.Stand.Boxes; m.config.Role == "box" && kind != "" && kind != "stand-in" {
		word = ChildBox
		folder := filepath.Join(d.dir, m.config.ID)
		if kind == "cold" {
			os.RemoveAll(folder)
		}
		if in, err = json.Marshal(cacheNodeConfig{m.config, folder}); err == nil {
			in, err = d.appendStartupFaults(m.config.ID, in)
		}
	}
	if err != nil {
		return err
	}
	p, err := startProcess(d.options.Self, word, in, os.Stderr, d.handleOutput)
	if err != nil {
		return err
	}
	m.process = p
	line, err := p.awaitFirstLine(ctx)
	if err != nil {
		return err
	}
	var up trafficlog.Record
	if err := json.Unmarshal([]byte(line), &up); err != nil || up.Event != trafficlog.Started {
		return fmt.Errorf("day: %s: unexpected first line %q", m.config.ID, line)
	}
	m.address = up.Addr
	m.member.Address, m.member.State = up.Addr, "serving"
	since := 0.0
	if cold {
		since = up.Time
	}
	d.publishMember(m.member, since)
	return nil
}

// publishMember publishes a member's state through the discovery service or, where
// settings versions list the members, through the control service.
func (d *Day) publishMember(member engine.Row, since float64) {
	if d.controlService != nil && !d.controlService.settings.FromList {
		d.controlService.setMember(member)
		return
	}
	d.list.Set(member, since)
}

// routerSettings returns the settings for a router's file.
func (d *Day) routerSettings(name, zone string, index int) *config.Settings {
	list := d.list.Addr()
	if d.controlService != nil && !d.controlService.settings.FromList {
		list = ""
	}
	c := d.script.Settings(name, zone, index, list)
	if d.script.hasRouterRestart() {
		c.Router.HotRestartSocket = d.hotRestartSocketPath(name)
	}
	if d.options.Journal {
		c.Router.Journal = journalPath(d.dir, name)
	}
	if d.controlService != nil {
		c.Control.Services, c.Control.Start = []string{d.controlService.address}, "wait"
		c.Control.Store = filepath.Join(d.dir, name+".db")
		c.Control.Protocol, c.Control.Jitter, c.Control.ReportInterval = d.controlService.settings.Protocol, d.controlService.settings.ApplyJitter, 1000
	}
	return c
}

// startRouter starts a router's process and waits until it listens.
func (d *Day) startRouter(ctx context.Context, r *router) error {
	in, err := json.Marshal(r.settings)
	if err == nil {
		in, err = d.appendStartupFaults(r.endpoint.name, in)
	}
	if err != nil {
		return err
	}
	// The start is recorded before the router can send its first attempt.
	d.trafficLog.Add(trafficlog.Record{Event: trafficlog.Started, Subject: r.endpoint.name, Role: "router", Note: r.endpoint.zone})
	p, err := startProcess(d.options.Self, ChildRouter, in, r.log, d.handleOutput)
	if err != nil {
		return err
	}
	r.process = p
	addr, err := p.awaitFirstLine(ctx)
	if err != nil {
		return fmt.Errorf("%s: %w (see %s)", r.endpoint.name, err, r.log.Name())
	}
	var client, admin string
	if _, err := fmt.Sscan(addr, &client, &admin); err != nil {
		return fmt.Errorf("day: %s: unexpected first line %q", r.endpoint.name, addr)
	}
	r.endpoint.setAddress(client, admin)
	if d.controlService != nil && !d.controlService.settings.FromList {
		d.controlService.sendRecentPurges(r)
	}
	return nil
}

// killAll kills the processes that still run.
func (d *Day) killAll() {
	d.mu.Lock()
	machines, routers := d.machines, d.routers
	d.machines, d.routers = nil, nil
	d.mu.Unlock()
	for _, r := range routers {
		if r.process != nil {
			r.process.kill()
		}
		if r.log != nil {
			r.log.Close()
		}
	}
	for _, m := range machines {
		if m.process != nil {
			m.process.kill()
		}
	}
	if d.controlService != nil && d.controlService.process != nil {
		d.controlService.process.kill()
	}
	if d.list != nil {
		d.list.Close()
	}
}

// play generates the clients' requests and injects the faults until the day's end.
func (d *Day) play(ctx context.Context) error {
	script := d.script
	sleep(ctx, script.Day.Settle)
	begin := trafficlog.Now()
	d.logProgress("%s: %d routers, %d machines, %.0f requests a second for %.0f s", script.Day.Name, len(d.routers), len(d.order),
		script.Day.Rate, script.Day.Length/1000)
	during, stop := context.WithCancel(ctx)
	defer stop()
	var arrivals sync.WaitGroup
	var sequence atomic.Int64
	share := 0.0
	routersInZone := script.routersByZone()
	for _, z := range script.Zones {
		if routersInZone[z.Name] > 0 {
			share += z.Share
		}
	}
	for i, z := range script.Zones {
		if routersInZone[z.Name] == 0 || z.Share == 0 {
			continue
		}
		c := &clients{day: d, zone: z.Name, rate: script.Day.Rate * z.Share / share, sequence: &sequence, sessions: &d.wg,
			random: rand.New(rand.NewPCG(uint64(script.Day.Seed), uint64(i)+100))}
		arrivals.Add(1)
		go func() { defer arrivals.Done(); c.run(during) }()
	}
	arrivals.Add(1)
	go func() { defer arrivals.Done(); d.purgePeriodically(during) }()
	if d.controlService != nil {
		arrivals.Add(1)
		go func() { defer arrivals.Done(); d.controlService.pushChanges(during) }()
	}
	var faults sync.WaitGroup
	list := append([]FaultSpec(nil), script.Faults...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	for n, fault := range list {
		if !sleep(ctx, begin+fault.At-trafficlog.Now()) {
			break
		}
		name := fault.name()
		rng := rand.New(rand.NewPCG(uint64(script.Day.Seed), uint64(n)+1000))
		targets := d.chooseTargets(fault, rng)
		d.logProgress("%6.1f s  %s for %.1f s: %s", (trafficlog.Now()-begin)/1000, fault.Kind, fault.Duration/1000, strings.Join(targets, " "))
		d.trafficLog.Add(trafficlog.Record{Event: trafficlog.Fault, Note: "begin " + name, Limit: fault.Duration, Source: strings.Join(targets, " ")})
		faults.Add(1)
		go func() {
			defer faults.Done()
			d.addError(d.applyFault(ctx, fault, targets, rng))
			d.trafficLog.Add(trafficlog.Record{Event: trafficlog.Fault, Note: "end " + name})
		}()
	}
	sleep(ctx, begin+script.Day.Length-trafficlog.Now())
	stop()
	arrivals.Wait()
	d.wg.Wait() // each try has a deadline, and no retries begin after the day's end
	faults.Wait()
	sleep(ctx, script.Day.Settle/4)
	return ctx.Err()
}

// sleep waits for a time in ms. It reports false if the context ended first.
func sleep(ctx context.Context, ms float64) bool {
	if ms <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(time.Duration(ms * float64(time.Millisecond))):
		return true
	case <-ctx.Done():
		return false
	}
}

// routerFor returns a random router of a zone.
func (d *Day) routerFor(zone string, rng *rand.Rand) *routerEndpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*routerEndpoint
	for _, r := range d.routers {
		if r.endpoint.zone == zone {
			list = append(list, r.endpoint)
		}
	}
	return list[rng.IntN(len(list))]
}

// chooseTargets chooses the machines that a fault affects. It prefers machines that no other
// fault affects at present.
func (d *Day) chooseTargets(fault FaultSpec, rng *rand.Rand) (targets []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := trafficlog.Now()
	choose := func(role string, n int) {
		var free, rest []string
		for _, id := range d.order {
			m := d.machines[id]
			if m.config.Role != role || fault.Zone != "" && role == "box" && m.config.Zone != fault.Zone {
				continue
			}
			if m.faultUntil > now {
				rest = append(rest, id)
			} else {
				free = append(free, id)
			}
		}
		rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
		for _, id := range append(free, rest...) {
			if len(targets) < n {
				targets = append(targets, id)
				d.machines[id].faultUntil = now + fault.Duration + fault.DrainNotice + 1000
			}
		}
	}
	switch {
	case fault.Kind == ZoneLoss && fault.Zone == "":
		choose("parent", d.script.Parents.Count)
	case fault.Kind == ZoneLoss:
		choose("box", 1<<20)
	case contains(controlKinds, fault.Kind):
	case fault.Kind == OriginSlow || fault.Origin:
		targets = append(targets, "origin")
	case fault.Kind == SlowReaders || fault.Kind == SlowSenders:
		targets = append(targets, fmt.Sprint(fault.Clients, " clients"))
	case fault.Kind == RouterKill || fault.Kind == RouterRestart:
		for _, i := range rng.Perm(len(d.routers))[:fault.Routers] {
			targets = append(targets, d.routers[i].endpoint.name)
		}
	case contains(processKinds, fault.Kind): // other faults may affect the same processes at the same time
		targets = d.chooseProcesses(fault, rng)
	default:
		choose("box", fault.Boxes)
		n := len(targets)
		choose("parent", n+fault.Parents)
	}
	return targets
}

// applyFault carries out a fault and returns at its end.
func (d *Day) applyFault(ctx context.Context, fault FaultSpec, targets []string, rng *rand.Rand) error {
	now := trafficlog.Now()
	if contains(controlKinds, fault.Kind) {
		return d.controlService.applyFault(ctx, fault)
	}
	if contains(processKinds, fault.Kind) {
		return d.injectProcessFault(ctx, fault, targets)
	}
	switch fault.Kind {
	case Crash, ZoneLoss:
		return d.forEachMachine(targets, func(m *machine) error {
			d.killMachine(m, "removed")
			sleep(ctx, fault.Duration)
			return d.startMachine(ctx, m, true)
		})
	case testserver.Vanish: // stops answering, then starts again cold and empty; it stays listed as serving
		return d.forEachMachine(targets, func(m *machine) error {
			if err := d.sendFault(m, testserver.Fault{Kind: fault.Kind, For: fault.Duration}); err != nil {
				return err
			}
			sleep(ctx, fault.Duration)
			d.killMachine(m, "")
			return d.startMachine(ctx, m, true)
		})
	case Drain:
		return d.forEachMachine(targets, func(m *machine) error {
			d.setState(m, "draining")
			sleep(ctx, fault.Duration)
			d.setState(m, "serving")
			return nil
		})
	case Preempt:
		return d.forEachMachine(targets, func(m *machine) error {
			d.setState(m, "draining")
			sleep(ctx, fault.DrainNotice)
			d.killMachine(m, "removed")
			sleep(ctx, fault.Duration)
			return d.startMachine(ctx, m, true)
		})
	case SlowReaders, SlowSenders:
		return d.runSlowClients(ctx, fault)
	case RouterRestart:
		return d.restartAll(ctx, targets)
	case RouterKill:
		var wg sync.WaitGroup
		for _, name := range targets {
			for _, r := range d.routers {
				if r.endpoint.name != name {
					continue
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					d.trafficLog.Add(trafficlog.Record{Event: trafficlog.Killed, Subject: name, Role: "router"})
					r.endpoint.setAddress("", "")
					r.process.kill()
					sleep(ctx, fault.Duration)
					d.addError(d.startRouter(ctx, r))
				}()
			}
		}
		wg.Wait()
		return nil
	case Flush:
		n := max(int(fault.Share*float64(d.script.Day.Groups)), 1)
		for _, g := range rng.Perm(d.script.Day.Groups)[:min(n, d.script.Day.Groups)] {
			if err := d.purge(ctx, "", g); err != nil {
				return err
			}
		}
		return nil
	case HotKey:
		d.hotKey.Store(&diversion{name: fmt.Sprintf("hot%d", int(fault.At)), share: fault.Share, until: now + fault.Duration})
	case Scan:
		d.scan.Store(&diversion{share: fault.Share, until: now + fault.Duration})
	case ListDisconnect:
		d.list.CutStreams("")
		return nil
	case ListRollback:
		d.list.RollBackRevision(5)
		d.list.CutStreams("")
		sleep(ctx, fault.Duration)
		d.list.RollBackRevision(0)
		d.list.CutStreams("")
		return nil
	case ListDown:
		d.list.RejectStreams(fault.Duration)
		d.list.CutStreams("")
		return nil
	case OriginSlow:
		return d.sendFault(d.origin, testserver.Fault{Kind: testserver.Slow, For: fault.Duration, Factor: fault.Factor})
	default:
		return d.forEachMachine(targets, func(m *machine) error {
			return d.sendFault(m, testserver.Fault{Kind: fault.Kind, For: fault.Duration, Factor: fault.Factor, Share: fault.Share, Every: fault.PauseInterval, Length: fault.PauseLength})
		})
	}
	return nil
}

// forEachMachine calls f concurrently for each of the machines.
func (d *Day) forEachMachine(ids []string, f func(*machine) error) error {
	errs := make([]error, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		m := d.machine(id)
		if m == nil {
			continue
		}
		wg.Add(1)
		go func() { defer wg.Done(); errs[i] = f(m) }()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (d *Day) machine(id string) *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machines[id]
}

// killMachine kills the machine's process by SIGKILL. If state is not empty, it publishes
// the member with that state.
func (d *Day) killMachine(m *machine, state string) {
	d.trafficLog.Add(trafficlog.Record{Event: trafficlog.Killed, Subject: m.config.ID, Role: m.config.Role, Start: m.config.Start})
	m.process.kill()
	if state != "" {
		d.setState(m, state)
	}
}

func (d *Day) setState(m *machine, state string) {
	m.member.State = state
	d.publishMember(m.member, 0)
}

func (d *Day) post(ctx context.Context, m *machine, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.address+path, strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	if err := fetchJSON(d.http, req, out); err != nil {
		return fmt.Errorf("day: %s: %w", m.config.ID, err)
	}
	return nil
}

// sendFault has a test server carry out a fault. It is not canceled at the day's end.
func (d *Day) sendFault(m *machine, f testserver.Fault) error {
	return d.post(context.Background(), m, "/-/fault", f, nil)
}

type purgeRequest struct {
	Object string  `json:"object"`
	Group  int     `json:"group"`
	Made   float64 `json:"made"`
}

// purge makes a purge at the origin and informs the routers. Each cache is sent the purge
// after a delay of its own, at most 0.9 times PurgeTime.
func (d *Day) purge(ctx context.Context, object string, group int) error {
	w := purgeRequest{Object: object, Group: group}
	if err := d.post(context.Background(), d.origin, "/-/purge", w, &w); err != nil {
		return err
	}
	if d.controlService != nil && !d.controlService.settings.FromList {
		d.controlService.sendPurge(ctx, object, group, w.Made)
	} else {
		d.list.Purge(object, group, w.Made)
	}
	for i, id := range d.order {
		m := d.machine(id)
		if m == nil || m == d.origin {
			continue
		}
		lag := d.script.Rules.PurgeTime * float64(i+1) / float64(len(d.order)+1) * 0.9
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			if !sleep(ctx, lag) {
				return
			}
			err := d.retryDuringFolderFault(ctx, id, func() error { return d.post(context.Background(), m, "/-/purge", w, nil) })
			if errors.Is(err, errNotRecovered) { // a machine that is down has no copies to drop
				d.addError(fmt.Errorf("%s and a purge: %w", id, err))
			}
		}()
	}
	return nil
}

// purgePeriodically purges single objects at random times until the context ends.
func (d *Day) purgePeriodically(ctx context.Context) {
	if d.script.Day.PurgeRate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(uint64(d.script.Day.Seed), 77))
	for sleep(ctx, rng.ExpFloat64()*1000/d.script.Day.PurgeRate) {
		k := &d.script.Classes[rng.IntN(len(d.script.Classes))]
		if k.Write {
			continue
		}
		name := "o0"
		if k.Objects > 1 {
			name = fmt.Sprintf("o%d", rand.NewZipf(rng, k.Zipf, 1, uint64(k.Objects-1)).Uint64())
		}
		g := groupOf(k.Name+name, d.script.Day.Groups)
		path := fmt.Sprintf("/%s/%d/%s", k.Name, g, name)
		switch {
		case k.PageFragments > 0:
			path = d.script.pagePath(k, name)
		case d.script.isFragment(k):
			name = testserver.FragmentName(rand.NewZipf(rng, k.Zipf, 1, uint64(max(k.Objects-1, 1))).Uint64())
			g = testserver.GroupOf(k.Name + name)
			path = fmt.Sprintf("/%s/%d/%s", k.Name, g, name)
		}
		if err := d.purge(ctx, path, g); err != nil && ctx.Err() == nil {
			d.addError(err)
			return
		}
	}
}

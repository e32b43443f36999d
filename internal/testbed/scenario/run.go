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

// Options are how a day is played.
type Options struct {
	Self    []string  // the command that runs this program again, see Child
	Dir     string    // where the routers' settings and logs go; empty: a temporary folder, removed when all went well
	Tap     io.Writer // also gets each record; nil: nowhere
	Say     io.Writer // what happens, as it happens; nil: nowhere
	Routers int       // above 0: instead of the day's
	Seed    int       // above 0: instead of the day's
	Without []string  // kinds of troubles that are left out
	Journal bool      // routers keep journals, which are replayed after the day
	Length  float64   // above 0: instead of the day's; troubles move with it
}

// Result is a played day.
type Result struct {
	Verdicts []invariants.Verdict `json:"rules"`
	Summary  Summary              `json:"summary"`
	Steps    []Step               `json:"versions,omitempty"`
	Injected []Injected           `json:"injected,omitempty"`
	Replays  []Replayed           `json:"replays,omitempty"`
	Dir      string               `json:"dir"`
	Records  []trafficlog.Record  `json:"-"`
}

// OK reports a day whose rules were all looked at and kept, whose steps with versions
// all came out as they should, and whose troubles inside processes all had an effect.
func (r *Result) OK() bool {
	for _, p := range r.Replays {
		if !p.Report.OK() || !p.Drift.OK() {
			return false
		}
	}
	for _, one := range r.Injected {
		if one.Failed == 0 {
			return false
		}
	}
	return invariants.AllOK(r.Verdicts) && !slices.ContainsFunc(r.Steps, func(s Step) bool { return s.Wrong != "" })
}

// Replayed is what the replay of a router's journal found, and what comparing it
// with the sockets and the other programs did.
type Replayed struct {
	Router string               `json:"router"`
	Report *replay.Report       `json:"report"`
	Drift  *differential.Report `json:"drift"`
}

func journalOf(dir, router string) string { return filepath.Join(dir, router+".journal") }

func replayAll(dir string, routers int, recs []trafficlog.Record) (out []Replayed, err error) {
	for i := range routers {
		name := fmt.Sprintf("router-%d", i+1)
		j, err := journal.OpenReader(journalOf(dir, name))
		if err != nil {
			return nil, err
		}
		r, err := replay.Run(j, nil)
		j.Close()
		if err != nil {
			return nil, fmt.Errorf("day: journal of %s: %w", name, err)
		}
		d, err := differential.Check(func() (*journal.Reader, error) { return journal.OpenReader(journalOf(dir, name)) }, recs, differential.Options{Router: name})
		if err != nil {
			return nil, fmt.Errorf("day: journal of %s: %w", name, err)
		}
		out = append(out, Replayed{name, r, d})
	}
	return out, nil
}

// machine is a stand-in of the day, over its lives.
type machine struct {
	cfg  testserver.Config
	row  engine.Row
	proc *process
	addr string
	busy float64 // until when a trouble has it
}

// Day is a day being played.
type Day struct {
	s   *Script
	o   Options
	dir string
	tap *trafficlog.Writer
	rng *rand.Rand

	mu       sync.Mutex
	machines map[string]*machine
	order    []string
	routers  []*router
	list     *testserver.List
	control  *controlled // nil: the day has none
	faults   faultsInForce
	origin   *machine
	http     *http.Client
	hot      atomic.Pointer[lure]
	scan     atomic.Pointer[lure]
	wg       sync.WaitGroup
	errs     []error
}

// lure draws a share of the requests for a while.
type lure struct {
	name  string
	share float64
	until float64
}

type router struct {
	at       *routerAt
	settings string
	proc     *process
	log      *os.File
}

func (r *router) adminAt() string {
	r.at.mu.Lock()
	defer r.at.mu.Unlock()
	return r.at.admin
}

func (r *router) lives() int {
	r.at.mu.Lock()
	defer r.at.mu.Unlock()
	return r.at.life
}

// Run plays a day to its end and judges it.
func Run(ctx context.Context, s *Script, o Options) (*Result, error) {
	if o.Routers > 0 {
		s.Day.Routers = o.Routers
		for i := range s.Troubles { // "all of them" stays so
			s.Troubles[i].Routers = min(s.Troubles[i].Routers, o.Routers)
		}
	}
	if o.Seed > 0 {
		s.Day.Seed = o.Seed
	}
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t Trouble) bool { return contains(o.Without, t.Kind) })
	if o.Length > 0 && o.Length != s.Day.Length {
		f := o.Length / s.Day.Length
		for i := range s.Troubles {
			s.Troubles[i].At *= f
			s.Troubles[i].For *= f
		}
		s.Day.Length = o.Length
	}
	d := &Day{s: s, o: o, tap: trafficlog.NewKeeper(o.Tap), rng: rand.New(rand.NewPCG(uint64(s.Day.Seed), 0xda7)),
		machines: map[string]*machine{}, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}}
	var err error
	if d.dir = o.Dir; d.dir == "" {
		if d.dir, err = os.MkdirTemp("", "spool-scenario-"); err != nil {
			return nil, err
		}
	} else if err = os.MkdirAll(d.dir, 0o755); err != nil {
		return nil, err
	}
	defer d.end()
	d.tap.Add(s.Figures().Record())
	if err := d.begin(ctx); err != nil {
		return nil, err
	}
	if err := d.play(ctx); err != nil {
		return nil, err
	}
	d.end()
	if err := errors.Join(append(d.errs, d.tap.Err())...); err != nil {
		return nil, err
	}
	recs := d.tap.Records()
	res := &Result{Verdicts: invariants.Check(recs, s.Figures()), Dir: d.dir, Records: recs}
	res.Summary = Summarize(s, recs)
	if d.control != nil {
		res.Steps = d.control.steps
	}
	res.Injected = d.faults.injected
	if o.Journal {
		if res.Replays, err = replayAll(d.dir, s.Day.Routers, recs); err != nil {
			return nil, err
		}
	}
	if o.Dir == "" && res.OK() {
		os.RemoveAll(d.dir)
		res.Dir = ""
	}
	return res, nil
}

func (d *Day) say(format string, a ...any) {
	if d.o.Say != nil {
		fmt.Fprintf(d.o.Say, format+"\n", a...)
	}
}

func (d *Day) problem(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	d.errs = append(d.errs, err)
	d.mu.Unlock()
}

// begin starts list, stand-ins and routers.
func (d *Day) begin(ctx context.Context) error {
	s := d.s
	var err error
	if d.list, err = testserver.StartList(testserver.ListConfig{ID: "list", LagFrom: s.List.LagFrom, LagTo: s.List.LagTo,
		PurgeFrom: s.List.PurgeFrom, PurgeTo: s.List.PurgeTo, PurgeTakes: s.Rules.PurgeTime, StaleOnStart: s.Day.StaleStart,
		Seed: uint64(s.Day.Seed)}, d.tap); err != nil {
		return err
	}
	if err := d.beginControl(ctx); err != nil {
		return err
	}
	if d.origin, err = d.add(ctx, testserver.Config{ID: "origin", Role: "origin", Zone: s.Zones[0].Hub,
		Capacity: s.Origin.Cap, Latency: s.Origin.Latency, Limit: s.Origin.Limit}); err != nil {
		return err
	}
	for i := range s.Parents.Count {
		hub := s.Zones[i%len(s.Zones)].Hub
		if _, err := d.add(ctx, testserver.Config{ID: fmt.Sprintf("parent-%d", i+1), Role: "parent", Zone: hub,
			Upstream: d.origin.addr, Capacity: s.Parents.Cap, Bytes: int64(s.Parents.MB * (1 << 20)),
			Latency: s.Parents.Latency, ColdFrom: s.Rules.ParentWarmUpInitialShare, ColdTime: s.Rules.ParentWarmUpTime,
			Fall: s.Rules.ParentOverloadFactor, RunOn: true}); err != nil {
			return err
		}
	}
	for _, z := range s.Zones {
		for i := range z.Boxes {
			if _, err := d.add(ctx, testserver.Config{ID: fmt.Sprintf("%s-%d", z.Name, i+1), Role: "box", Zone: z.Name,
				Capacity: z.Cap, Bytes: int64(z.MB * (1 << 20)), LinkIn: z.Link / float64(z.Boxes), MaxFills: z.Fills,
				ColdFrom: s.Rules.WarmUpInitialShare, ColdTime: s.Rules.WarmUpTime, Fall: s.Rules.OverloadFactor, RunOn: true}); err != nil {
				return err
			}
		}
	}
	if d.control != nil {
		if err := d.control.firstVersion(ctx); err != nil {
			return err
		}
	}
	for i := range s.Day.Routers {
		zone := s.Zones[i%len(s.Zones)].Name
		name := fmt.Sprintf("router-%d", i+1)
		r := &router{at: &routerAt{name: name, zone: zone}}
		r.settings = config.Print(d.settings(name, zone, i))
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

// add starts a machine and lists it.
func (d *Day) add(ctx context.Context, c testserver.Config) (*machine, error) {
	st := &d.s.Stand
	c.Flow, c.FillFlow, c.FillWait, c.FallTime, c.Feedback = st.Flow, st.FillFlow, st.FillWait, d.s.Rules.OverloadTime, st.Feedback
	c.Seed = uint64(d.s.Day.Seed)<<16 + uint64(len(d.order))
	for _, k := range d.s.Classes {
		c.Classes = append(c.Classes, testserver.Class{Name: k.Name, KB: k.KB, Fresh: k.Fresh, Write: k.Write, Window: k.Window})
	}
	m := &machine{cfg: c, row: engine.Row{ID: c.ID, Kind: c.Role, Zone: c.Zone, Size: c.Capacity}}
	d.machines[c.ID] = m
	d.order = append(d.order, c.ID)
	return m, d.startMachine(ctx, m, false)
}

// startMachine starts a machine's next life and tells the list of it.
func (d *Day) startMachine(ctx context.Context, m *machine, cold bool) error {
	m.row.Start++
	m.cfg.Start, m.cfg.Cold = m.row.Start, cold
	in, err := json.Marshal(m.cfg)
	word := ChildStand
	if kind := d.s.Stand.Boxes; m.cfg.Role == "box" && kind != "" && kind != "stand-in" {
		word = ChildBox
		folder := filepath.Join(d.dir, m.cfg.ID)
		if kind == "cold" {
			os.RemoveAll(folder)
		}
		if in, err = json.Marshal(boxConfig{m.cfg, folder}); err == nil {
			in, err = d.withFaults(m.cfg.ID, in)
		}
	}
	if err != nil {
		return err
	}
	p, err := start(d.o.Self, word, in, os.Stderr, d.heard)
	if err != nil {
		return err
	}
	m.proc = p
	line, err := p.awaitFirst(ctx)
	if err != nil {
		return err
	}
	var up trafficlog.Record
	if err := json.Unmarshal([]byte(line), &up); err != nil || up.Event != trafficlog.Started {
		return fmt.Errorf("day: %s began with %q", m.cfg.ID, line)
	}
	m.addr = up.Addr
	m.row.Address, m.row.State = up.Addr, "serving"
	since := 0.0
	if cold {
		since = up.Time
	}
	d.listed(m.row, since)
	return nil
}

// listed is news of a member, by the list service or by versions.
func (d *Day) listed(row engine.Row, since float64) {
	if d.control != nil && !d.control.form.FromList {
		d.control.set(row)
		return
	}
	d.list.Set(row, since)
}

// settings are what a router's file says.
func (d *Day) settings(name, zone string, me int) *config.Settings {
	list := d.list.Addr()
	if d.control != nil && !d.control.form.FromList {
		list = ""
	}
	c := d.s.Settings(name, zone, me, list)
	if d.s.restarts() {
		c.Router.HotRestartSocket = d.handoverOf(name)
	}
	if d.o.Journal {
		c.Router.Journal = journalOf(d.dir, name)
	}
	if d.control != nil {
		c.Control.Services, c.Control.Start = []string{d.control.addr}, "wait"
		c.Control.Store = filepath.Join(d.dir, name+".db")
		c.Control.Protocol, c.Control.Jitter, c.Control.ReportInterval = d.control.form.Protocol, d.control.form.Spread, 1000
	}
	return c
}

func (d *Day) startRouter(ctx context.Context, r *router) error {
	in, err := json.Marshal(r.settings)
	if err == nil {
		in, err = d.withFaults(r.at.name, in)
	}
	if err != nil {
		return err
	}
	// known before its first attempt can be: a new life begins here
	d.tap.Add(trafficlog.Record{Event: trafficlog.Started, Subject: r.at.name, Role: "router", Note: r.at.zone})
	p, err := start(d.o.Self, ChildRouter, in, r.log, d.heard)
	if err != nil {
		return err
	}
	r.proc = p
	addr, err := p.awaitFirst(ctx)
	if err != nil {
		return fmt.Errorf("%s: %w (see %s)", r.at.name, err, r.log.Name())
	}
	var client, admin string
	if _, err := fmt.Sscan(addr, &client, &admin); err != nil {
		return fmt.Errorf("day: %s began with %q", r.at.name, addr)
	}
	r.at.moved(client, admin)
	if d.control != nil && !d.control.form.FromList {
		d.control.recentPurges(r)
	}
	return nil
}

// end kills what still runs.
func (d *Day) end() {
	d.mu.Lock()
	machines, routers := d.machines, d.routers
	d.machines, d.routers = nil, nil
	d.mu.Unlock()
	for _, r := range routers {
		if r.proc != nil {
			r.proc.kill()
		}
		if r.log != nil {
			r.log.Close()
		}
	}
	for _, m := range machines {
		if m.proc != nil {
			m.proc.kill()
		}
	}
	if d.control != nil && d.control.proc != nil {
		d.control.proc.kill()
	}
	if d.list != nil {
		d.list.Close()
	}
}

// play lets clients come and troubles happen, to the day's end.
func (d *Day) play(ctx context.Context) error {
	s := d.s
	sleep(ctx, s.Day.Settle)
	begin := trafficlog.Now()
	d.say("%s: %d routers, %d machines, %.0f requests a second for %.0f s", s.Day.Name, len(d.routers), len(d.order),
		s.Day.Rate, s.Day.Length/1000)
	during, stop := context.WithCancel(ctx)
	defer stop()
	var arrivals sync.WaitGroup
	var seq atomic.Int64
	share := 0.0
	served := s.routersByZone()
	for _, z := range s.Zones {
		if served[z.Name] > 0 {
			share += z.Share
		}
	}
	for i, z := range s.Zones {
		if served[z.Name] == 0 || z.Share == 0 {
			continue
		}
		c := &clients{d: d, zone: z.Name, rate: s.Day.Rate * z.Share / share, seq: &seq, wg: &d.wg,
			rng: rand.New(rand.NewPCG(uint64(s.Day.Seed), uint64(i)+100))}
		arrivals.Add(1)
		go func() { defer arrivals.Done(); c.run(during) }()
	}
	arrivals.Add(1)
	go func() { defer arrivals.Done(); d.purgeAlong(during) }()
	if d.control != nil {
		arrivals.Add(1)
		go func() { defer arrivals.Done(); d.control.along(during) }()
	}
	var troubles sync.WaitGroup
	list := append([]Trouble(nil), s.Troubles...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	for n, t := range list {
		if !sleep(ctx, begin+t.At-trafficlog.Now()) {
			break
		}
		name := t.name()
		rng := rand.New(rand.NewPCG(uint64(s.Day.Seed), uint64(n)+1000))
		met := d.pick(t, rng)
		d.say("%6.1f s  %s for %.1f s: %s", (trafficlog.Now()-begin)/1000, t.Kind, t.For/1000, strings.Join(met, " "))
		d.tap.Add(trafficlog.Record{Event: trafficlog.Fault, Note: "begin " + name, Limit: t.For, Source: strings.Join(met, " ")})
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			d.problem(d.trouble(ctx, t, met, rng))
			d.tap.Add(trafficlog.Record{Event: trafficlog.Fault, Note: "end " + name})
		}()
	}
	sleep(ctx, begin+s.Day.Length-trafficlog.Now())
	stop()
	arrivals.Wait()
	d.wg.Wait() // each try has its limit, and repeats end with the day
	troubles.Wait()
	sleep(ctx, s.Day.Settle/4)
	return ctx.Err()
}

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

// routerFor is a router of a zone.
func (d *Day) routerFor(zone string, rng *rand.Rand) *routerAt {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*routerAt
	for _, r := range d.routers {
		if r.at.zone == zone {
			list = append(list, r.at)
		}
	}
	return list[rng.IntN(len(list))]
}

// pick says which machines a trouble meets; one that another trouble has is
// passed over, unless there are no others.
func (d *Day) pick(t Trouble, rng *rand.Rand) (met []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := trafficlog.Now()
	choose := func(role string, n int) {
		var free, rest []string
		for _, id := range d.order {
			m := d.machines[id]
			if m.cfg.Role != role || t.Zone != "" && role == "box" && m.cfg.Zone != t.Zone {
				continue
			}
			if m.busy > now {
				rest = append(rest, id)
			} else {
				free = append(free, id)
			}
		}
		rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
		for _, id := range append(free, rest...) {
			if len(met) < n {
				met = append(met, id)
				d.machines[id].busy = now + t.For + t.Notice + 1000
			}
		}
	}
	switch {
	case t.Kind == ZoneLoss && t.Zone == "":
		choose("parent", d.s.Parents.Count)
	case t.Kind == ZoneLoss:
		choose("box", 1<<20)
	case contains(controlKinds, t.Kind):
	case t.Kind == OriginSlow || t.Origin:
		met = append(met, "origin")
	case t.Kind == SlowReaders || t.Kind == SlowAskers:
		met = append(met, fmt.Sprint(t.Clients, " clients"))
	case t.Kind == RouterKill || t.Kind == RouterRestart:
		for _, i := range rng.Perm(len(d.routers))[:t.Routers] {
			met = append(met, d.routers[i].at.name)
		}
	case contains(processKinds, t.Kind): // kills and drains meet these as others
		met = d.pickProcesses(t, rng)
	default:
		choose("box", t.Boxes)
		n := len(met)
		choose("parent", n+t.Parents)
	}
	return met
}

// trouble carries one trouble out, to its end.
func (d *Day) trouble(ctx context.Context, t Trouble, met []string, rng *rand.Rand) error {
	now := trafficlog.Now()
	if contains(controlKinds, t.Kind) {
		return d.control.trouble(ctx, t)
	}
	if contains(processKinds, t.Kind) {
		return d.inject(ctx, t, met)
	}
	switch t.Kind {
	case Crash, ZoneLoss:
		return d.each(met, func(m *machine) error {
			d.killMachine(m, "removed")
			sleep(ctx, t.For)
			return d.startMachine(ctx, m, true)
		})
	case testserver.Vanish: // silent, and then back cold and empty; the list sees a process all the while
		return d.each(met, func(m *machine) error {
			if err := d.fault(m, testserver.Fault{Kind: t.Kind, For: t.For}); err != nil {
				return err
			}
			sleep(ctx, t.For)
			d.killMachine(m, "")
			return d.startMachine(ctx, m, true)
		})
	case Drain:
		return d.each(met, func(m *machine) error {
			d.setState(m, "draining")
			sleep(ctx, t.For)
			d.setState(m, "serving")
			return nil
		})
	case Preempt:
		return d.each(met, func(m *machine) error {
			d.setState(m, "draining")
			sleep(ctx, t.Notice)
			d.killMachine(m, "removed")
			sleep(ctx, t.For)
			return d.startMachine(ctx, m, true)
		})
	case SlowReaders, SlowAskers:
		return d.sluggish(ctx, t)
	case RouterRestart:
		return d.restartAll(ctx, met)
	case RouterKill:
		var wg sync.WaitGroup
		for _, name := range met {
			for _, r := range d.routers {
				if r.at.name != name {
					continue
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					d.tap.Add(trafficlog.Record{Event: trafficlog.Killed, Subject: name, Role: "router"})
					r.at.moved("", "")
					r.proc.kill()
					sleep(ctx, t.For)
					d.problem(d.startRouter(ctx, r))
				}()
			}
		}
		wg.Wait()
		return nil
	case Flush:
		n := max(int(t.Share*float64(d.s.Day.Groups)), 1)
		for _, g := range rng.Perm(d.s.Day.Groups)[:min(n, d.s.Day.Groups)] {
			if err := d.purge(ctx, "", g); err != nil {
				return err
			}
		}
		return nil
	case HotKey:
		d.hot.Store(&lure{name: fmt.Sprintf("hot%d", int(t.At)), share: t.Share, until: now + t.For})
	case Scan:
		d.scan.Store(&lure{share: t.Share, until: now + t.For})
	case ListCut:
		d.list.Cut("")
		return nil
	case ListBack:
		d.list.SetBack(5)
		d.list.Cut("")
		sleep(ctx, t.For)
		d.list.SetBack(0)
		d.list.Cut("")
		return nil
	case ListDown:
		d.list.Down(t.For)
		d.list.Cut("")
		return nil
	case OriginSlow:
		return d.fault(d.origin, testserver.Fault{Kind: testserver.Slow, For: t.For, Factor: t.Factor})
	default:
		return d.each(met, func(m *machine) error {
			return d.fault(m, testserver.Fault{Kind: t.Kind, For: t.For, Factor: t.Factor, Share: t.Share, Every: t.Every, Length: t.Length})
		})
	}
	return nil
}

// each does something to several machines at once.
func (d *Day) each(ids []string, f func(*machine) error) error {
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

// killMachine kills a machine by SIGKILL; state, if given, is what the list says of it.
func (d *Day) killMachine(m *machine, state string) {
	d.tap.Add(trafficlog.Record{Event: trafficlog.Killed, Subject: m.cfg.ID, Role: m.cfg.Role, Start: m.cfg.Start})
	m.proc.kill()
	if state != "" {
		d.setState(m, state)
	}
}

func (d *Day) setState(m *machine, state string) {
	m.row.State = state
	d.listed(m.row, 0)
}

func (d *Day) post(ctx context.Context, m *machine, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.addr+path, strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	if err := fetchJSON(d.http, req, out); err != nil {
		return fmt.Errorf("day: %s: %w", m.cfg.ID, err)
	}
	return nil
}

// fault tells a machine of its trouble, also while a day is being ended.
func (d *Day) fault(m *machine, f testserver.Fault) error {
	return d.post(context.Background(), m, "/-/fault", f, nil)
}

type purgeWord struct {
	Object string  `json:"object"`
	Group  int     `json:"group"`
	Made   float64 `json:"made"`
}

// purge makes a purge at the origin, has the list tell of it, and caches drop
// their copies in their own time.
func (d *Day) purge(ctx context.Context, object string, group int) error {
	w := purgeWord{Object: object, Group: group}
	if err := d.post(context.Background(), d.origin, "/-/purge", w, &w); err != nil {
		return err
	}
	if d.control != nil && !d.control.form.FromList {
		d.control.tellPurge(ctx, object, group, w.Made)
	} else {
		d.list.Purge(object, group, w.Made)
	}
	for i, id := range d.order {
		m := d.machine(id)
		if m == nil || m == d.origin {
			continue
		}
		lag := d.s.Rules.PurgeTime * float64(i+1) / float64(len(d.order)+1) * 0.9
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			if !sleep(ctx, lag) {
				return
			}
			err := d.untilKept(ctx, id, func() error { return d.post(context.Background(), m, "/-/purge", w, nil) })
			if errors.Is(err, errNotRecovered) { // one that is down has nothing to drop
				d.problem(fmt.Errorf("%s and a purge: %w", id, err))
			}
		}()
	}
	return nil
}

// purgeAlong purges single objects all day.
func (d *Day) purgeAlong(ctx context.Context) {
	if d.s.Day.Purges <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(uint64(d.s.Day.Seed), 77))
	for sleep(ctx, rng.ExpFloat64()*1000/d.s.Day.Purges) {
		k := &d.s.Classes[rng.IntN(len(d.s.Classes))]
		if k.Write {
			continue
		}
		name := "o0"
		if k.Objects > 1 {
			name = fmt.Sprintf("o%d", rand.NewZipf(rng, k.Zipf, 1, uint64(k.Objects-1)).Uint64())
		}
		g := groupOf(k.Name+name, d.s.Day.Groups)
		path := fmt.Sprintf("/%s/%d/%s", k.Name, g, name)
		switch {
		case k.Pages > 0:
			path = d.s.pagePath(k, name)
		case d.s.isFragment(k):
			name = testserver.FragmentName(rand.NewZipf(rng, k.Zipf, 1, uint64(max(k.Objects-1, 1))).Uint64())
			g = testserver.GroupOf(k.Name + name)
			path = fmt.Sprintf("/%s/%d/%s", k.Name, g, name)
		}
		if err := d.purge(ctx, path, g); err != nil && ctx.Err() == nil {
			d.problem(err)
			return
		}
	}
}

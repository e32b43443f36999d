package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/trafficlog"
)

// ControlSettings has the routers of a day follow a control service, a process of
// its own. Spans are in ms.
type ControlSettings struct {
	Place              config.Place
	On                 bool    `edn:"on"`
	FromList           bool    `edn:"from-list"`                               // members come from the list service, not from versions
	Protocol           string  `edn:"protocol" def:"delta" oneof:"delta full"` // of the stream
	StageTime          float64 `edn:"hold" def:"400" min:"1"`                  // of a stage
	ApplyJitter        float64 `edn:"spread" def:"200" min:"1"`                // of the uses of a version
	ConvergenceTimeout float64 `edn:"level" def:"8000" min:"100"`              // within which the fleet must be level again
	StreamsPerSecond   float64 `edn:"per-second" def:"100" min:"0.1"`          // streams that may begin
	PurgeFrom          float64 `edn:"purge-from" def:"50" min:"0"`             // of versions: purges reach each router after so long
	PurgeTo            float64 `edn:"purge-to" def:"300" min:"0"`              //
}

// Troubles with versions. Each is a step that waits for what the fleet should be
// like then, and fails the day where it is not.
const (
	VersionGood    = "version-good"    // other limits, by stages
	VersionBad     = "version-bad"     // names a draining box as a fill source: routers refuse it, and it is halted
	VersionRepeat  = "version-repeat"  // the same content again, under a new number
	ControlDown    = "control-down"    // the service is killed, and starts again from its store
	ControlFlap    = "control-flap"    // the same every so often
	ControlStopped = "control-stopped" // the process stands still
	ControlOlder   = "control-older"   // it is killed and comes back with an older store
)

var controlKinds = []string{VersionGood, VersionBad, VersionRepeat, ControlDown, ControlFlap, ControlStopped, ControlOlder}

// VersionStep is what became of a trouble with versions.
type VersionStep struct {
	Name       string  `json:"name"`
	DurationMS float64 `json:"took_ms"` // until the fleet was as it should be
	Outcome    string  `json:"until"`
	Failure    string  `json:"wrong,omitempty"` // in what it was not
}

// controlService is the day's control service and what routers are to be told.
type controlService struct {
	d            *Day
	settings     ControlSettings
	process      *process
	address      string
	adminAddress string
	store        string
	http         *http.Client

	mu           sync.Mutex
	members      map[string]engine.Row
	versionCount int // a limit that changes with each good version
	changed      chan struct{}
	steps        []VersionStep
	stepMu       sync.Mutex // one step at a time
	purges       []madePurge
}

type madePurge struct {
	object string
	group  int
	made   float64
}

// runControlService is the service as a machine of a day. It writes to the tap what
// it sends: a version that does not pass the checks tells of no members, since
// no router may go by it.
func runControlService() error {
	var set service.Settings
	in, faults, err := readSettings(&set)
	if err != nil {
		return err
	}
	out := trafficlog.NewWriter(os.Stdout)
	var mu sync.Mutex
	parsed := map[string]*config.Settings{} // by sum; nil: tells of nothing
	svc, err := service.StartWithFiles(faultyFiles{faults: faults}, &set, zap.NewNop(), func(router string, v configversion.Version) {
		mu.Lock()
		s, known := parsed[v.Sum]
		if !known {
			s = &config.Settings{}
			if config.ReadVersion("sent", string(v.Body), nil, s) != nil || len(configversion.Check(nil, s, service.NoLimits())) > 0 {
				s = nil
			}
			parsed[v.Sum] = s
		}
		mu.Unlock()
		if s == nil || len(s.Members) == 0 {
			return
		}
		t := trafficlog.Now()
		out.Add(trafficlog.Record{Time: t, Event: trafficlog.UpdateSent, Subject: router, Note: "full", Version: v.Number})
		for _, m := range s.Members {
			out.Add(trafficlog.Record{Time: t, Event: trafficlog.UpdateSent, Subject: router, Source: m.ID, State: m.State, Start: int64(m.Start)})
		}
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s %s\n", svc.Addr(), svc.AdminAddr())
	faults.readFaults(in)
	svc.Close()
	return nil
}

// startControl starts the service, on the address that it had before.
func (c *controlService) start(ctx context.Context) error {
	listen, admin := "127.0.0.1:0", "127.0.0.1:0"
	if c.address != "" {
		listen, admin = c.address, c.adminAddress
	}
	text, err := json.Marshal(fmt.Sprintf(`(service (name day) (listen %q) (admin %q) (store %q) (per-second %v) (reports 1000))
		(rollout (hold %v) (patience 5000)) (checks (box-churn 1) (parent-churn 1))`, listen, admin, c.store, c.settings.StreamsPerSecond, c.settings.StageTime))
	if err == nil {
		text, err = c.d.appendStartupFaults(controlMachine, text)
	}
	if err != nil {
		return err
	}
	var last error
	for range 20 { // the address may take a moment to be free
		if c.process, err = startProcess(c.d.options.Self, ChildControl, text, io.Discard, c.d.handleOutput); err != nil {
			return err
		}
		line, err := c.process.awaitFirstLine(ctx)
		if err == nil {
			if _, err := fmt.Sscan(line, &c.address, &c.adminAddress); err != nil {
				return fmt.Errorf("day: the control service began with %q", line)
			}
			return nil
		}
		if last = err; ctx.Err() != nil {
			break
		}
		sleep(ctx, 100)
	}
	return fmt.Errorf("day: control service: %w", last)
}

// versionText is the settings of a version, with the rows as they are now.
func (c *controlService) versionText(extra func(*config.Settings)) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.d.script.Settings("any", "", 0, "")
	s.Limits.MaxRequests += c.versionCount
	for _, id := range c.d.order {
		r, known := c.members[id]
		if !known || r.State == "removed" {
			continue
		}
		s.Members = append(s.Members, config.Member{ID: r.ID, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, Size: r.Size,
			Address: r.Address, State: r.State, Start: int(r.Start)})
	}
	if extra != nil {
		extra(s)
	}
	return service.Canonical(s)
}

// setMember is news of a member.
func (c *controlService) setMember(row engine.Row) {
	c.mu.Lock()
	c.members[row.ID] = row
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// pushChanges pushes versions as members change, to all at once: a drain does not
// wait for stages. While the service is down, changes wait for it.
func (c *controlService) pushChanges(ctx context.Context) {
	for {
		select {
		case <-c.changed:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			_, err := c.push(ctx, c.versionText(nil), url.Values{"now": {"1"}, "unchecked": {"1"}})
			if err == nil {
				break
			}
			sleep(ctx, 50)
		}
	}
}

func (c *controlService) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.adminAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return fetchJSON(c.http, req, out)
}

// statusError is an answer that is none of success.
type statusError struct {
	path   string
	status int
	text   string
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("day: %s: %s: %s", e.path, e.text, e.body) }

func fetchJSON(h *http.Client, req *http.Request, out any) error {
	res, err := h.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode/100 != 2 {
		return &statusError{req.URL.Path, res.StatusCode, res.Status, string(b)}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}

func (c *controlService) push(ctx context.Context, text []byte, q url.Values) (int64, error) {
	var r service.PushResult
	err := c.d.retryDuringFolderFault(ctx, controlMachine, func() error {
		return c.call(ctx, "POST", "/push?"+q.Encode(), text, &r)
	})
	return r.Number, err
}

func (c *controlService) status(ctx context.Context) (v service.StatusView, err error) {
	err = c.call(ctx, "GET", "/status", nil, &v)
	return v, err
}

// routerStatus is what a router's /state says of versions.
type routerStatus struct {
	Version  int64 `json:"version"`
	Versions struct {
		Running int64
		List    []struct {
			Number  int64
			State   string
			Reasons []string
		}
	} `json:"versions"`
}

func (d *Day) routerState(ctx context.Context, r *router) (s routerStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.adminAddress()+"/state", nil)
	if err != nil {
		return s, err
	}
	return s, fetchJSON(d.http, req, &s)
}

// awaitConvergence waits until the service holds its last number to be everybody's and
// every router that lives says that it runs it.
func (c *controlService) awaitConvergence(ctx context.Context, atLeast int64) (took float64, err error) {
	began := trafficlog.Now()
	why := ""
	for trafficlog.Now()-began < c.settings.ConvergenceTimeout {
		if why = c.divergence(ctx, atLeast); why == "" {
			return trafficlog.Now() - began, nil
		}
		if !sleep(ctx, 20) {
			return 0, ctx.Err()
		}
	}
	return 0, fmt.Errorf("day: the fleet is not level after %.0f ms: %s", c.settings.ConvergenceTimeout, why)
}

func (c *controlService) divergence(ctx context.Context, atLeast int64) string {
	v, err := c.status(ctx)
	switch {
	case err != nil:
		return err.Error()
	case v.Next != 0 || v.Base < atLeast:
		return fmt.Sprintf("version %d is everybody's, %d is on its way, %d or more is waited for", v.Base, v.Next, atLeast)
	}
	connected := map[string]bool{}
	for _, r := range v.Routers {
		if connected[r.Router] = r.Connected; r.Connected && r.Running < v.Base {
			return fmt.Sprintf("the service knows %s to have accepted %d, refused %d: %s", r.Router, r.Running, r.Rejected, strings.Join(r.Reasons, "; "))
		}
	}
	for _, r := range c.d.runningRouters() {
		s, err := c.d.routerState(ctx, r)
		switch {
		case err != nil:
			continue // killed meanwhile
		case s.Version < v.Base:
			return fmt.Sprintf("%s runs %d, %d is everybody's", r.endpoint.name, s.Version, v.Base)
		case !connected[r.endpoint.name]:
			return fmt.Sprintf("%s has no stream", r.endpoint.name)
		}
	}
	return ""
}

// runningRouters are the routers that are not killed.
func (d *Day) runningRouters() (out []*router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.routers {
		if r.endpoint.isUp() {
			out = append(out, r)
		}
	}
	return out
}

func (c *controlService) addStep(name, until string, took float64) {
	c.mu.Lock()
	c.steps = append(c.steps, VersionStep{Name: name, DurationMS: took, Outcome: until})
	c.mu.Unlock()
	c.d.logProgress("          %s: %s after %.0f ms", name, until, took)
}

// applyFault carries out a trouble with versions, to the state that should follow.
func (c *controlService) applyFault(ctx context.Context, t FaultSpec) error {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	name := t.name()
	began := trafficlog.Now()
	addFailure := func(err error) error {
		if err != nil && ctx.Err() == nil { // the day goes on, so that the rules can be judged
			c.mu.Lock()
			c.steps = append(c.steps, VersionStep{Name: name, DurationMS: trafficlog.Now() - began, Failure: strings.TrimPrefix(err.Error(), "day: ")})
			c.mu.Unlock()
			c.d.logProgress("          %s: WRONG: %v", name, err)
		}
		return nil
	}
	switch t.Kind {
	case VersionGood, VersionRepeat:
		if t.Kind == VersionGood {
			c.mu.Lock()
			c.versionCount++
			c.mu.Unlock()
		}
		n, err := c.push(ctx, c.versionText(nil), url.Values{"unchecked": {"1"}})
		if err == nil {
			_, err = c.awaitConvergence(ctx, n)
		}
		if err != nil {
			return addFailure(err)
		}
		c.addStep(name, fmt.Sprintf("version %d or later everywhere", n), trafficlog.Now()-began)
	case VersionBad:
		return addFailure(c.verifyBadVersion(ctx, name))
	case ControlDown, ControlFlap:
		for end := trafficlog.Now() + t.Duration; ; {
			c.process.kill()
			down := t.Duration
			if t.Kind == ControlFlap {
				down = min(t.PauseInterval/2, t.Duration)
			}
			if err := c.verifyOutage(ctx, down); err != nil {
				return addFailure(err)
			}
			if err := c.start(ctx); err != nil {
				return addFailure(err)
			}
			if t.Kind == ControlDown || trafficlog.Now() >= end {
				break
			}
			sleep(ctx, t.PauseInterval/2)
		}
		if err := c.verifyChange(ctx, name, "after the service's start"); err != nil {
			return addFailure(err)
		}
	case ControlStopped:
		c.process.cmd.Process.Signal(syscall.SIGSTOP)
		err := c.verifyOutage(ctx, t.Duration)
		c.process.cmd.Process.Signal(syscall.SIGCONT)
		if err != nil {
			return addFailure(err)
		}
		if err := c.verifyChange(ctx, name, "after the service went on"); err != nil {
			return addFailure(err)
		}
	case ControlOlder:
		return addFailure(c.verifyOlderStore(ctx, name, t))
	}
	return nil
}

// pushChange pushes another limit to all at once and waits until all run it: also
// those whose streams have yet to begin again.
func (c *controlService) pushChange(ctx context.Context) (int64, error) {
	c.mu.Lock()
	c.versionCount++
	c.mu.Unlock()
	n, err := c.push(ctx, c.versionText(nil), url.Values{"now": {"1"}, "unchecked": {"1"}})
	if err == nil {
		_, err = c.awaitConvergence(ctx, n)
	}
	return n, err
}

func (c *controlService) verifyChange(ctx context.Context, name, since string) error {
	began := trafficlog.Now()
	n, err := c.pushChange(ctx)
	if err != nil {
		return err
	}
	c.addStep(name, fmt.Sprintf("a change is everywhere (version %d) %s", n, since), trafficlog.Now()-began)
	return nil
}

// verifyOutage lets time pass with no service, and sees that every router that lived
// through it runs what it ran.
func (c *controlService) verifyOutage(ctx context.Context, span float64) error {
	versions := map[*router]int64{}
	generations := map[*router]int{}
	for _, r := range c.d.runningRouters() {
		if s, err := c.d.routerState(ctx, r); err == nil {
			versions[r], generations[r] = s.Version, r.generation()
		}
	}
	sleep(ctx, span)
	for r, n := range versions {
		s, err := c.d.routerState(ctx, r)
		if err != nil || r.generation() != generations[r] {
			continue
		}
		if s.Version < n {
			return fmt.Errorf("%s ran %d, and %d without its service", r.endpoint.name, n, s.Version)
		}
	}
	return nil
}

// verifyBadVersion offers a version that names a draining box as a fill source: those who are
// offered it refuse it, nobody runs it, and the old content follows.
func (c *controlService) verifyBadVersion(ctx context.Context, name string) error {
	began := trafficlog.Now()
	n, err := c.push(ctx, c.versionText(func(s *config.Settings) {
		last := -1
		for i := range s.Members {
			if s.Members[i].Kind == "box" && s.Members[i].State == "serving" {
				if last >= 0 && s.Members[i].Zone == s.Members[last].Zone {
					s.Members[i].State = "draining"
					s.Members[last].FillFrom = []string{s.Members[i].ID}
					return
				}
				last = i
			}
		}
		s.Rules.DrainGrace *= 2 // no member is listed
	}), url.Values{"unchecked": {"1"}})
	if err != nil {
		return err
	}
	rejections, want := 0, "is draining"
	if c.settings.FromList {
		want = "loosened"
	}
	for rejections == 0 {
		for _, r := range c.d.runningRouters() {
			s, err := c.d.routerState(ctx, r)
			if err != nil {
				continue
			}
			for _, one := range s.Versions.List {
				if one.Number != n {
					continue
				}
				if one.State != "refused" || !strings.Contains(strings.Join(one.Reasons, " "), want) {
					return fmt.Errorf("%s takes version %d for %s: %v", r.endpoint.name, n, one.State, one.Reasons)
				}
				rejections++
			}
			if s.Version == n {
				return fmt.Errorf("%s runs the bad version %d", r.endpoint.name, n)
			}
		}
		if v, err := c.status(ctx); err == nil && v.Base > n && rejections == 0 && v.Halted == "" {
			c.addStep(name, fmt.Sprintf("version %d was superseded before a router had it", n), trafficlog.Now()-began)
			return nil
		}
		if trafficlog.Now()-began > c.settings.ConvergenceTimeout || !sleep(ctx, 10) {
			return fmt.Errorf("no router has refused version %d after %.0f ms", n, c.settings.ConvergenceTimeout)
		}
	}
	if _, err := c.awaitConvergence(ctx, n+1); err != nil {
		return err
	}
	c.addStep(name, fmt.Sprintf("version %d refused by %d, halted, old content everywhere", n, rejections), trafficlog.Now()-began)
	return nil
}

// verifyOlderStore kills the service and starts it with the store of some versions ago:
// routers keep what they have, and its next versions are above that.
func (c *controlService) verifyOlderStore(ctx context.Context, name string, t FaultSpec) error {
	backup := c.store + ".backup"
	c.process.kill()
	if err := copyFile(c.store, backup); err != nil {
		return err
	}
	if err := c.start(ctx); err != nil {
		return err
	}
	n, err := c.pushChange(ctx)
	if err != nil {
		return err
	}
	c.process.kill()
	if err := os.Rename(backup, c.store); err != nil {
		return err
	}
	if err := c.start(ctx); err != nil {
		return err
	}
	if err := c.verifyOutage(ctx, t.Duration); err != nil { // in effect: what it offers is older, and refused
		return err
	}
	began := trafficlog.Now()
	m, err := c.pushChange(ctx)
	if err != nil {
		return err
	}
	if m <= n {
		return fmt.Errorf("the service that came back with its past gives number %d; routers have accepted %d", m, n)
	}
	c.addStep(name, fmt.Sprintf("version %d everywhere from a service that had forgotten %d", m, n), trafficlog.Now()-began)
	return nil
}

func copyFile(from, to string) error {
	b, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, b, 0o600)
}

// sendPurge tells routers of a purge by their listener for operators, late.
func (c *controlService) sendPurge(ctx context.Context, object string, group int, made float64) {
	p := madePurge{object, group, made}
	c.mu.Lock()
	c.purges = append(c.purges, p)
	c.mu.Unlock()
	for i, r := range c.d.runningRouters() {
		lag := c.settings.PurgeFrom + (c.settings.PurgeTo-c.settings.PurgeFrom)*math.Mod(float64(i)*0.37, 1)
		c.d.wg.Add(1)
		go func() {
			defer c.d.wg.Done()
			if sleep(ctx, lag) {
				c.purgeRouter(r, p)
			}
		}()
	}
}

// sendRecentPurges tells a router that has just started of what it may have missed.
func (c *controlService) sendRecentPurges(r *router) {
	c.mu.Lock()
	list := append([]madePurge(nil), c.purges...)
	c.mu.Unlock()
	for _, p := range list {
		if trafficlog.Now()-p.made < c.d.script.Rules.PurgeTime+1000 {
			c.purgeRouter(r, p)
		}
	}
}

func (c *controlService) purgeRouter(r *router, p madePurge) {
	path := p.object
	if p.object == "" {
		path = "/?group=" + fmt.Sprint(p.group)
	}
	req, err := http.NewRequest("PURGE", "http://"+r.adminAddress()+path, nil)
	if err != nil {
		return
	}
	if err := fetchJSON(c.d.http, req, nil); err != nil {
		var down net.Error
		if !errors.As(err, &down) && r.endpoint.isUp() {
			c.d.addError(err)
		}
		return
	}
	c.d.trafficLog.Add(trafficlog.Record{Event: trafficlog.UpdateSent, Subject: r.endpoint.name, Object: p.object, Group: p.group, Created: p.made, Note: "purge"})
}

// begin readies the service and the first version before the routers start.
func (d *Day) startControlService(ctx context.Context) error {
	if !d.script.Control.On {
		return nil
	}
	d.controlService = &controlService{d: d, settings: d.script.Control, store: filepath.Join(d.dir, "control.db"), members: map[string]engine.Row{},
		changed: make(chan struct{}, 1), http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	return d.controlService.start(ctx)
}

// firstVersion pushes what the routers wait for.
func (c *controlService) firstVersion(ctx context.Context) error {
	select {
	case <-c.changed:
	default:
	}
	_, err := c.push(ctx, c.versionText(nil), url.Values{"now": {"1"}, "unchecked": {"1"}})
	return err
}

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

// ControlSettings configures a control service, in a process of its own, that the routers
// follow. Times are in ms.
type ControlSettings struct {
	Place              config.Place
	On                 bool    `edn:"on"`
	FromList           bool    `edn:"from-list"`                               // members come from the discovery service, not from settings versions
	Protocol           string  `edn:"protocol" def:"delta" oneof:"delta full"` // of the stream to routers
	StageTime          float64 `edn:"hold" def:"400" min:"1"`                  // duration of a rollout stage
	ApplyJitter        float64 `edn:"spread" def:"200" min:"1"`                // range over which routers spread the activation of a version
	ConvergenceTimeout float64 `edn:"level" def:"8000" min:"100"`              // time within which all routers must run the last version
	StreamsPerSecond   float64 `edn:"per-second" def:"100" min:"0.1"`          // new streams that the service accepts
	PurgeFrom          float64 `edn:"purge-from" def:"50" min:"0"`             // if versions list the members: minimum delay of a purge to a router
	PurgeTo            float64 `edn:"purge-to" def:"300" min:"0"`              // and the maximum
}

// Faults of the control service and its settings versions. Each is a step that waits for the
// expected state of the fleet and fails the day if that state is not reached.
const (
	VersionGood    = "version-good"    // a version with other limits is rolled out in stages
	VersionBad     = "version-bad"     // a version names a draining box as a fill source; routers reject it and the rollout halts
	VersionRepeat  = "version-repeat"  // the same content is pushed again under a new number
	ControlDown    = "control-down"    // the service is killed and started again from its store
	ControlFlap    = "control-flap"    // the service is killed and started again repeatedly
	ControlStopped = "control-stopped" // the service's process is suspended by SIGSTOP for a time
	ControlOlder   = "control-older"   // the service is killed and started again from an older store
)

var controlKinds = []string{VersionGood, VersionBad, VersionRepeat, ControlDown, ControlFlap, ControlStopped, ControlOlder}

// VersionStep is the result of a fault of the control service.
type VersionStep struct {
	Name       string  `json:"name"`
	DurationMS float64 `json:"took_ms"`         // until the fleet reached the expected state
	Outcome    string  `json:"until"`           // the state that was reached
	Failure    string  `json:"wrong,omitempty"` // why the expected state was not reached
}

// controlService runs the day's control service and holds the members and purges that are
// published through it.
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
	versionCount int // number of versions with changed content; added to a limit to change it
	changed      chan struct{}
	steps        []VersionStep
	stepMu       sync.Mutex // serializes steps
	purges       []madePurge
}

// madePurge is a purge that was made at the origin.
type madePurge struct {
	object string
	group  int
	made   float64
}

// runControlService runs the control service as a machine of a day. It records the members
// that each sent version lists. A version that fails the checks counts as listing none, since
// no router may apply it.
func runControlService() error {
	var settings service.Settings
	in, faults, err := readSettings(&settings)
	if err != nil {
		return err
	}
	out := trafficlog.NewWriter(os.Stdout)
	var mu sync.Mutex
	parsed := map[string]*config.Settings{} // by the version's sum; nil: invalid
	svc, err := service.StartWithFiles(faultyFiles{faults: faults}, &settings, zap.NewNop(), func(router string, v configversion.Version) {
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

// start starts the service, after a restart on the same addresses.
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
	for range 20 { // after a kill the address may not be free at once
		if c.process, err = startProcess(c.d.options.Self, ChildControl, text, io.Discard, c.d.handleOutput); err != nil {
			return err
		}
		line, err := c.process.awaitFirstLine(ctx)
		if err == nil {
			if _, err := fmt.Sscan(line, &c.address, &c.adminAddress); err != nil {
				return fmt.Errorf("day: control service: unexpected first line %q", line)
			}
			return nil
		}
		if last = err; ctx.Err() != nil {
			break
		}
		sleep(ctx, 100)
	}
	return fmt.Errorf("day: start the control service: %w", last)
}

// versionText returns the settings of a version with the present members.
func (c *controlService) versionText(extra func(*config.Settings)) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	settings := c.d.script.Settings("any", "", 0, "")
	settings.Limits.MaxRequests += c.versionCount
	for _, id := range c.d.order {
		r, known := c.members[id]
		if !known || r.State == "removed" {
			continue
		}
		settings.Members = append(settings.Members, config.Member{ID: r.ID, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, Size: r.Size,
			Address: r.Address, State: r.State, Start: int(r.Start)})
	}
	if extra != nil {
		extra(settings)
	}
	return service.Canonical(settings)
}

// setMember updates a member and has pushChanges push it.
func (c *controlService) setMember(member engine.Row) {
	c.mu.Lock()
	c.members[member.ID] = member
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// pushChanges pushes a version after each change of members, to all routers at once, so that
// drains do not wait for rollout stages. It retries while the service is down.
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

// statusError is a response with a status other than 2xx.
type statusError struct {
	path   string
	status int
	text   string
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("day: %s: %s: %s", e.path, e.text, e.body)
}

// fetchJSON sends a request and decodes the response into out, unless that is nil.
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

// push pushes a version to the service and returns its number.
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

// routerStatus holds the part of a router's /state that describes settings versions.
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

// awaitConvergence waits until the service reports its last version, of number atLeast or
// higher, as the base of all routers, and each running router reports that it runs it.
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
	return 0, fmt.Errorf("day: the routers do not all run the last version after %.0f ms: %s", c.settings.ConvergenceTimeout, why)
}

// divergence returns why the fleet has not converged; empty if it has.
func (c *controlService) divergence(ctx context.Context, atLeast int64) string {
	v, err := c.status(ctx)
	switch {
	case err != nil:
		return err.Error()
	case v.Next != 0 || v.Base < atLeast:
		return fmt.Sprintf("version %d is the base, %d is being rolled out, want %d or higher as the base", v.Base, v.Next, atLeast)
	}
	connected := map[string]bool{}
	for _, r := range v.Routers {
		if connected[r.Router] = r.Connected; r.Connected && r.Running < v.Base {
			return fmt.Sprintf("the service reports that %s runs version %d and rejected %d: %s", r.Router, r.Running, r.Rejected, strings.Join(r.Reasons, "; "))
		}
	}
	for _, r := range c.d.runningRouters() {
		s, err := c.d.routerState(ctx, r)
		switch {
		case err != nil:
			continue // the router was killed meanwhile
		case s.Version < v.Base:
			return fmt.Sprintf("%s runs version %d, the base is %d", r.endpoint.name, s.Version, v.Base)
		case !connected[r.endpoint.name]:
			return fmt.Sprintf("%s has no stream to the service", r.endpoint.name)
		}
	}
	return ""
}

// runningRouters returns the routers that are running.
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

// addStep records a step that reached the expected state.
func (c *controlService) addStep(name, outcome string, duration float64) {
	c.mu.Lock()
	c.steps = append(c.steps, VersionStep{Name: name, DurationMS: duration, Outcome: outcome})
	c.mu.Unlock()
	c.d.logProgress("          %s: %s after %.0f ms", name, outcome, duration)
}

// applyFault carries out a fault of the control service and waits for the expected state.
func (c *controlService) applyFault(ctx context.Context, fault FaultSpec) error {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	name := fault.name()
	began := trafficlog.Now()
	addFailure := func(err error) error {
		if err != nil && ctx.Err() == nil { // the run continues, so that the rules are checked
			c.mu.Lock()
			c.steps = append(c.steps, VersionStep{Name: name, DurationMS: trafficlog.Now() - began, Failure: strings.TrimPrefix(err.Error(), "day: ")})
			c.mu.Unlock()
			c.d.logProgress("          %s: WRONG: %v", name, err)
		}
		return nil
	}
	switch fault.Kind {
	case VersionGood, VersionRepeat:
		if fault.Kind == VersionGood {
			c.mu.Lock()
			c.versionCount++
			c.mu.Unlock()
		}
		number, err := c.push(ctx, c.versionText(nil), url.Values{"unchecked": {"1"}})
		if err == nil {
			_, err = c.awaitConvergence(ctx, number)
		}
		if err != nil {
			return addFailure(err)
		}
		c.addStep(name, fmt.Sprintf("version %d or later everywhere", number), trafficlog.Now()-began)
	case VersionBad:
		return addFailure(c.verifyBadVersion(ctx, name))
	case ControlDown, ControlFlap:
		for end := trafficlog.Now() + fault.Duration; ; {
			c.process.kill()
			down := fault.Duration
			if fault.Kind == ControlFlap {
				down = min(fault.PauseInterval/2, fault.Duration)
			}
			if err := c.verifyOutage(ctx, down); err != nil {
				return addFailure(err)
			}
			if err := c.start(ctx); err != nil {
				return addFailure(err)
			}
			if fault.Kind == ControlDown || trafficlog.Now() >= end {
				break
			}
			sleep(ctx, fault.PauseInterval/2)
		}
		if err := c.verifyChange(ctx, name, "after the service's start"); err != nil {
			return addFailure(err)
		}
	case ControlStopped:
		c.process.cmd.Process.Signal(syscall.SIGSTOP)
		err := c.verifyOutage(ctx, fault.Duration)
		c.process.cmd.Process.Signal(syscall.SIGCONT)
		if err != nil {
			return addFailure(err)
		}
		if err := c.verifyChange(ctx, name, "after the service went on"); err != nil {
			return addFailure(err)
		}
	case ControlOlder:
		return addFailure(c.verifyOlderStore(ctx, name, fault))
	}
	return nil
}

// pushChange pushes a version with a changed limit to all routers at once and waits until all
// run it, including those that have yet to reconnect.
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

// verifyChange checks that a pushed change reaches all routers.
func (c *controlService) verifyChange(ctx context.Context, name, since string) error {
	began := trafficlog.Now()
	n, err := c.pushChange(ctx)
	if err != nil {
		return err
	}
	c.addStep(name, fmt.Sprintf("a change is everywhere (version %d) %s", n, since), trafficlog.Now()-began)
	return nil
}

// verifyOutage waits for a time without the service and checks that no router that was
// running throughout has gone back to an older version.
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
			return fmt.Errorf("%s ran version %d, but runs version %d after %.0f ms without the service, want no lower version", r.endpoint.name, n, s.Version, span)
		}
	}
	return nil
}

// verifyBadVersion pushes a version that names a draining box as a fill source. It checks
// that the routers that receive it reject it, that none runs it, and that a version with the
// old content follows.
func (c *controlService) verifyBadVersion(ctx context.Context, name string) error {
	began := trafficlog.Now()
	number, err := c.push(ctx, c.versionText(func(s *config.Settings) {
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
		s.Rules.DrainGrace *= 2 // versions list no members: loosen a rule instead
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
				if one.Number != number {
					continue
				}
				if one.State != "refused" || !strings.Contains(strings.Join(one.Reasons, " "), want) {
					return fmt.Errorf("%s reports version %d as %s: %v, want refused with %q", r.endpoint.name, number, one.State, one.Reasons, want)
				}
				rejections++
			}
			if s.Version == number {
				return fmt.Errorf("%s runs the bad version %d", r.endpoint.name, number)
			}
		}
		if v, err := c.status(ctx); err == nil && v.Base > number && rejections == 0 && v.Halted == "" {
			c.addStep(name, fmt.Sprintf("version %d was superseded before a router had it", number), trafficlog.Now()-began)
			return nil
		}
		if trafficlog.Now()-began > c.settings.ConvergenceTimeout || !sleep(ctx, 10) {
			return fmt.Errorf("no router has rejected version %d after %.0f ms", number, c.settings.ConvergenceTimeout)
		}
	}
	if _, err := c.awaitConvergence(ctx, number+1); err != nil {
		return err
	}
	c.addStep(name, fmt.Sprintf("version %d refused by %d, halted, old content everywhere", number, rejections), trafficlog.Now()-began)
	return nil
}

// verifyOlderStore kills the service and starts it from an older copy of its store. It checks
// that routers keep their version and that the service's next versions have higher numbers.
func (c *controlService) verifyOlderStore(ctx context.Context, name string, fault FaultSpec) error {
	backup := c.store + ".backup"
	c.process.kill()
	if err := copyFile(c.store, backup); err != nil {
		return err
	}
	if err := c.start(ctx); err != nil {
		return err
	}
	newest, err := c.pushChange(ctx)
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
	if err := c.verifyOutage(ctx, fault.Duration); err != nil { // the version that the service offers meanwhile is older, so routers reject it
		return err
	}
	began := trafficlog.Now()
	next, err := c.pushChange(ctx)
	if err != nil {
		return err
	}
	if next <= newest {
		return fmt.Errorf("the service that restarted from an older store issues version %d, want a number above %d, which routers have accepted", next, newest)
	}
	c.addStep(name, fmt.Sprintf("version %d everywhere from a service that had forgotten %d", next, newest), trafficlog.Now()-began)
	return nil
}

func copyFile(from, to string) error {
	b, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, b, 0o600)
}

// sendPurge sends a purge to the admin listener of each router, after a delay between
// PurgeFrom and PurgeTo.
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

// sendRecentPurges sends a router that has just started the purges that it may have missed.
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

// purgeRouter sends a purge to a router. It ignores errors if the router is down.
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

// startControlService starts the control service, if the script has one.
func (d *Day) startControlService(ctx context.Context) error {
	if !d.script.Control.On {
		return nil
	}
	d.controlService = &controlService{d: d, settings: d.script.Control, store: filepath.Join(d.dir, "control.db"), members: map[string]engine.Row{},
		changed: make(chan struct{}, 1), http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	return d.controlService.start(ctx)
}

// firstVersion pushes the version that the routers wait for at their start.
func (c *controlService) firstVersion(ctx context.Context) error {
	select {
	case <-c.changed:
	default:
	}
	_, err := c.push(ctx, c.versionText(nil), url.Values{"now": {"1"}, "unchecked": {"1"}})
	return err
}

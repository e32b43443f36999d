// Package engine is the one way to the decisions: settings become indigospool.Settings, a
// request's method, target and headers become an indigospool.Request, rows of the endpoint
// list become Members. Router, tools and tests all go through it, so that no two of them
// can decide the same thing differently.
//
// It does no I/O and has no clock; every decision is made by indigospool.Router. It owns
// bookkeeping only: the addresses of endpoints, which start of an endpoint a list speaks
// of, and the compiled routes (route.go).
package engine

import (
	"fmt"
	"strconv"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/protocol/http1"
)

// Core holds a Router and what is needed to speak to it. Like the Router it is
// not safe for concurrent use.
type Core struct {
	Settings *config.Settings
	Recorder Recorder // hears of all that the module is told; nil: nobody
	router   *spool.Router
	module   spool.Settings
	routes   []route
	members  map[string]*listedMember
	rev      int64
}

// Recorder hears what the module is told and what it answers. It keeps neither
// the actions nor what they point to, and never waits.
type Recorder interface {
	Handled(now spool.Millis, ev spool.Event, acts []spool.Action)
	SettingsChanged(now spool.Millis, s *config.Settings, acts []spool.Action)
}

// listedMember is what the core keeps of a listed member.
type listedMember struct {
	spool.Member
	address string
	start   int64 // which start of it; 0: not told
}

// New makes a core from checked settings.
func New(s *config.Settings, seed uint64) (*Core, error) {
	c := &Core{Settings: s, members: map[string]*listedMember{}}
	var err error
	if c.module, err = ModuleSettings(s); err != nil {
		return nil, err
	}
	if c.router, err = spool.New(c.module, seed); err != nil {
		return nil, err
	}
	if c.routes, err = compileRoutes(s); err != nil {
		return nil, err
	}
	return c, nil
}

// NewFromModule makes a core from the module's own settings, for those who bring requests
// of the module's form and have no use for routes.
func NewFromModule(m spool.Settings, seed uint64) (*Core, error) {
	r, err := spool.New(m, seed)
	if err != nil {
		return nil, err
	}
	return &Core{module: m, router: r, members: map[string]*listedMember{}}, nil
}

// ChangeModuleSettings goes by other settings of the module from now on, as Resettle does.
func (c *Core) ChangeModuleSettings(now spool.Millis, m spool.Settings, dst []spool.Action) ([]spool.Action, error) {
	if err := m.Valid(); err != nil {
		return dst, err
	}
	c.module = m
	return c.Handle(now, spool.SettingsChanged{Settings: m}, dst), nil
}

func compileRoutes(s *config.Settings) (list []route, err error) {
	for i := range s.Routes {
		r, err := compile(s, &s.Routes[i])
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// ChangeSettings goes by other checked settings from now on; members come by Apply.
// What the module has learned, and what it holds, stays. On an error nothing
// has changed.
func (c *Core) ChangeSettings(now spool.Millis, s *config.Settings, dst []spool.Action) ([]spool.Action, error) {
	m, err := ModuleSettings(s)
	if err == nil {
		err = m.Valid()
	}
	if err != nil {
		return dst, err
	}
	routes, err := compileRoutes(s)
	if err != nil {
		return dst, err
	}
	c.Settings, c.module, c.routes = s, m, routes
	n := len(dst)
	dst = c.router.Handle(now, spool.SettingsChanged{Settings: m}, dst)
	if c.Recorder != nil {
		c.Recorder.SettingsChanged(now, s, dst[n:])
	}
	return dst, nil
}

var idempotencies = map[string]spool.Idempotency{"free": spool.Idempotent, "guarded": spool.IdempotentByKey, "single-shot": spool.NonIdempotent}
var scopes = map[string]spool.Scope{"nowhere": spool.ScopeNone, "off": spool.ScopeNone, "cell": spool.ScopeCell,
	"zone": spool.ScopeZone, "location": spool.ScopeZone, "all": spool.ScopeAll, "any": spool.ScopeAll}
var details = map[string]spool.Detail{"off": spool.DetailOff, "hit": spool.DetailHit, "all": spool.DetailAll}
var states = map[string]spool.State{"serving": spool.Serving, "draining": spool.Draining, "removed": spool.Removed}

// ModuleSettings is what the decision module is told of the settings. Every class
// counts as streamed, since the edge passes each answer on as it comes: its
// first byte makes the attempt the client's.
func ModuleSettings(s *config.Settings) (spool.Settings, error) {
	m := spool.Settings{
		RouterIndex: s.Router.Me, Routers: s.Router.Of, Zone: s.Router.Zone, LinkCapacity: map[string]float64{},
		ParentKind: s.Fill.ParentKind, OriginKind: s.Fill.OriginKind,
		TimerResolution: s.Limits.TimerGrain, AnswerSlack: s.Limits.AnswerSlack, DrainGrace: s.Rules.DrainGrace,
		WarmUpInitialShare: s.Rules.ColdFrom, WarmUpTime: s.Rules.ColdTime,
		OverloadFactor: s.Rules.FallFactor, OverloadTime: s.Rules.FallTime,
		ParentWarmUpInitialShare: s.Rules.ParentColdFrom, ParentWarmUpTime: s.Rules.ParentColdTime, ParentOverloadFactor: s.Rules.ParentFall,
		PurgeTime: s.Rules.PurgeTakes, PurgeSlack: s.Rules.PurgeSlack,
		DirectAttempts: s.Fill.Direct, JoinFills: s.Fill.Joins, SiblingScope: scopes[s.Fill.Siblings], Detail: details[s.Fill.Detail],
		FlowKBPerMs: s.Fill.FlowKB, SizeIsCapacity: s.Fill.Sizes,
		MaxAttempts: s.Limits.Attempts, MaxRequests: s.Limits.Held, MaxRetryAfter: s.Limits.RetryAfter,
		HedgedRequests: s.Limits.SecondCopies, CanCancel: !s.Limits.NoCancel, LoadMetrics: s.Fill.Feedback,
	}
	place := map[string]int{}
	for i, z := range s.Zones {
		place[z.Name] = i
		m.Zones = append(m.Zones, z.Name)
		m.RoutersByZone = append(m.RoutersByZone, z.Routers)
		m.LinkCapacity[z.Name] = z.LinkIn
	}
	for _, z := range s.Zones {
		hub := place[z.Name]
		if at, ok := place[z.Hub]; ok {
			hub = at
		}
		m.HubOfZone = append(m.HubOfZone, hub)
	}
	for _, k := range s.Classes {
		m.Classes = append(m.Classes, spool.Class{Name: k.Name, LatencyObjective: k.Aim, ObjectivePerSendTime: k.AimStretch,
			Deadline: k.Deadline, PriorityWeight: k.Worth, LateWeightShare: k.LateWorth, Idempotency: idempotencies[k.Effect],
			KeyScope: scopes[k.Group], KeyWindow: k.Window, Streamed: true, InParts: k.Parts, Write: k.Write,
			Fresh: k.Fresh, Grace: k.Grace, StaleWeightShare: k.StaleWorth})
	}
	return m, nil
}

// Handle gives the module an event at a time of the caller's clock and appends
// its actions.
func (c *Core) Handle(now spool.Millis, ev spool.Event, dst []spool.Action) []spool.Action {
	n := len(dst)
	dst = c.router.Handle(now, ev, dst)
	if c.Recorder != nil {
		c.Recorder.Handled(now, ev, dst[n:])
	}
	return dst
}

// Explain has f hear of what each choice of the module looks at, while it is made;
// nil ends that.
func (c *Core) Explain(f func(spool.Candidate)) { c.router.Explain(f) }

// Ranges are the caches' ranges of part indices.
func (c *Core) Ranges() []spool.Range { return c.router.Ranges() }

// Statuses is what the module holds of each member, and of the location's link.
func (c *Core) Statuses() (map[string]spool.Status, spool.Status) { return c.router.Statuses() }

// Address is where a member is reached; empty when it was never listed with one.
func (c *Core) Address(id string) string {
	if m := c.members[id]; m != nil {
		return m.address
	}
	return ""
}

// Member is the last row that was listed of a member.
func (c *Core) Member(id string) (spool.Member, bool) {
	m := c.members[id]
	if m == nil {
		return spool.Member{}, false
	}
	return m.Member, true
}

// Members are the ids of all that were listed, with their rows.
func (c *Core) Members(each func(m spool.Member, address string)) {
	for _, m := range c.members {
		each(m.Member, m.address)
	}
}

// Forget drops what is kept of a member that was removed. It does nothing to others.
func (c *Core) Forget(id string) {
	if m := c.members[id]; m != nil && m.State == spool.Removed {
		delete(c.members, id)
	}
}

// Rev is the version of the list that the router goes by.
func (c *Core) Rev() int64 { return c.rev }

// A Rejection is a request that no class fits.
type Rejection struct {
	Status  int
	Detail  string // as a Cache-Status detail and in the access log
	Message string // with the remedy
}

func (t *Rejection) Error() string { return fmt.Sprintf("core: %s (status %d)", t.Message, t.Status) }

// The turndowns.
var (
	ErrNoRoute        = &Rejection{404, "no-route", "no route fits the path"}
	ErrMethod         = &Rejection{405, "bad-method", "the route does not take the method"}
	ErrIdempotencyKey = &Rejection{400, "no-idempotency-key", "a write to this route needs an Idempotency-Key: add the field, with a value of its own for each write and the same one for its repeats"}
	ErrPart           = &Rejection{400, "bad-part", "the part in the path is no whole number: write one, from 0"}
	ErrRange          = &Rejection{416, "bad-range", "the range does not begin at a part: begin it at a multiple of the part's size"}
	ErrDeadline       = &Rejection{400, "bad-deadline", "the deadline is no positive number of milliseconds: write one, or leave the field out"}
)

// Classify turns a request's head into the module's request: the id and the
// time are the caller's. It allocates the object's name and nothing else.
func (c *Core) Classify(id string, now spool.Millis, h *http1.Head) (spool.Request, error) {
	path := h.Path()
	write := isWrite(h.Method)
	fits := false
	for i := range c.routes {
		r := &c.routes[i]
		var m match
		if !r.match(path, &m) {
			continue
		}
		if fits = true; !r.accepts(h.Method, write) {
			continue
		}
		q := spool.Request{ID: id, Class: r.class, KB: r.kb, Write: write, Part: m.part, Group: m.group}
		if m.badPart {
			return q, ErrPart
		}
		if r.ranges {
			part, err := rangePart(h.Get("range"), r.rangeBytes)
			if err != nil {
				return q, err
			}
			q.Part = part
		}
		if write && r.idempotentByKey && len(h.Get("idempotency-key")) == 0 {
			return q, ErrIdempotencyKey
		}
		q.Object = string(path[:m.object])
		q.Deadline = now + r.deadline
		if v := h.Get(r.deadlineField); v != nil {
			ms, err := strconv.ParseFloat(string(v), 64)
			if err != nil || !(ms > 0) {
				return q, ErrDeadline
			}
			q.Deadline = min(q.Deadline, now+ms)
		}
		if v := h.Get(r.sizeField); v != nil {
			if kb, err := strconv.ParseFloat(string(v), 64); err == nil && kb > 0 && kb < 1e9 {
				q.KB = kb
			}
		}
		q.Retry = h.Has(r.retryField)
		return q, nil
	}
	if fits {
		return spool.Request{}, ErrMethod
	}
	return spool.Request{}, ErrNoRoute
}

// IdempotentByKey tells of a class whether its requests carry a key that drops repeats.
func (c *Core) IdempotentByKey(class string) bool {
	for i := range c.module.Classes {
		if c.module.Classes[i].Name == class {
			return c.module.Classes[i].Idempotency == spool.IdempotentByKey
		}
	}
	return false
}

func isWrite(method []byte) bool {
	switch string(method) {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return false
	}
	return true
}

// rangePart is the part that a Range's first byte stands in: parts are n bytes
// each. No Range means the first part.
func rangePart(v []byte, n int64) (int, error) {
	if len(v) == 0 {
		return 0, nil
	}
	const unit = "bytes="
	if len(v) <= len(unit) || string(v[:len(unit)]) != unit || v[len(unit)] == '-' {
		return 0, ErrRange
	}
	first, digits := int64(0), 0
	for _, b := range v[len(unit):] {
		if b == '-' {
			break
		}
		if b < '0' || b > '9' || digits > 15 {
			return 0, ErrRange
		}
		first, digits = first*10+int64(b-'0'), digits+1
	}
	if digits == 0 || first%n != 0 {
		return 0, ErrRange
	}
	return int(min(first/n, 1<<30)), nil
}

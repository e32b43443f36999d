// Package engine is the only entry to the decision module. It converts settings into
// indigospool.Settings, the method, target and headers of a request into an
// indigospool.Request, and rows of the endpoint list into Members. The router, the tools and
// the tests all use it, so that they cannot decide the same input differently.
//
// It does no I/O and has no clock; indigospool.Router makes every decision. The package keeps
// only the addresses of endpoints, their start numbers (which tell a restarted endpoint from
// one that kept running), and the compiled routes (route.go).
package engine

import (
	"fmt"
	"strconv"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/protocol/http1"
)

// Core holds an indigospool.Router with its settings, the routes and the listed members. Like
// the Router, it is not safe for concurrent use.
type Core struct {
	Settings *config.Settings // nil after NewFromModule
	Recorder Recorder         // is called with each event and its actions; may be nil
	router   *spool.Router
	module   spool.Settings
	routes   []route
	members  map[string]*listedMember
	rev      int64
}

// Recorder receives the events given to the module and the actions it returns. It must not
// block, and must not keep the actions or anything that they point to.
type Recorder interface {
	Handled(now spool.Millis, ev spool.Event, acts []spool.Action)
	SettingsChanged(now spool.Millis, s *config.Settings, acts []spool.Action)
}

// listedMember is a member of the endpoint list. It is kept after removal until Forget.
type listedMember struct {
	spool.Member
	address string
	start   int64 // number of its current start; 0: unknown
}

// New returns a Core for settings that were validated before.
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

// NewFromModule returns a Core for settings of the module, without routes: the caller makes
// each spool.Request itself and does not call Classify.
func NewFromModule(m spool.Settings, seed uint64) (*Core, error) {
	r, err := spool.New(m, seed)
	if err != nil {
		return nil, err
	}
	return &Core{module: m, router: r, members: map[string]*listedMember{}}, nil
}

// ChangeModuleSettings replaces the settings of a Core that NewFromModule returned, as
// ChangeSettings does.
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

// ChangeSettings replaces the settings and the routes, and appends the module's actions to
// dst. The members are not changed; see Apply. The module keeps what it has learned and its
// requests in flight. If ChangeSettings returns an error, nothing has changed.
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

// ModuleSettings converts settings into those of the decision module. Every class is marked
// as streamed, because the router forwards an answer while it arrives: the attempt that
// delivers the first byte is the one that answers the client.
func ModuleSettings(s *config.Settings) (spool.Settings, error) {
	m := spool.Settings{
		RouterIndex: s.Router.Index, Routers: s.Router.Routers, Zone: s.Router.Zone, LinkCapacity: map[string]float64{},
		ParentKind: s.Fill.ParentKind, OriginKind: s.Fill.OriginKind,
		TimerResolution: s.Limits.TimerResolution, AnswerSlack: s.Limits.AnswerSlack, DrainGrace: s.Rules.DrainGrace,
		WarmUpInitialShare: s.Rules.WarmUpInitialShare, WarmUpTime: s.Rules.WarmUpTime,
		OverloadFactor: s.Rules.OverloadFactor, OverloadTime: s.Rules.OverloadTime,
		ParentWarmUpInitialShare: s.Rules.ParentWarmUpInitialShare, ParentWarmUpTime: s.Rules.ParentWarmUpTime, ParentOverloadFactor: s.Rules.ParentOverloadFactor,
		PurgeTime: s.Rules.PurgeTime, PurgeSlack: s.Rules.PurgeSlack,
		DirectAttempts: s.Fill.DirectAttempts, JoinFills: s.Fill.JoinFills, SiblingScope: scopes[s.Fill.SiblingScope], Detail: details[s.Fill.Detail],
		FlowKBPerMs: s.Fill.FlowKBPerMs, SizeIsCapacity: s.Fill.SizeIsCapacity,
		MaxAttempts: s.Limits.Attempts, MaxRequests: s.Limits.MaxRequests, MaxRetryAfter: s.Limits.MaxRetryAfter,
		HedgedRequests: s.Limits.HedgedRequests, CanCancel: !s.Limits.NoCancel, LoadMetrics: s.Fill.LoadMetrics,
	}
	zoneIndex := map[string]int{}
	for i, z := range s.Zones {
		zoneIndex[z.Name] = i
		m.Zones = append(m.Zones, z.Name)
		m.RoutersByZone = append(m.RoutersByZone, z.Routers)
		m.LinkCapacity[z.Name] = z.LinkCapacity
	}
	for _, z := range s.Zones {
		hub := zoneIndex[z.Name] // a zone without a hub is its own
		if i, ok := zoneIndex[z.Hub]; ok {
			hub = i
		}
		m.HubOfZone = append(m.HubOfZone, hub)
	}
	for _, class := range s.Classes {
		m.Classes = append(m.Classes, spool.Class{Name: class.Name, LatencyObjective: class.LatencyObjective, ObjectivePerSendTime: class.ObjectivePerSendTime,
			Deadline: class.Deadline, PriorityWeight: class.PriorityWeight, LateWeightShare: class.LateWeightShare, Idempotency: idempotencies[class.Idempotency],
			KeyScope: scopes[class.KeyScope], KeyWindow: class.KeyWindow, Streamed: true, InParts: class.InParts, Write: class.Write,
			Fresh: class.Fresh, Grace: class.Grace, StaleWeightShare: class.StaleWeightShare})
	}
	return m, nil
}

// Handle passes an event to the module and appends the module's actions to dst. The time now
// is read from the caller's clock.
func (c *Core) Handle(now spool.Millis, ev spool.Event, dst []spool.Action) []spool.Action {
	n := len(dst)
	dst = c.router.Handle(now, ev, dst)
	if c.Recorder != nil {
		c.Recorder.Handled(now, ev, dst[n:])
	}
	return dst
}

// Explain has f called with each candidate that the module considers, during the decision. A
// nil f ends this.
func (c *Core) Explain(f func(spool.Candidate)) { c.router.Explain(f) }

// Ranges returns the caches' ranges of part indices.
func (c *Core) Ranges() []spool.Range { return c.router.Ranges() }

// Statuses returns the state of each member as the module sees it, by id, and that of the link
// over which fills enter the router's zone.
func (c *Core) Statuses() (map[string]spool.Status, spool.Status) { return c.router.Statuses() }

// Address returns the network address of a member, or "" if it was never listed with one.
func (c *Core) Address(id string) string {
	if m := c.members[id]; m != nil {
		return m.address
	}
	return ""
}

// Member returns the latest listed row of a member.
func (c *Core) Member(id string) (spool.Member, bool) {
	m := c.members[id]
	if m == nil {
		return spool.Member{}, false
	}
	return m.Member, true
}

// Members calls each for every listed member with its latest row, in no particular order.
// Removed members are included until Forget.
func (c *Core) Members(each func(m spool.Member, address string)) {
	for _, m := range c.members {
		each(m.Member, m.address)
	}
}

// Forget deletes a removed member. It has no effect on members in other states.
func (c *Core) Forget(id string) {
	if m := c.members[id]; m != nil && m.State == spool.Removed {
		delete(c.members, id)
	}
}

// Rev returns the revision of the endpoint list in use.
func (c *Core) Rev() int64 { return c.rev }

// Rejection is the error of a request that Classify cannot assign to a class.
type Rejection struct {
	Status  int    // HTTP status of the answer
	Detail  string // detail parameter of Cache-Status and word of the access log
	Message string // cause and remedy, for the client
}

func (r *Rejection) Error() string { return fmt.Sprintf("engine: %s (status %d)", r.Message, r.Status) }

// The errors that Classify returns.
var (
	ErrNoRoute        = &Rejection{404, "no-route", "no route fits the path"}
	ErrMethod         = &Rejection{405, "bad-method", "the route does not take the method"}
	ErrIdempotencyKey = &Rejection{400, "no-idempotency-key", "a write to this route needs an Idempotency-Key: add the field, with a value of its own for each write and the same one for its repeats"}
	ErrPart           = &Rejection{400, "bad-part", "the part in the path is no whole number: write one, from 0"}
	ErrRange          = &Rejection{416, "bad-range", "the range does not begin at a part: begin it at a multiple of the part's size"}
	ErrDeadline       = &Rejection{400, "bad-deadline", "the deadline is no positive number of milliseconds: write one, or leave the field out"}
)

// Classify converts a request head into a request of the module, with the caller's id and
// time. The first route that matches the path and accepts the method decides. An error is a
// *Rejection. Classify allocates only the object's name.
func (c *Core) Classify(id string, now spool.Millis, h *http1.Head) (spool.Request, error) {
	path := h.Path()
	write := isWrite(h.Method)
	pathMatched := false
	for i := range c.routes {
		r := &c.routes[i]
		var m match
		if !r.match(path, &m) {
			continue
		}
		if pathMatched = true; !r.accepts(h.Method, write) {
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
	if pathMatched {
		return spool.Request{}, ErrMethod
	}
	return spool.Request{}, ErrNoRoute
}

// IdempotentByKey reports whether requests of a class carry an idempotency key, by which
// repeats of a request are recognized and dropped.
func (c *Core) IdempotentByKey(class string) bool {
	for i := range c.module.Classes {
		if c.module.Classes[i].Name == class {
			return c.module.Classes[i].Idempotency == spool.IdempotentByKey
		}
	}
	return false
}

// isWrite reports whether a method is not one of the safe methods of RFC 9110.
func isWrite(method []byte) bool {
	switch string(method) {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return false
	}
	return true
}

// rangePart returns the part at which a Range header begins, for parts of partBytes each. An
// empty header means part 0. A range that begins inside a part, or is not a byte range with a
// first position, is an ErrRange.
func rangePart(v []byte, partBytes int64) (int, error) {
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
	if digits == 0 || first%partBytes != 0 {
		return 0, ErrRange
	}
	return int(min(first/partBytes, 1<<30)), nil
}

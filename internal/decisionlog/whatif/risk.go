package whatif

import (
	"fmt"

	spool "indigospool"
	"indigospool/internal/config"
)

// Risk counts the cases in which the decisions of one router may break a rule of
// internal/testbed/invariants. The decisions of other routers are not known.
type Risk struct {
	Rule     int    `json:"rule"`
	Name     string `json:"name"`
	Baseline int64  `json:"was"`
	Modified int64  `json:"is"`
	First    string `json:"first"` // the first case
}

var ruleNames = [...]string{"", "no final answer in time", "a non-idempotent request that may run twice", "an attempt at a member that is draining or removed",
	"a member loaded beyond its capacity while it is warming up", "a copy from before a purge"}

// riskChecker checks the decisions in a simulation. It uses the updates that the router
// received, and no state of the module.
type riskChecker struct {
	settings         *config.Settings
	classes          map[string]config.Class
	unavailableSince map[string]float64 // time, by member that is draining or removed
	listed           map[string]spool.Member
	objectPurges     map[string]float64
	groupPurges      map[int]float64
	warmUpWork       map[string][]work // sent to members since their start, within the last OverloadTime
	counts           [6]int64
	first            [6]string
}

// work is the sending time of an attempt.
type work struct{ sentAt, sendMillis float64 }

func newRiskChecker() *riskChecker { return &riskChecker{} }

// startRun resets the state at the start of a run.
func (r *riskChecker) startRun(s *config.Settings) {
	r.unavailableSince, r.listed = map[string]float64{}, map[string]spool.Member{}
	r.objectPurges, r.groupPurges, r.warmUpWork = map[string]float64{}, map[int]float64{}, map[string][]work{}
	r.changeSettings(s)
}

// changeSettings replaces the settings, as a change of the router's settings does.
func (r *riskChecker) changeSettings(s *config.Settings) {
	r.settings, r.classes = s, map[string]config.Class{}
	for _, k := range s.Classes {
		r.classes[k.Name] = k
	}
}

// record counts a case of a rule, and keeps the message of the first.
func (r *riskChecker) record(rule int, format string, args ...any) {
	if r.counts[rule]++; r.counts[rule] == 1 {
		r.first[rule] = fmt.Sprintf(format, args...)
	}
}

// update follows the endpoint list and the purges.
func (r *riskChecker) update(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		listed := map[string]bool{}
		for _, m := range ev.Rows {
			listed[m.ID] = true
			if m.State == spool.Serving {
				delete(r.unavailableSince, m.ID)
			} else if _, known := r.unavailableSince[m.ID]; !known {
				r.unavailableSince[m.ID] = now
			}
			if r.listed[m.ID].ReadyAt != m.ReadyAt {
				delete(r.warmUpWork, m.ID)
			}
			r.listed[m.ID] = m
		}
		if ev.Full {
			for id := range r.listed {
				if _, known := r.unavailableSince[id]; !listed[id] && !known {
					r.unavailableSince[id] = now
				}
			}
		}
	case spool.Purge:
		if ev.Object != "" {
			r.objectPurges[ev.Object] = max(r.objectPurges[ev.Object], now-ev.Age)
		} else {
			r.groupPurges[ev.Group] = max(r.groupPurges[ev.Group], now-ev.Age)
		}
	}
}

// attemptSent checks an attempt against rules 2 to 5.
func (r *riskChecker) attemptSent(now float64, state *RequestState, send *spool.Send) {
	class := r.classes[state.Request.Class]
	if n := len(state.Attempts) - 1; n > 0 {
		mayHaveRun := -1 // the first attempt that may have run
		for i, t := range state.Attempts[:n] {
			if mayHaveRun < 0 && (!t.Done || !t.Result.NotExecuted()) {
				mayHaveRun = i
			}
		}
		if mayHaveRun >= 0 && (class.Idempotency == "single-shot" || class.Idempotency == "guarded" && now-state.Attempts[mayHaveRun].SentAt > class.KeyWindow) {
			r.record(2, "%s of class %s, attempt %d %.0f ms after one that may have run", state.Request.ID, class.Name, n, now-state.Attempts[mayHaveRun].SentAt)
		}
	}
	members := []string{send.Cache, send.Source}
	if send.Source == send.Cache {
		members = members[:1]
	}
	for _, id := range members {
		if since, ok := r.unavailableSince[id]; ok && now-since > r.settings.Rules.DrainGrace {
			r.record(3, "%s to %s, %.0f ms after it was reported as draining or removed", state.Request.ID, id, now-since)
		}
		r.checkWarmUp(now, id, state, class)
	}
	purgedAt, purged := r.objectPurges[state.Request.Object]
	if g, ok := r.groupPurges[state.Request.Group]; ok && (!purged || g > purgedAt) {
		purgedAt, purged = g, true
	}
	if purged && now-purgedAt < r.settings.Rules.PurgeTime && send.Age > now-purgedAt+1 && !class.Write {
		r.record(5, "%s accepts copies up to %.0f ms old, %.0f ms after a purge", state.Request.ID, send.Age, now-purgedAt)
	}
}

// checkWarmUp checks an attempt at a member that is warming up, if the member's capacity is
// listed: within OverloadTime, this router may use its share of the load at which the member
// fails.
func (r *riskChecker) checkWarmUp(now float64, id string, state *RequestState, class config.Class) {
	member, rules := r.listed[id], r.settings.Rules
	initialShare, warmUpTime, overloadFactor, routers := rules.WarmUpInitialShare, rules.WarmUpTime, rules.OverloadFactor, r.zoneRouters()
	if member.Kind == r.settings.Fill.ParentKind {
		initialShare, warmUpTime, overloadFactor, routers = rules.ParentWarmUpInitialShare, rules.ParentWarmUpTime, rules.ParentOverloadFactor, max(r.settings.Router.Routers, 1)
	}
	age := now - member.ReadyAt
	if member.ReadyAt <= 0 || age >= warmUpTime || warmUpTime <= 0 || !r.settings.Fill.SizeIsCapacity || member.Size <= 0 || member.Kind == r.settings.Fill.OriginKind || r.settings.Fill.FlowKBPerMs <= 0 {
		return
	}
	sent := append(r.warmUpWork[id], work{now, state.Request.KB / r.settings.Fill.FlowKBPerMs})
	for len(sent) > 0 && sent[0].sentAt <= now-rules.OverloadTime {
		sent = sent[1:]
	}
	r.warmUpWork[id] = sent
	sum := 0.0
	for _, w := range sent {
		sum += w.sendMillis
	}
	limit := overloadFactor * member.Size * (initialShare + (1-initialShare)*max(age, 0)/warmUpTime) * rules.OverloadTime / float64(routers)
	if len(sent) > 1 && sum > limit {
		r.record(4, "%s to %s, up for %.0f ms: %.0f ms of sending time in %.0f ms, the router's share is %.0f ms", state.Request.ID, id, age, sum, rules.OverloadTime, limit)
	}
}

// zoneRouters returns the number of routers that share the caches of this router's zone.
func (r *riskChecker) zoneRouters() int {
	for _, z := range r.settings.Zones {
		if z.Name == r.settings.Router.Zone && z.Routers > 0 {
			return z.Routers
		}
	}
	return 1
}

// requestEnded checks the end of a request against rule 1.
func (r *riskChecker) requestEnded(now float64, state *RequestState) {
	if state.End != Unfinished && state.End != ClientLeft && !state.started && now > state.Request.Deadline+r.settings.Limits.AnswerSlack {
		r.record(1, "%s, %.0f ms past its deadline", state.Request.ID, now-state.Request.Deadline)
	}
}

// compareRisks returns the rules that are at risk in either simulation.
func compareRisks(baseline, modified *riskChecker) (out []Risk) {
	for rule := 1; rule < len(ruleNames); rule++ {
		if baseline.counts[rule]+modified.counts[rule] == 0 {
			continue
		}
		one := Risk{Rule: rule, Name: ruleNames[rule], Baseline: baseline.counts[rule], Modified: modified.counts[rule], First: modified.first[rule]}
		if one.First == "" {
			one.First = baseline.first[rule]
		}
		out = append(out, one)
	}
	return out
}

package whatif

import (
	"fmt"

	spool "indigospool"
	"indigospool/internal/config"
)

// Risk is a rule that one router's decisions put at risk, as far as they show it.
type Risk struct {
	Rule     int    `json:"rule"`
	Name     string `json:"name"`
	Baseline int64  `json:"was"`
	Modified int64  `json:"is"`
	First    string `json:"first"` // where it is for the first time
}

var ruleNames = [...]string{"", "no final answer in time", "an effect that may happen twice", "new to a member that drains or is gone",
	"a cold member given more than it surely bears", "a copy older than a purge will do"}

// riskChecker judges what a run decides. It knows the news as the router was told them,
// and nothing of the module's.
type riskChecker struct {
	settings         *config.Settings
	classes          map[string]config.Class
	unavailableSince map[string]float64 // members that are not serving, and since when
	listed           map[string]spool.Member
	objectPurges     map[string]float64
	groupPurges      map[int]float64
	warmUpWork       map[string][]work // what was sent to members since they started, in the last FallTime
	counts           [6]int64
	first            [6]string
}

type work struct{ t, ms float64 }

func newRiskChecker() *riskChecker { return &riskChecker{} }

// startRun begins a life.
func (r *riskChecker) startRun(s *config.Settings) {
	r.unavailableSince, r.listed = map[string]float64{}, map[string]spool.Member{}
	r.objectPurges, r.groupPurges, r.warmUpWork = map[string]float64{}, map[int]float64{}, map[string][]work{}
	r.changeSettings(s)
}

func (r *riskChecker) changeSettings(s *config.Settings) {
	r.settings, r.classes = s, map[string]config.Class{}
	for _, k := range s.Classes {
		r.classes[k.Name] = k
	}
}

func (r *riskChecker) record(rule int, format string, args ...any) {
	if r.counts[rule]++; r.counts[rule] == 1 {
		r.first[rule] = fmt.Sprintf(format, args...)
	}
}

// update follows the list and purges.
func (r *riskChecker) update(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		named := map[string]bool{}
		for _, m := range ev.Rows {
			named[m.ID] = true
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
				if _, known := r.unavailableSince[id]; !named[id] && !known {
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

// attemptSent judges an attempt: rules 2 to 5.
func (r *riskChecker) attemptSent(now float64, state *RequestState, s *spool.Send) {
	k := r.classes[state.Request.Class]
	if n := len(state.Attempts) - 1; n > 0 {
		mayHaveRun := -1 // the first attempt that may have run
		for i, t := range state.Attempts[:n] {
			if mayHaveRun < 0 && (!t.Done || !t.Result.NotExecuted()) {
				mayHaveRun = i
			}
		}
		if mayHaveRun >= 0 && (k.Idempotency == "single-shot" || k.Idempotency == "guarded" && now-state.Attempts[mayHaveRun].SentAt > k.KeyWindow) {
			r.record(2, "%s of class %s, attempt %d %.0f ms after one that may have run", state.Request.ID, k.Name, n, now-state.Attempts[mayHaveRun].SentAt)
		}
	}
	members := []string{s.Cache, s.Source}
	if s.Source == s.Cache {
		members = members[:1]
	}
	for _, id := range members {
		if since, ok := r.unavailableSince[id]; ok && now-since > r.settings.Rules.DrainGrace {
			r.record(3, "%s to %s, %.0f ms after it was told out", state.Request.ID, id, now-since)
		}
		r.checkWarmUp(now, id, state, k)
	}
	purgedAt, purged := r.objectPurges[state.Request.Object]
	if g, ok := r.groupPurges[state.Request.Group]; ok && (!purged || g > purgedAt) {
		purgedAt, purged = g, true
	}
	if purged && now-purgedAt < r.settings.Rules.PurgeTime && s.Age > now-purgedAt+1 && !k.Write {
		r.record(5, "%s takes copies up to %.0f ms old, %.0f ms after a purge", state.Request.ID, s.Age, now-purgedAt)
	}
}

// checkWarmUp judges what a member is sent while it is cold, where its capacity is told:
// this router's share of what it bears, over each span of FallTime.
func (r *riskChecker) checkWarmUp(now float64, id string, state *RequestState, k config.Class) {
	m, ru := r.listed[id], r.settings.Rules
	from, span, factor, of := ru.WarmUpInitialShare, ru.WarmUpTime, ru.OverloadFactor, r.zoneRouters()
	if m.Kind == r.settings.Fill.ParentKind {
		from, span, factor, of = ru.ParentWarmUpInitialShare, ru.ParentWarmUpTime, ru.ParentOverloadFactor, max(r.settings.Router.Routers, 1)
	}
	age := now - m.ReadyAt
	if m.ReadyAt <= 0 || age >= span || span <= 0 || !r.settings.Fill.SizeIsCapacity || m.Size <= 0 || m.Kind == r.settings.Fill.OriginKind || r.settings.Fill.FlowKBPerMs <= 0 {
		return
	}
	list := append(r.warmUpWork[id], work{now, state.Request.KB / r.settings.Fill.FlowKBPerMs})
	for len(list) > 0 && list[0].t <= now-ru.OverloadTime {
		list = list[1:]
	}
	r.warmUpWork[id] = list
	sum := 0.0
	for _, w := range list {
		sum += w.ms
	}
	limit := factor * m.Size * (from + (1-from)*max(age, 0)/span) * ru.OverloadTime / float64(of)
	if len(list) > 1 && sum > limit {
		r.record(4, "%s to %s, up for %.0f ms: %.0f ms of sending in %.0f ms, its share is %.0f", state.Request.ID, id, age, sum, ru.OverloadTime, limit)
	}
}

// zoneRouters is how many routers this one's caches are shared by.
func (r *riskChecker) zoneRouters() int {
	for _, z := range r.settings.Zones {
		if z.Name == r.settings.Router.Zone && z.Routers > 0 {
			return z.Routers
		}
	}
	return 1
}

// requestEnded judges the end of a request: rule 1.
func (r *riskChecker) requestEnded(now float64, state *RequestState) {
	if state.End != Unfinished && state.End != ClientLeft && !state.started && now > state.Request.Deadline+r.settings.Limits.AnswerSlack {
		r.record(1, "%s, %.0f ms past its deadline", state.Request.ID, now-state.Request.Deadline)
	}
}

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

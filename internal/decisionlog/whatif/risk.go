package whatif

import (
	"fmt"

	spool "indigospool"
	"indigospool/internal/config"
)

// Risk is a rule that one router's decisions put at risk, as far as they show it.
type Risk struct {
	Rule  int    `json:"rule"`
	Name  string `json:"name"`
	Was   int64  `json:"was"`
	Is    int64  `json:"is"`
	First string `json:"first"` // where it is for the first time
}

var ruleNames = [...]string{"", "no final answer in time", "an effect that may happen twice", "new to a member that drains or is gone",
	"a cold member given more than it surely bears", "a copy older than a purge will do"}

// risks judges what a run decides. It knows the news as the router was told them,
// and nothing of the module's.
type risks struct {
	s      *config.Settings
	kinds  map[string]config.Class
	out    map[string]float64 // members that are not serving, and since when
	listed map[string]spool.Member
	voids  map[string]float64
	group  map[int]float64
	cold   map[string][]work // what was sent to members since they started, in the last FallTime
	counts [6]int64
	first  [6]string
}

type work struct{ t, ms float64 }

func newRisks() *risks { return &risks{} }

// begin begins a life.
func (r *risks) begin(s *config.Settings) {
	r.out, r.listed = map[string]float64{}, map[string]spool.Member{}
	r.voids, r.group, r.cold = map[string]float64{}, map[int]float64{}, map[string][]work{}
	r.settings(s)
}

func (r *risks) settings(s *config.Settings) {
	r.s, r.kinds = s, map[string]config.Class{}
	for _, k := range s.Classes {
		r.kinds[k.Name] = k
	}
}

func (r *risks) found(rule int, format string, args ...any) {
	if r.counts[rule]++; r.counts[rule] == 1 {
		r.first[rule] = fmt.Sprintf(format, args...)
	}
}

// news follows the list and purges.
func (r *risks) news(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		named := map[string]bool{}
		for _, m := range ev.Rows {
			named[m.ID] = true
			if m.State == spool.Serving {
				delete(r.out, m.ID)
			} else if _, known := r.out[m.ID]; !known {
				r.out[m.ID] = now
			}
			if r.listed[m.ID].ReadyAt != m.ReadyAt {
				delete(r.cold, m.ID)
			}
			r.listed[m.ID] = m
		}
		if ev.Full {
			for id := range r.listed {
				if _, known := r.out[id]; !named[id] && !known {
					r.out[id] = now
				}
			}
		}
	case spool.Purge:
		if ev.Object != "" {
			r.voids[ev.Object] = max(r.voids[ev.Object], now-ev.Age)
		} else {
			r.group[ev.Group] = max(r.group[ev.Group], now-ev.Age)
		}
	}
}

// sent judges an attempt: rules 2 to 5.
func (r *risks) sent(now float64, h *RequestState, s *spool.Send) {
	k := r.kinds[h.Request.Class]
	if n := len(h.Tries) - 1; n > 0 {
		may := -1 // the first attempt that may have run
		for i, t := range h.Tries[:n] {
			if may < 0 && (!t.Done || !t.Result.NotExecuted()) {
				may = i
			}
		}
		if may >= 0 && (k.Idempotency == "single-shot" || k.Idempotency == "guarded" && now-h.Tries[may].At > k.KeyWindow) {
			r.found(2, "%s of class %s, attempt %d %.0f ms after one that may have run", h.Request.ID, k.Name, n, now-h.Tries[may].At)
		}
	}
	members := []string{s.Cache, s.Source}
	if s.Source == s.Cache {
		members = members[:1]
	}
	for _, id := range members {
		if since, ok := r.out[id]; ok && now-since > r.s.Rules.DrainGrace {
			r.found(3, "%s to %s, %.0f ms after it was told out", h.Request.ID, id, now-since)
		}
		r.warm(now, id, h, k)
	}
	void, told := r.voids[h.Request.Object]
	if g, ok := r.group[h.Request.Group]; ok && (!told || g > void) {
		void, told = g, true
	}
	if told && now-void < r.s.Rules.PurgeTime && s.Age > now-void+1 && !k.Write {
		r.found(5, "%s takes copies up to %.0f ms old, %.0f ms after a purge", h.Request.ID, s.Age, now-void)
	}
}

// warm judges what a member is sent while it is cold, where its capacity is told:
// this router's share of what it bears, over each span of FallTime.
func (r *risks) warm(now float64, id string, h *RequestState, k config.Class) {
	m, ru := r.listed[id], r.s.Rules
	from, span, factor, of := ru.WarmUpInitialShare, ru.WarmUpTime, ru.OverloadFactor, r.sharers()
	if m.Kind == r.s.Fill.ParentKind {
		from, span, factor, of = ru.ParentWarmUpInitialShare, ru.ParentWarmUpTime, ru.ParentOverloadFactor, max(r.s.Router.Routers, 1)
	}
	age := now - m.ReadyAt
	if m.ReadyAt <= 0 || age >= span || span <= 0 || !r.s.Fill.SizeIsCapacity || m.Size <= 0 || m.Kind == r.s.Fill.OriginKind || r.s.Fill.FlowKBPerMs <= 0 {
		return
	}
	list := append(r.cold[id], work{now, h.Request.KB / r.s.Fill.FlowKBPerMs})
	for len(list) > 0 && list[0].t <= now-ru.OverloadTime {
		list = list[1:]
	}
	r.cold[id] = list
	sum := 0.0
	for _, w := range list {
		sum += w.ms
	}
	bears := factor * m.Size * (from + (1-from)*max(age, 0)/span) * ru.OverloadTime / float64(of)
	if len(list) > 1 && sum > bears {
		r.found(4, "%s to %s, up for %.0f ms: %.0f ms of sending in %.0f ms, its share is %.0f", h.Request.ID, id, age, sum, ru.OverloadTime, bears)
	}
}

// sharers is how many routers this one's caches are shared by.
func (r *risks) sharers() int {
	for _, z := range r.s.Zones {
		if z.Name == r.s.Router.Zone && z.Routers > 0 {
			return z.Routers
		}
	}
	return 1
}

// over judges the end of a request: rule 1.
func (r *risks) over(now float64, h *RequestState) {
	if h.End != Cut && h.End != Left && !h.begun && now > h.Request.Deadline+r.s.Limits.AnswerSlack {
		r.found(1, "%s, %.0f ms past its deadline", h.Request.ID, now-h.Request.Deadline)
	}
}

func compareRisks(was, is *risks) (out []Risk) {
	for rule := 1; rule < len(ruleNames); rule++ {
		if was.counts[rule]+is.counts[rule] == 0 {
			continue
		}
		one := Risk{Rule: rule, Name: ruleNames[rule], Was: was.counts[rule], Is: is.counts[rule], First: is.first[rule]}
		if one.First == "" {
			one.First = was.first[rule]
		}
		out = append(out, one)
	}
	return out
}

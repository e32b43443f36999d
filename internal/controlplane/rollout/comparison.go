package rollout

import "fmt"

// requestCounts counts requests, and those of them that were served in time.
type requestCounts struct{ inTime, requests float64 }

// inTimeShare returns the share of requests served in time, or 0 without requests.
func (c requestCounts) inTimeShare() float64 { return c.inTime / max(c.requests, 1) }

func (c *requestCounts) add(other requestCounts) {
	c.inTime += other.inTime
	c.requests += other.requests
}

// decay reduces the weight of the counts so far.
func (c *requestCounts) decay(factor float64) {
	c.inTime *= factor
	c.requests *= factor
}

// decayPerReport is the factor applied to the earlier counts at each load report, so
// that about the last ten reports determine the in-time share.
const decayPerReport = 0.9

// loadReport adds a router's requests to the counts of the rollout in progress or,
// between rollouts, to the baseline of the next one.
func (r *Rollout) loadReport(report LoadReport) {
	router := r.router(report.Router)
	counts := requestCounts{max(report.InTime, 0), max(report.Requests, 0)}
	if r.inProgress() {
		router.since.add(counts)
		return
	}
	router.before.decay(decayPerReport)
	router.before.add(counts)
}

// restartComparison adds the counts since the rollout began to the baseline, and resets
// them.
func (r *Rollout) restartComparison() {
	for _, router := range r.routers {
		router.before.add(router.since)
		router.since = requestCounts{}
	}
}

// inTimeChange aggregates the change of the in-time share over routers, weighted by
// their requests since the rollout began.
type inTimeChange struct{ weightedDrop, requests, requestsBefore float64 }

func (c *inTimeChange) add(router *routerState) {
	drop := router.before.inTimeShare() - router.since.inTimeShare()
	c.weightedDrop += drop * router.since.requests
	c.requests += router.since.requests
	c.requestsBefore += router.before.requests
}

func (c *inTimeChange) drop() float64 { return c.weightedDrop / max(c.requests, 1) }

// inTimeShareDropped reports whether the in-time share of the stage's routers that run
// the version dropped by more than MaxInTimeDrop, and why. Each router is compared with
// its own baseline, since zones differ, and the drop at routers outside of the stage is
// subtracted, since the version does not cause it.
func (r *Rollout) inTimeShareDropped(stage []string) (reason string, dropped bool) {
	inStage := map[string]bool{}
	for _, name := range stage {
		inStage[name] = true
	}
	var atStage, atOthers inTimeChange
	for name, router := range r.routers {
		if !router.connected || router.before.requests == 0 || router.since.requests == 0 {
			continue
		}
		switch {
		case inStage[name] && router.running >= r.state.Next.Number:
			atStage.add(router)
		case !inStage[name]:
			atOthers.add(router)
		}
	}
	minRequests := min(atStage.requests, atStage.requestsBefore, atOthers.requests, atOthers.requestsBefore)
	if minRequests < r.settings.MinRequests {
		return "", false
	}
	if atStage.drop()-max(atOthers.drop(), 0) <= r.settings.MaxInTimeDrop {
		return "", false
	}
	return fmt.Sprintf("the share of requests served in time fell by %.1f percentage points at routers that run it, and by %.1f at the others",
		100*atStage.drop(), 100*atOthers.drop()), true
}

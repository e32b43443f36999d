package rollout

import "fmt"

// requestCounts are a router's requests, and those of them that were served in time.
type requestCounts struct{ inTime, requests float64 }

// inTimeShare is 0 where there were no requests.
func (c requestCounts) inTimeShare() float64 { return c.inTime / max(c.requests, 1) }

func (c *requestCounts) add(other requestCounts) {
	c.inTime += other.inTime
	c.requests += other.requests
}

// decay makes what was counted before weigh less than what comes.
func (c *requestCounts) decay(factor float64) {
	c.inTime *= factor
	c.requests *= factor
}

// decayPerReport is what is left, at each report, of the counts before it: service of
// late is that of about the last ten reports.
const decayPerReport = 0.9

// loadReport counts a router's requests: for the rollout under way, or as the usual
// service that the next one is compared with.
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

// restartComparison has service counted anew: what was counted is of before.
func (r *Rollout) restartComparison() {
	for _, router := range r.routers {
		router.before.add(router.since)
		router.since = requestCounts{}
	}
}

// inTimeChange is how service has changed at several routers: each one's own change
// weighs by its requests since.
type inTimeChange struct{ weightedDrop, requests, requestsBefore float64 }

func (c *inTimeChange) add(router *routerState) {
	drop := router.before.inTimeShare() - router.since.inTimeShare()
	c.weightedDrop += drop * router.since.requests
	c.requests += router.since.requests
	c.requestsBefore += router.before.requests
}

func (c *inTimeChange) drop() float64 { return c.weightedDrop / max(c.requests, 1) }

// inTimeShareDropped reports whether, and how, service at the routers that run the version
// has fallen against what it was before by more than it has at those outside of the
// stage: zones differ, and what befalls all of them is not the version's doing.
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
	return fmt.Sprintf("service in time at routers that run it is %.1f points of a hundred less than before, at the others %.1f",
		100*atStage.drop(), 100*atOthers.drop()), true
}

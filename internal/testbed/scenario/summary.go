package scenario

import (
	"fmt"
	"sort"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigospool/internal/testbed/trafficlog"
)

// ClassSummary counts the outcomes of a class's requests as clients observed them.
type ClassSummary struct {
	Class      string  `json:"class"`
	Requests   int     `json:"requests"`   // tries, with retries
	Served     int     `json:"served"`     // complete, within the latency objective
	Late       int     `json:"late"`       // complete, past the latency objective
	Rejected   int     `json:"refused"`    // status 503
	Failed     int     `json:"failed"`     // other 4xx and 5xx
	Incomplete int     `json:"broken"`     // the response ended early
	Abandoned  int     `json:"gone"`       // the client closed the connection
	Unreached  int     `json:"unreached"`  // no router accepted the request
	Unanswered int     `json:"unanswered"` // no response
	Hits       int     `json:"hits"`       // served from the nearest cache
	Retries    int     `json:"retries"`
	Attempts   int     `json:"attempts"`
	MB         float64 `json:"mb"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	P999       float64 `json:"p999_ms"`
}

// FaultImpact compares the requests made during a fault and in the 2 s after it with those
// made at other times.
type FaultImpact struct {
	Fault            string  `json:"trouble"`
	Requests         int     `json:"requests"`
	InTime           float64 `json:"in_time"`  // share of all requests served within the latency objective
	InTimeOfAccepted float64 `json:"of_taken"` // the same, of the requests that a router accepted
	InTimeOutside    float64 `json:"outside"`  // as InTime, of the requests outside any fault
}

// Summary holds the counts of a run.
type Summary struct {
	Classes      []ClassSummary `json:"classes"`
	LinkMB       float64        `json:"link_mb"`   // fills into boxes
	ParentMB     float64        `json:"parent_mb"` // sent by parents
	OriginMB     float64        `json:"origin_mb"`
	Attempts     int            `json:"attempts"`
	UpdatesSent  int            `json:"told"` // list updates and purges sent to routers
	FaultImpacts []FaultImpact  `json:"costs"`
}

// faultTailMS is the time after a fault whose requests count for its impact.
const faultTailMS = 2000

// Summarize counts the outcomes in a traffic log.
func Summarize(script *Script, recs []trafficlog.Record) Summary {
	var out Summary
	classes := map[string]*ClassSummary{}
	histograms := map[string]*hdrhistogram.Histogram{}
	definitions := map[string]Class{}
	for _, k := range script.Classes {
		classes[k.Name] = &ClassSummary{Class: k.Name}
		histograms[k.Name] = hdrhistogram.New(1, 600_000_000, 3)
		definitions[k.Name] = k
	}
	type try struct {
		request  *trafficlog.Record
		head     *trafficlog.Record
		inTime   bool
		accepted bool // a router accepted the request
	}
	tries := map[string]*try{}
	type faultSpan struct {
		name     string
		from, to float64
	}
	var spans []faultSpan
	for i := range recs {
		record := &recs[i]
		class := classes[record.Class]
		switch record.Event {
		case trafficlog.RequestSent:
			tries[record.ID] = &try{request: record}
			if class != nil {
				if class.Requests++; record.Retry > 0 {
					class.Retries++
				}
			}
		case trafficlog.ResponseHead:
			if t := tries[record.ID]; t != nil && t.head == nil {
				t.head = record
			}
		case trafficlog.ResponseEnd:
			t := tries[record.ID]
			if t == nil || class == nil {
				continue
			}
			class.MB += float64(record.Bytes) / (1 << 20)
			t.accepted = record.Err != "unreached"
			switch took := record.Time - t.request.Time; {
			case record.Err == "gone":
				class.Abandoned++
			case record.Err == "unreached":
				class.Unreached++
			case t.head == nil:
				class.Unanswered++
			case record.Err != "":
				class.Incomplete++
			case t.head.Status == 503:
				class.Rejected++
			case t.head.Status >= 400:
				class.Failed++
			default:
				if t.head.Hit {
					class.Hits++
				}
				k := definitions[record.Class]
				if t.inTime = took <= k.LatencyObjective+k.ObjectivePerSendTime*float64(record.Bytes)/1024/script.Stand.Flow; t.inTime {
					class.Served++
				} else {
					class.Late++
				}
				histograms[record.Class].RecordValue(int64(took * 1000))
			}
		case trafficlog.AttemptReceived:
			if record.Via == "" {
				out.Attempts++
				if class != nil {
					class.Attempts++
				}
			}
		case trafficlog.AttemptDone:
			mb := float64(record.Bytes) / (1 << 20)
			switch {
			case record.Role == "origin":
				out.OriginMB += mb
			case record.Role == "parent":
				out.ParentMB += mb
			}
			if record.Via != "" && !strings.HasPrefix(record.Via, "parent-") {
				out.LinkMB += mb
			}
		case trafficlog.UpdateSent:
			out.UpdatesSent++
		case trafficlog.Fault:
			if name, ok := strings.CutPrefix(record.Note, "begin "); ok {
				spans = append(spans, faultSpan{name, record.Time, record.Time + record.Limit + faultTailMS})
			}
		}
	}
	for _, k := range script.Classes {
		c, h := classes[k.Name], histograms[k.Name]
		c.P50, c.P99, c.P999 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.ValueAtQuantile(99.9))/1000
		out.Classes = append(out.Classes, *c)
	}
	share := func(in func(t float64) bool) (n int, ofAll, ofAccepted float64) {
		inTime, accepted := 0.0, 0
		for _, t := range tries {
			if !in(t.request.Time) {
				continue
			}
			n++
			if t.accepted {
				accepted++
			}
			if t.inTime {
				inTime++
			}
		}
		return n, inTime / float64(max(n, 1)), inTime / float64(max(accepted, 1))
	}
	_, outside, _ := share(func(t float64) bool {
		for _, sp := range spans {
			if t >= sp.from && t <= sp.to {
				return false
			}
		}
		return true
	})
	sort.SliceStable(spans, func(i, j int) bool { return spans[i].from < spans[j].from })
	for _, sp := range spans {
		n, ofAll, ofAccepted := share(func(t float64) bool { return t >= sp.from && t <= sp.to })
		out.FaultImpacts = append(out.FaultImpacts, FaultImpact{Fault: sp.name, Requests: n, InTime: ofAll, InTimeOfAccepted: ofAccepted, InTimeOutside: outside})
	}
	return out
}

// String returns the summary as text.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %8s %8s %6s %8s %7s %7s %6s %8s %7s %7s %9s %9s %9s\n", "class", "requests", "served", "late", "refused",
		"failed", "broken", "gone", "no-conn", "hits", "retries", "p50 ms", "p99 ms", "p99.9 ms")
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "%-14s %8d %8d %6d %8d %7d %7d %6d %8d %7d %7d %9.1f %9.1f %9.1f\n", c.Class, c.Requests, c.Served, c.Late,
			c.Rejected, c.Failed, c.Incomplete, c.Abandoned, c.Unreached+c.Unanswered, c.Hits, c.Retries, c.P50, c.P99, c.P999)
	}
	fmt.Fprintf(&b, "attempts %d; MB into zones %.1f, from parents %.1f, from the origin %.1f\n", s.Attempts, s.LinkMB, s.ParentMB, s.OriginMB)
	for _, c := range s.FaultImpacts {
		fmt.Fprintf(&b, "%-24s %6d requests in it and 2 s after, %5.1f %% in time, %5.1f %% of those that a router took (%5.1f %% where no trouble was)\n", c.Fault, c.Requests,
			100*c.InTime, 100*c.InTimeOfAccepted, 100*c.InTimeOutside)
	}
	return b.String()
}

package invariants

import (
	"encoding/json"
	"fmt"
	"math"

	"indigospool/internal/testbed/trafficlog"
)

// ClientFault is a repeat of a write that a client of the day had no right to make: none
// of the router's answers let it, and the key's window did not cover it. It is a fault of
// the test, not a broken rule of the router's, and fails the day as well.
type ClientFault struct {
	Time        float64             `json:"t"`
	Key         string              `json:"key"`
	Repeat      string              `json:"repeat"` // the request that should not have been made
	Description string              `json:"what"`
	Context     []trafficlog.Record `json:"around,omitempty"` // of the first fault of a tap
}

func (f *ClientFault) Error() string {
	return fmt.Sprintf("fault of the test's client at %.1f ms: repeat %s of key %q %s", f.Time, f.Repeat, f.Key, f.Description)
}

// clientTry is one try of a write, as its client saw it.
type clientTry struct {
	index      int // of its ask in the tap
	request    *trafficlog.Record
	rejectedAt float64 // when the client read a 503: the promise that a repeat is harmless; +Inf: never
	unaccepted bool    // no router took it, says its client
	executed   bool    // and yet, or as it should be, it had an effect
}

// collectClientTries are the tries of writes, by the name of the request.
func (c *checker) collectClientTries() map[string]*clientTry {
	tries := map[string]*clientTry{}
	for i := range c.records {
		ask := &c.records[i]
		if ask.Event != trafficlog.RequestSent || ask.Key == "" {
			continue
		}
		try := &clientTry{index: i, request: ask, rejectedAt: math.Inf(1)}
		for _, k := range c.byClientRequest[ask.ID] {
			switch r := &c.records[k]; {
			case r.Event == trafficlog.ResponseHead && r.Status == 503:
				try.rejectedAt = min(try.rejectedAt, r.Time)
			case r.Event == trafficlog.ResponseEnd:
				try.unaccepted = r.Err == "unreached"
			case r.Event == trafficlog.WriteExecuted && r.Note != "dropped":
				try.executed = true
			}
		}
		tries[ask.ID] = try
	}
	return tries
}

// unjustified says why a client had no right to repeat a try by another; empty: it had.
// Its right is a 503, that no router took the first, or that the repeat's time ends
// inside the window in which all servers drop it.
func (c *checker) unjustified(first, repeat *clientTry) string {
	class := c.params.Classes[first.request.Class]
	until := max(repeat.request.Time, repeat.request.Limit) - first.request.Time
	switch {
	case class.Idempotency == "free", first.rejectedAt <= repeat.request.Time:
		return ""
	case first.unaccepted && first.executed:
		return fmt.Sprintf("follows %s, which ran though its client says that no router took it", first.request.ID)
	case first.unaccepted:
		return ""
	case class.Idempotency != "guarded" || class.KeyScope != "all":
		return fmt.Sprintf("follows %s, which was not refused; class %s has no window at all servers", first.request.ID, first.request.Class)
	case until > class.KeyWindow:
		return fmt.Sprintf("may run until %.0f ms after %s, which was not refused; repeats are dropped for %.0f", until, first.request.ID, class.KeyWindow)
	}
	return ""
}

// routerFault says in what a router is to blame for a second effect of a key, and whether
// it is: it sent one request again, or had told the client that a repeat is harmless, or
// the client's repeat stood inside the window. Only where none of that is so, for any of
// the effects before, it is the client's fault. What is not known is the router's.
func (c *checker) routerFault(before []*trafficlog.Record, second *trafficlog.Record) (why string, is bool) {
	for _, r := range before {
		first, repeat := c.clientTries[r.ID], c.clientTries[second.ID]
		if first == nil || repeat == nil || first.request.Key != repeat.request.Key {
			return "", true
		}
		if first.index > repeat.index { // what was asked first ran last
			first, repeat = repeat, first
		}
		switch {
		case first == repeat:
			return fmt.Sprintf(": request %s ran again by itself", first.request.ID), true
		case first.rejectedAt <= repeat.request.Time:
			return fmt.Sprintf(": request %s was refused after it ran, and its client came back as told, as %s", first.request.ID, repeat.request.ID), true
		case c.unjustified(first, repeat) == "":
			return fmt.Sprintf(": repeat %s of %s stood inside the window", repeat.request.ID, first.request.ID), true
		}
	}
	return "", false
}

// checkClientRepeats looks at each repeat of a write for its client's right to it.
func (c *checker) checkClientRepeats() {
	verdict := &c.verdicts[2]
	asked := map[string][]*clientTry{} // by key
	for i := range c.records {
		ask := &c.records[i]
		if ask.Event != trafficlog.RequestSent || ask.Key == "" {
			continue
		}
		repeat, before := c.clientTries[ask.ID], asked[ask.Key]
		asked[ask.Key] = append(before, repeat)
		if len(before) == 0 {
			continue
		}
		verdict.Repeats++
		for _, first := range before {
			if why := c.unjustified(first, repeat); why != "" {
				c.addClientFault(first, repeat, why)
				break
			}
		}
	}
}

func (c *checker) addClientFault(first, repeat *clientTry, why string) {
	verdict := &c.verdicts[2]
	if first.executed && repeat.executed {
		why += "; the effect happened twice"
	}
	fault := ClientFault{Time: repeat.request.Time, Key: repeat.request.Key, Repeat: repeat.request.ID, Description: why}
	if len(verdict.ClientFaults) == 0 {
		fault.Context = c.recordsOfKey(repeat.request.Key)
	}
	verdict.ClientFaults = append(verdict.ClientFaults, fault)
}

// clientDetails tells of clients' faults, at most a few, with the records of the first.
func clientDetails(faults []ClientFault) string {
	const told = 5
	s := ""
	for i := range faults {
		if i == told {
			return s + fmt.Sprintf("  ... and %d more faults of the test's clients\n", len(faults)-i)
		}
		s += faults[i].Error() + "\n" + recordLines(faults[i].Context)
	}
	return s
}

// recordLines are records as lines, set in.
func recordLines(recs []trafficlog.Record) string {
	s := ""
	for _, r := range recs {
		line, _ := json.Marshal(r)
		s += "    " + string(line) + "\n"
	}
	return s
}

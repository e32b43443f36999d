package invariants

import (
	"encoding/json"
	"fmt"
	"math"

	"indigospool/internal/testbed/trafficlog"
)

// ClientFault is a repeat of a write that a correct client would not have made: no response
// of the router allowed it, and the window of the key did not cover it. It is a fault of the
// test and not a violation by the router, but it fails the scenario as well.
type ClientFault struct {
	Time        float64             `json:"t"`
	Key         string              `json:"key"`
	Repeat      string              `json:"repeat"` // ID of the request that should not have been made
	Description string              `json:"what"`
	Context     []trafficlog.Record `json:"around,omitempty"` // records of the same key; only of a log's first fault
}

func (f *ClientFault) Error() string {
	return fmt.Sprintf("fault of the test's client at %.1f ms: repeat %s of key %q %s", f.Time, f.Repeat, f.Key, f.Description)
}

// clientTry is one try of a write: a request of a client, the first one of a write or one
// that repeats it with the same key.
type clientTry struct {
	index      int // of its RequestSent record
	request    *trafficlog.Record
	rejectedAt float64 // when the client read a 503, which promises that a repeat is safe; +Inf: never
	unaccepted bool    // according to the client, no router accepted it
	executed   bool    // the origin executed it
}

// collectClientTries returns the tries of all writes, by request ID.
func (c *checker) collectClientTries() map[string]*clientTry {
	tries := map[string]*clientTry{}
	for i := range c.records {
		request := &c.records[i]
		if request.Event != trafficlog.RequestSent || request.Key == "" {
			continue
		}
		try := &clientTry{index: i, request: request, rejectedAt: math.Inf(1)}
		for _, k := range c.byClientRequest[request.ID] {
			switch r := &c.records[k]; {
			case r.Event == trafficlog.ResponseHead && r.Status == 503:
				try.rejectedAt = min(try.rejectedAt, r.Time)
			case r.Event == trafficlog.ResponseEnd:
				try.unaccepted = r.Err == "unreached"
			case r.Event == trafficlog.WriteExecuted && r.Note != "dropped":
				try.executed = true
			}
		}
		tries[request.ID] = try
	}
	return tries
}

// unjustified returns why a client should not have repeated the try first as repeat; empty
// if the repeat was allowed. A repeat is allowed if the class is idempotent, if the client had
// read a 503 for the first try, if no router accepted the first try and it was not executed,
// or if the repeat's deadline lies within the window in which all servers drop repeats.
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

// routerFault reports whether a router is to blame for the second effect of a key, and why.
// It is if one request took effect twice, if the router had promised the client that a repeat
// is safe, or if the client repeated the write within the window. The client is to blame if
// none of these holds for any earlier effect. If the log does not show the tries, the router
// is to blame.
func (c *checker) routerFault(before []*trafficlog.Record, second *trafficlog.Record) (why string, atFault bool) {
	for _, r := range before {
		first, repeat := c.clientTries[r.ID], c.clientTries[second.ID]
		if first == nil || repeat == nil || first.request.Key != repeat.request.Key {
			return "", true
		}
		if first.index > repeat.index { // the earlier try was executed last
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

// checkClientRepeats checks that clients repeat writes only where that is allowed, see
// unjustified.
func (c *checker) checkClientRepeats() {
	verdict := &c.verdicts[2]
	asked := map[string][]*clientTry{} // earlier tries, by key
	for i := range c.records {
		request := &c.records[i]
		if request.Event != trafficlog.RequestSent || request.Key == "" {
			continue
		}
		repeat, before := c.clientTries[request.ID], asked[request.Key]
		asked[request.Key] = append(before, repeat)
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

// clientDetails describes up to five client faults, with the records of the first one.
func clientDetails(faults []ClientFault) string {
	const maxFaults = 5
	s := ""
	for i := range faults {
		if i == maxFaults {
			return s + fmt.Sprintf("  ... and %d more faults of the test's clients\n", len(faults)-i)
		}
		s += faults[i].Error() + "\n" + recordLines(faults[i].Context)
	}
	return s
}

// recordLines returns records as indented lines of JSON.
func recordLines(recs []trafficlog.Record) string {
	s := ""
	for _, r := range recs {
		line, _ := json.Marshal(r)
		s += "    " + string(line) + "\n"
	}
	return s
}

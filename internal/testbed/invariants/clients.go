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
	T      float64             `json:"t"`
	Key    string              `json:"key"`
	Repeat string              `json:"repeat"` // the request that should not have been made
	What   string              `json:"what"`
	Around []trafficlog.Record `json:"around,omitempty"` // of the first fault of a tap
}

func (f *ClientFault) Error() string {
	return fmt.Sprintf("fault of the test's client at %.1f ms: repeat %s of key %q %s", f.T, f.Repeat, f.Key, f.What)
}

// clientTry is one try of a write, as its client saw it.
type clientTry struct {
	index     int // of its ask in the tap
	ask       *trafficlog.Record
	refusedAt float64 // when the client read a 503: the promise that a repeat is harmless; +Inf: never
	unreached bool    // no router took it, says its client
	ran       bool    // and yet, or as it should be, it had an effect
}

// clientTries are the tries of writes, by the name of the request.
func (c *checker) clientTries() map[string]*clientTry {
	tries := map[string]*clientTry{}
	for i := range c.recs {
		ask := &c.recs[i]
		if ask.Event != trafficlog.RequestSent || ask.Key == "" {
			continue
		}
		try := &clientTry{index: i, ask: ask, refusedAt: math.Inf(1)}
		for _, k := range c.ids[ask.ID] {
			switch r := &c.recs[k]; {
			case r.Event == trafficlog.ResponseHead && r.Status == 503:
				try.refusedAt = min(try.refusedAt, r.Time)
			case r.Event == trafficlog.ResponseEnd:
				try.unreached = r.Err == "unreached"
			case r.Event == trafficlog.WriteExecuted && r.Note != "dropped":
				try.ran = true
			}
		}
		tries[ask.ID] = try
	}
	return tries
}

// unlicensed says why a client had no right to repeat a try by another; empty: it had.
// Its right is a 503, that no router took the first, or that the repeat's time ends
// inside the window in which all servers drop it.
func (c *checker) unlicensed(first, repeat *clientTry) string {
	class := c.f.Classes[first.ask.Class]
	until := max(repeat.ask.Time, repeat.ask.Limit) - first.ask.Time
	switch {
	case class.Effect == "free", first.refusedAt <= repeat.ask.Time:
		return ""
	case first.unreached && first.ran:
		return fmt.Sprintf("follows %s, which ran though its client says that no router took it", first.ask.ID)
	case first.unreached:
		return ""
	case class.Effect != "guarded" || class.Group != "all":
		return fmt.Sprintf("follows %s, which was not refused; class %s has no window at all servers", first.ask.ID, first.ask.Class)
	case until > class.Window:
		return fmt.Sprintf("may run until %.0f ms after %s, which was not refused; repeats are dropped for %.0f", until, first.ask.ID, class.Window)
	}
	return ""
}

// routersFault says in what a router is to blame for a second effect of a key, and whether
// it is: it sent one request again, or had told the client that a repeat is harmless, or
// the client's repeat stood inside the window. Only where none of that is so, for any of
// the effects before, it is the client's fault. What is not known is the router's.
func (c *checker) routersFault(before []*trafficlog.Record, second *trafficlog.Record) (why string, is bool) {
	for _, r := range before {
		first, repeat := c.tries[r.ID], c.tries[second.ID]
		if first == nil || repeat == nil || first.ask.Key != repeat.ask.Key {
			return "", true
		}
		if first.index > repeat.index { // what was asked first ran last
			first, repeat = repeat, first
		}
		switch {
		case first == repeat:
			return fmt.Sprintf(": request %s ran again by itself", first.ask.ID), true
		case first.refusedAt <= repeat.ask.Time:
			return fmt.Sprintf(": request %s was refused after it ran, and its client came back as told, as %s", first.ask.ID, repeat.ask.ID), true
		case c.unlicensed(first, repeat) == "":
			return fmt.Sprintf(": repeat %s of %s stood inside the window", repeat.ask.ID, first.ask.ID), true
		}
	}
	return "", false
}

// repeats looks at each repeat of a write for its client's right to it.
func (c *checker) repeats() {
	verdict := &c.out[2]
	asked := map[string][]*clientTry{} // by key
	for i := range c.recs {
		ask := &c.recs[i]
		if ask.Event != trafficlog.RequestSent || ask.Key == "" {
			continue
		}
		repeat, before := c.tries[ask.ID], asked[ask.Key]
		asked[ask.Key] = append(before, repeat)
		if len(before) == 0 {
			continue
		}
		verdict.Repeats++
		for _, first := range before {
			if why := c.unlicensed(first, repeat); why != "" {
				c.clientFault(first, repeat, why)
				break
			}
		}
	}
}

func (c *checker) clientFault(first, repeat *clientTry, why string) {
	verdict := &c.out[2]
	if first.ran && repeat.ran {
		why += "; the effect happened twice"
	}
	fault := ClientFault{T: repeat.ask.Time, Key: repeat.ask.Key, Repeat: repeat.ask.ID, What: why}
	if len(verdict.ClientFaults) == 0 {
		fault.Around = c.ofKey(repeat.ask.Key)
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
		s += faults[i].Error() + "\n" + lines(faults[i].Around)
	}
	return s
}

// lines are records as lines, set in.
func lines(recs []trafficlog.Record) string {
	s := ""
	for _, r := range recs {
		line, _ := json.Marshal(r)
		s += "    " + string(line) + "\n"
	}
	return s
}

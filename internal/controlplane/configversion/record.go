package configversion

import (
	"cmp"
	"slices"
)

// State is a version's state at this router.
type State int

// States of a version.
const (
	StateOffered    State = iota // passed the checks, not stored yet
	StateAccepted                // stored, not activated yet
	StateRunning                 // activated
	StateSuperseded              // replaced by a newer version, before or after its activation
	StateRejected                // failed a check, or could not be stored
)

// stateNames are part of the output of a router's /state and must not change.
var stateNames = [...]string{
	StateOffered:    "offered",
	StateAccepted:   "accepted",
	StateRunning:    "running",
	StateSuperseded: "superseded",
	StateRejected:   "refused",
}

// String returns the state as a router's /state shows it.
func (s State) String() string { return stateNames[s] }

// Record is what the machine remembers about a version.
type Record struct {
	Number    int64
	Sum       string // SHA-256 of its body, in hex
	State     State
	Service   string   // that offered it; empty: restored from disk
	ChangedAt Millis   // when State last changed
	Reasons   []Reason // why it was rejected
}

// Records returns the remembered versions, sorted by number.
func (m *Machine) Records() []Record {
	list := make([]Record, 0, len(m.records))
	for _, record := range m.records {
		list = append(list, *record)
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// record stores a version's state. Above MaxRecords it removes the records with the
// lowest numbers, except those of the running version and the candidate.
func (m *Machine) record(version Version, state State, service string, reasons []Reason) {
	m.records[version.Number] = &Record{version.Number, version.Sum, state, service, m.now, reasons}
	for len(m.records) > m.settings.MaxRecords {
		lowest := int64(0)
		for number := range m.records {
			isCandidate := m.candidate != nil && number == m.candidate.version.Number
			if number == m.running.Number || isCandidate {
				continue
			}
			if lowest == 0 || number < lowest {
				lowest = number
			}
		}
		if lowest == 0 {
			return
		}
		delete(m.records, lowest)
	}
}

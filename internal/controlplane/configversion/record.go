package configversion

import (
	"cmp"
	"slices"
)

// State is how far a version has come at this router.
type State int

// The states.
const (
	StateOffered    State = iota // checked and good, and not yet on disk
	StateAccepted                // on disk, and not yet activated
	StateRunning                 // activated
	StateSuperseded              // replaced before or after it was activated
	StateRejected                // by a check, or since it could not be stored
)

// stateNames are shown in a router's /state, so they keep their words.
var stateNames = [...]string{
	StateOffered:    "offered",
	StateAccepted:   "accepted",
	StateRunning:    "running",
	StateSuperseded: "superseded",
	StateRejected:   "refused",
}

// String is the state as a router's /state shows it.
func (s State) String() string { return stateNames[s] }

// Record is what is remembered of a version.
type Record struct {
	Number    int64
	Sum       string // SHA-256 of its body, in hex
	State     State
	Service   string   // that offered it; empty: it was restored from disk
	ChangedAt Millis   // when State changed last
	Reasons   []Reason // why it was rejected
}

// Records are the versions that are remembered, by number.
func (m *Machine) Records() []Record {
	list := make([]Record, 0, len(m.records))
	for _, record := range m.records {
		list = append(list, *record)
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// record remembers a version's state, and forgets the lowest numbers past the limit,
// but neither the running version nor the candidate.
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

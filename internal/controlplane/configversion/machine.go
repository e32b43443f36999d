// Package configversion decides about versions of a router's configuration: which one
// that a control service offers is accepted and which rejected, and why; when an
// accepted one is activated; what is run after a restart, and which service is believed
// when two disagree. It is a state machine without I/O: events go in, actions come
// out, time is the caller's and chance comes from a seed.
//
// The package owns, for each router, the running version, the candidate on its way to
// be run, the lease of the service that is believed, and what is remembered of earlier
// versions. It never speaks to a service, a disk or a router: streams are those of
// internal/controlplane/service, the disk that of internal/controlplane/configstore
// (docs/control.md), and what a version's members mean for requests is the decision
// module's. How a service brings a version to its routers is
// internal/controlplane/rollout.
//
// The machine is in machine.go and restore.go, its events and actions in events.go, the
// semantic checks of a version in check.go, the order in which changes of members are
// applied in diff.go.
//
// The guarantee, for any sequence of offers, lost streams, restarts and damage: a
// router runs only versions that passed every check, and never one with a lower number
// than the last it accepted. A rollback is a new number with old content.
package configversion

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"

	"indigospool/internal/config"
)

// identity is which version it is: a number is never given to two contents.
type identity struct {
	number int64
	sum    string
}

func identityOf(version Version) identity { return identity{version.Number, version.Sum} }

// candidate is a version on its way to be run.
type candidate struct {
	version    Version
	settings   *config.Settings
	service    string
	storing    bool
	accepted   bool
	activateAt Millis // once it is accepted
}

// Machine is one router's view of its versions. It is not safe for concurrent use.
type Machine struct {
	settings MachineSettings
	random   *rand.Rand
	now      Millis
	actions  []Action

	running         Version // Number 0: none yet
	runningSettings *config.Settings
	confirmedAt     Millis // when the running version was last known to be the newest
	candidate       *candidate
	accepted        identity // the highest ever accepted
	restored        bool     // Restored was handled
	warned          bool     // that the running version is not confirmed
	records         map[int64]*Record

	leaseHolder    string // the service that is believed; empty: none yet
	leaseRenewedAt Millis // its last sign of life
	waitingService string // one whose offer was rejected since it does not hold the lease
}

// NewMachine makes a machine that runs nothing yet. Machines with other seeds activate
// a version at other times.
func NewMachine(settings MachineSettings, seed uint64) *Machine {
	return &Machine{
		settings: settings.withDefaults(),
		random:   rand.New(rand.NewPCG(seed, 0xf1ee7)),
		records:  map[int64]*Record{},
	}
}

// Running is the number of the version that is run, 0 before the first.
func (m *Machine) Running() int64 { return m.running.Number }

// HighestAccepted is the highest number that was ever accepted.
func (m *Machine) HighestAccepted() int64 { return m.accepted.number }

// Accepted is the newest version that was accepted and is known with its body.
func (m *Machine) Accepted() Version {
	if m.candidate != nil && m.candidate.accepted {
		return m.candidate.version
	}
	return m.running
}

// Age is how long ago the running version was last known to be the newest.
func (m *Machine) Age(now Millis) Millis {
	if m.running.Number == 0 {
		return 0
	}
	return max(now-m.confirmedAt, 0)
}

// LeaseHolder is the service that is believed, or "".
func (m *Machine) LeaseHolder() string { return m.leaseHolder }

// Handle takes one event at the time now, and appends the actions that are to be done,
// in their order, to actions.
func (m *Machine) Handle(now Millis, event Event, actions []Action) []Action {
	m.now = max(now, m.now)
	m.actions = actions
	switch event := event.(type) {
	case Restored:
		m.restore(event)
	case Offered:
		m.offered(event)
	case Heartbeat:
		m.renewLease(event.Service)
	case Disconnected:
		// a lost stream alone changes nothing: the lease does, when it has run out
	case Stored:
		m.stored(event)
	}
	m.advance()
	actions, m.actions = m.actions, nil
	return actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// renewLease records a sign of life of a service, and reports whether it holds the
// lease: another one gets it once the holder has been silent for its span.
func (m *Machine) renewLease(service string) bool {
	silence := m.now - m.leaseRenewedAt
	isHeld := m.leaseHolder != "" && silence < m.settings.Lease
	if m.leaseHolder != service && isHeld {
		return false
	}
	if m.leaseHolder != service && m.leaseHolder != "" {
		m.emit(Warn{fmt.Sprintf("service %s is in charge now; %s was silent for %.0f s", service, m.leaseHolder, silence/1000)})
	}
	m.leaseHolder = service
	m.leaseRenewedAt = m.now
	m.waitingService = ""
	return true
}

// offered judges a version. What is rejected is rejected with every reason, and
// changes nothing.
func (m *Machine) offered(event Offered) {
	version := event.Version
	if !m.renewLease(event.Service) {
		m.waitingService = event.Service
		silence := (m.now - m.leaseRenewedAt) / 1000
		reason := Reason{"", fmt.Sprintf("service %s is in charge, heard of %.1f s ago", m.leaseHolder, silence),
			"let one service speak; another is believed when that one is silent"}
		m.emit(Nack{event.Service, version.Number, []Reason{reason}})
		return
	}
	if reason, ok := m.checkEnvelope(version); !ok {
		m.reject(event, reason)
		return
	}
	newest := m.newest()
	if identityOf(version) == newest { // the same again, as after a reconnect
		if m.candidate == nil || m.candidate.accepted {
			m.confirmedAt = m.now
			m.emit(Ack{event.Service, version.Number})
		}
		return
	}
	if reason, ok := checkNumber(version.Number, newest.number); !ok {
		m.reject(event, reason)
		return
	}
	base := m.runningSettings
	if m.candidate != nil {
		base = m.candidate.settings
	}
	settings, reasons := m.parseAndCheck(base, version)
	if len(reasons) > 0 {
		m.reject(event, reasons...)
		return
	}
	if m.candidate != nil {
		m.record(m.candidate.version, StateSuperseded, m.candidate.service, nil)
	}
	m.candidate = &candidate{version: version, settings: settings, service: event.Service, storing: true}
	m.record(version, StateOffered, event.Service, nil)
	m.emit(Store{version})
}

// reject answers an offer with reasons. What is remembered of a version with that number
// that was good stays.
func (m *Machine) reject(event Offered, reasons ...Reason) {
	known := m.records[event.Version.Number]
	if known == nil || known.State == StateRejected {
		m.record(event.Version, StateRejected, event.Service, reasons)
	}
	m.emit(Nack{event.Service, event.Version.Number, reasons})
}

// newest is the highest version that was accepted or is being stored.
func (m *Machine) newest() identity {
	if m.candidate != nil && m.candidate.version.Number > m.accepted.number {
		return identityOf(m.candidate.version)
	}
	return m.accepted
}

// checkEnvelope checks what is known of a version without reading its body.
func (m *Machine) checkEnvelope(version Version) (Reason, bool) {
	if version.Number <= 0 {
		return Reason{"", fmt.Sprintf("number %d", version.Number), "numbers are above 0"}, false
	}
	if size := len(version.Body); size > m.settings.MaxBytes {
		return Reason{"", fmt.Sprintf("%d bytes, where %d are taken", size, m.settings.MaxBytes),
			"make it smaller, or raise the limit"}, false
	}
	if sum := Checksum(version.Body); sum != version.Sum {
		return Reason{"", fmt.Sprintf("its checksum is %.12s, it states %.12s", sum, version.Sum), "send it again"}, false
	}
	return Reason{}, true
}

// checkNumber checks a version's number against that of the newest one, whose content
// is another.
func checkNumber(number, newest int64) (Reason, bool) {
	switch {
	case number == newest:
		return Reason{"", fmt.Sprintf("number %d was accepted with other content", number),
			"give the new content a new number"}, false
	case number < newest:
		return Reason{"", fmt.Sprintf("number %d is older than %d, which was accepted", number, newest),
			"to go back, offer the old content under a new number"}, false
	}
	return Reason{}, true
}

// parseAndCheck reads a version and makes every check of it, against the settings of
// the version before it.
func (m *Machine) parseAndCheck(base *config.Settings, version Version) (*config.Settings, []Reason) {
	settings := &config.Settings{}
	name := fmt.Sprintf("version-%d", version.Number)
	err := config.ReadVersion(name, string(version.Body), m.settings.Local, settings)
	if err == nil {
		return settings, Check(base, settings, m.settings.Limits)
	}
	var faults config.Faults
	if !errors.As(err, &faults) {
		return nil, []Reason{{"", err.Error(), ""}}
	}
	var reasons []Reason
	for _, fault := range faults {
		text := fmt.Sprintf("%d:%d: %s", fault.Pos.Line, fault.Pos.Col, fault.What)
		reasons = append(reasons, Reason{fault.Key, text, fault.Remedy})
	}
	return nil, reasons
}

// stored accepts the candidate that is on disk, or rejects one that could not be stored.
func (m *Machine) stored(event Stored) {
	stored := m.candidate
	if stored == nil || !stored.storing || stored.version.Number != event.Number {
		return // superseded meanwhile; what is newer is on its way to the disk
	}
	stored.storing = false
	if event.Err != nil {
		reason := Reason{"", fmt.Sprintf("it could not be stored: %v", event.Err),
			"see the router's disk; the version may be offered again"}
		m.candidate = nil
		m.record(stored.version, StateRejected, stored.service, []Reason{reason})
		m.emit(Nack{stored.service, stored.version.Number, []Reason{reason}})
		m.emit(Warn{"configuration: " + reason.String()})
		return
	}
	stored.accepted = true
	m.accepted = identityOf(stored.version)
	m.confirmedAt = m.now
	stored.activateAt = m.now
	// the first is activated at once, and one that takes members away: their grace
	// runs. Others are not activated by all routers together.
	if m.running.Number != 0 && !withdrawsMember(m.runningSettings.Members, stored.settings.Members) {
		stored.activateAt += m.random.Float64() * m.settings.Jitter
	}
	m.record(stored.version, StateAccepted, stored.service, nil)
	m.emit(Ack{stored.service, stored.version.Number})
}

// never is the span until what is not due at any time.
const never Millis = math.MaxFloat64

// advance does what time has made due, and asks to be woken for what is due next.
func (m *Machine) advance() {
	next := m.activateIfDue()
	next = min(next, m.requestOfferIfDue())
	next = min(next, m.warnIfUnconfirmed())
	if next != never {
		m.emit(Wake{next})
	}
}

// activateIfDue activates an accepted candidate; else it returns the span until then.
func (m *Machine) activateIfDue() (next Millis) {
	due := m.candidate
	if due == nil || !due.accepted {
		return never
	}
	if m.now < due.activateAt {
		return due.activateAt - m.now
	}
	if m.running.Number != 0 {
		m.record(m.running, StateSuperseded, "", nil)
	}
	m.running = due.version
	m.runningSettings = due.settings
	m.candidate = nil
	m.record(due.version, StateRunning, due.service, nil)
	m.emit(Activate{Version: due.version, Settings: due.settings})
	return never
}

// requestOfferIfDue has the service that waits offer again once the lease has run out;
// else it returns the span until then.
func (m *Machine) requestOfferIfDue() (next Millis) {
	if m.waitingService == "" {
		return never
	}
	if left := m.leaseRenewedAt + m.settings.Lease - m.now; left > 0 {
		return left
	}
	m.emit(RequestOffer{m.waitingService})
	m.waitingService = ""
	return never
}

// warnIfUnconfirmed warns once when no service has confirmed the running version for
// long, and when one does again; it returns the span until such a warning is due.
func (m *Machine) warnIfUnconfirmed() (next Millis) {
	limit := m.settings.UnconfirmedAfter
	if m.leaseHolder != "" && m.now-m.leaseRenewedAt < limit {
		m.confirmedAt = max(m.confirmedAt, m.leaseRenewedAt)
	}
	if m.running.Number == 0 {
		return never
	}
	age := m.now - m.confirmedAt
	if age >= limit {
		if !m.warned {
			m.emit(Warn{fmt.Sprintf("configuration %d runs on though no service has confirmed it for %.0f s",
				m.running.Number, age/1000)})
		}
		m.warned = true
		return never
	}
	if m.warned {
		m.emit(Warn{fmt.Sprintf("configuration %d is confirmed again", m.running.Number)})
	}
	m.warned = false
	return limit - age
}

// Package configversion decides which versions of its configuration a router runs: it
// accepts or rejects the versions that a control service offers, decides when an
// accepted version is activated and what runs after a restart, and selects the service
// to follow when two disagree. It is a state machine without I/O: it takes events and
// returns actions; the caller supplies the time and a seed for random choices.
//
// For each router, the package tracks the running version, the candidate that is about
// to run, the lease of the service that the router follows, and records of earlier
// versions. It has no connection to services, disks or routers:
// internal/controlplane/service handles the streams and
// internal/controlplane/configstore the disk (docs/control.md), and the decision module
// defines what a version's members mean for requests. How a service rolls a version out
// to its routers is decided by internal/controlplane/rollout.
//
// The machine is in machine.go and restore.go, its events and actions are in events.go,
// the semantic checks of a version in check.go and churn.go, and the order in which
// member changes are applied in diff.go.
//
// Guarantee: for any sequence of offers, lost streams, restarts and corrupt data, a
// router only runs versions that passed every check, and never one with a lower number
// than the last version it accepted. A rollback is a new number with old content.
package configversion

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"

	"indigospool/internal/config"
)

// identity identifies a version. A number is never assigned to two different contents.
type identity struct {
	number int64
	sum    string
}

func identityOf(version Version) identity { return identity{version.Number, version.Sum} }

// candidate is an offered version that passed the checks but is not running yet.
type candidate struct {
	version    Version
	settings   *config.Settings
	service    string
	storing    bool
	accepted   bool
	activateAt Millis // set when it is accepted
}

// Machine decides about the versions of one router. It is not safe for concurrent use.
type Machine struct {
	settings MachineSettings
	random   *rand.Rand
	now      Millis
	actions  []Action

	running         Version // Number 0: none yet
	runningSettings *config.Settings
	confirmedAt     Millis // when the running version was last known to be the newest
	candidate       *candidate
	accepted        identity // highest version ever accepted
	restored        bool     // a Restored event was handled
	warned          bool     // the operator was warned that the running version is unconfirmed
	records         map[int64]*Record

	leaseHolder    string // the service that is followed; empty: none yet
	leaseRenewedAt Millis // time of the holder's last message
	waitingService string // service whose offer was rejected because another one holds the lease
}

// NewMachine returns a machine that runs no version yet. The seed determines the
// activation jitter, so routers should have different seeds.
func NewMachine(settings MachineSettings, seed uint64) *Machine {
	return &Machine{
		settings: settings.withDefaults(),
		random:   rand.New(rand.NewPCG(seed, 0xf1ee7)),
		records:  map[int64]*Record{},
	}
}

// Running returns the number of the running version, or 0 if there is none.
func (m *Machine) Running() int64 { return m.running.Number }

// HighestAccepted returns the highest version number that was ever accepted.
func (m *Machine) HighestAccepted() int64 { return m.accepted.number }

// Accepted returns the newest accepted version whose body is known.
func (m *Machine) Accepted() Version {
	if m.candidate != nil && m.candidate.accepted {
		return m.candidate.version
	}
	return m.running
}

// Age returns how long ago the running version was last known to be the newest.
func (m *Machine) Age(now Millis) Millis {
	if m.running.Number == 0 {
		return 0
	}
	return max(now-m.confirmedAt, 0)
}

// LeaseHolder returns the service that the router follows, or "".
func (m *Machine) LeaseHolder() string { return m.leaseHolder }

// Handle processes an event at time now. It appends the resulting actions to actions,
// in the order in which they must be executed.
func (m *Machine) Handle(now Millis, event Event, actions []Action) []Action {
	m.now = max(now, m.now)
	m.actions = actions
	switch event := event.(type) {
	case Restored:
		m.restore(event)
	case Offered:
		m.offered(event)
	case Heartbeat:
		m.heartbeat(event.Service)
	case Disconnected:
		// losing the stream has no effect by itself; the service keeps its lease until it expires
	case Stored:
		m.stored(event)
	}
	m.advance()
	actions, m.actions = m.actions, nil
	return actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// renewLease records a sign of life from a service and reports whether that service
// holds the lease. Another service obtains the lease when the holder has been silent
// for the lease duration.
func (m *Machine) renewLease(service string) bool {
	silence := m.now - m.leaseRenewedAt
	isHeld := m.leaseHolder != "" && silence < m.settings.Lease
	if m.leaseHolder != service && isHeld {
		return false
	}
	if m.leaseHolder != service && m.leaseHolder != "" {
		m.emit(Warn{fmt.Sprintf("service %s is in charge now: %s was silent for %.0f s", service, m.leaseHolder, silence/1000)})
	}
	m.leaseHolder = service
	m.leaseRenewedAt = m.now
	if m.waitingService == service {
		m.waitingService = ""
	}
	return true
}

// heartbeat records a heartbeat from a service. If the service obtains the lease by it after an offer
// of its was rejected, it is asked to offer its version again.
func (m *Machine) heartbeat(service string) {
	wasRejected := m.waitingService == service
	if m.renewLease(service) && wasRejected {
		m.emit(RequestOffer{service})
	}
}

// offered checks an offered version. A rejected version changes nothing; the NACK has
// all reasons.
func (m *Machine) offered(event Offered) {
	version := event.Version
	if !m.renewLease(event.Service) {
		m.waitingService = event.Service
		silence := (m.now - m.leaseRenewedAt) / 1000
		reason := Reason{"", fmt.Sprintf("service %s is in charge; its last message came %.1f s ago", m.leaseHolder, silence),
			"run one service at a time; another one takes over once this one is silent for its lease"}
		m.emit(Nack{event.Service, version.Number, []Reason{reason}})
		return
	}
	if reason, ok := m.checkEnvelope(version); !ok {
		m.reject(event, reason)
		return
	}
	newest := m.newest()
	if identityOf(version) == newest { // offered again, for example after a reconnect
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

// reject answers an offer with a NACK. It does not overwrite the record of a version
// with the same number that passed the checks.
func (m *Machine) reject(event Offered, reasons ...Reason) {
	known := m.records[event.Version.Number]
	if known == nil || known.State == StateRejected {
		m.record(event.Version, StateRejected, event.Service, reasons)
	}
	m.emit(Nack{event.Service, event.Version.Number, reasons})
}

// newest returns the highest version that is accepted or being stored.
func (m *Machine) newest() identity {
	if m.candidate != nil && m.candidate.version.Number > m.accepted.number {
		return identityOf(m.candidate.version)
	}
	return m.accepted
}

// checkEnvelope checks a version's number, size and checksum, without parsing its body.
func (m *Machine) checkEnvelope(version Version) (Reason, bool) {
	if version.Number <= 0 {
		return Reason{"", fmt.Sprintf("number %d", version.Number), "numbers are above 0"}, false
	}
	if size := len(version.Body); size > m.settings.MaxBytes {
		return Reason{"", fmt.Sprintf("%d bytes, above the limit of %d", size, m.settings.MaxBytes),
			"make it smaller or raise the limit"}, false
	}
	if sum := Checksum(version.Body); sum != version.Sum {
		return Reason{"", fmt.Sprintf("its checksum is %.12s, but it states %.12s", sum, version.Sum), "send it again"}, false
	}
	return Reason{}, true
}

// checkNumber checks a version's number against that of the newest version, which has
// different content.
func checkNumber(number, newest int64) (Reason, bool) {
	switch {
	case number == newest:
		return Reason{"", fmt.Sprintf("number %d was accepted with other content", number),
			"give the new content a new number"}, false
	case number < newest:
		return Reason{"", fmt.Sprintf("number %d is older than %d, which was accepted", number, newest),
			"to roll back, offer the old content under a new number"}, false
	}
	return Reason{}, true
}

// parseAndCheck parses a version and runs all semantic checks on it against base, the
// settings of the version before it.
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

// stored accepts the candidate once it is on disk, or rejects it if it could not be
// stored.
func (m *Machine) stored(event Stored) {
	stored := m.candidate
	if stored == nil || !stored.storing || stored.version.Number != event.Number {
		return // superseded by a newer version, which is being stored
	}
	stored.storing = false
	if event.Err != nil {
		reason := Reason{"", fmt.Sprintf("it could not be stored: %v", event.Err),
			"check the router's disk; the version may be offered again"}
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
	// The first version is activated immediately, and so is one that withdraws members,
	// since their grace period is running. For others a random delay keeps the routers from
	// activating at the same moment.
	if m.running.Number != 0 && !withdrawsMember(m.runningSettings.Members, stored.settings.Members) {
		stored.activateAt += m.random.Float64() * m.settings.Jitter
	}
	m.record(stored.version, StateAccepted, stored.service, nil)
	m.emit(Ack{stored.service, stored.version.Number})
}

// never is the delay of something that is not scheduled.
const never Millis = math.MaxFloat64

// advance does everything that is due and requests a wake-up for whatever is due next.
func (m *Machine) advance() {
	next := m.activateIfDue()
	next = min(next, m.requestOfferIfDue())
	next = min(next, m.warnIfUnconfirmed())
	if next != never {
		m.emit(Wake{next})
	}
}

// activateIfDue activates an accepted candidate whose time has come. Otherwise it
// returns the delay until then.
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

// requestOfferIfDue asks the waiting service to offer its version again once the lease
// has expired. Otherwise it returns the delay until then.
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
// UnconfirmedAfter, and reports once when it is confirmed again. It returns the delay
// until the warning is due.
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
			m.emit(Warn{fmt.Sprintf("configuration %d is still running, but no service has confirmed it for %.0f s",
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

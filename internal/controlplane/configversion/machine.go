// Package configversion decides about versions of a router's configuration: which one
// that a control service offers is accepted and which rejected, and why; when an
// accepted one is activated; what is run after a restart, and which service is believed
// when two disagree. It is a state machine without I/O: events go in, actions come
// out, time is the caller's and chance comes from a seed.
//
// It never speaks to a service, a disk or a router: streams are those of
// internal/controlplane/service, the disk that of internal/controlplane/configstore
// (docs/control.md), and what a version's members mean for requests is the decision
// module's. The machine is in machine.go, the semantic checks of a version in check.go,
// the order in which changes of members are applied in diff.go. How a service brings
// a version to its routers is internal/controlplane/rollout.
//
// The guarantee, for any sequence of offers, lost streams, restarts and damage: a
// router runs only versions that passed every check, and never one with a lower number
// than the last it accepted. A rollback is a new number with old content.
package configversion

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"indigospool/internal/config"
)

// Millis is a time on the caller's clock, or a span of it.
type Millis = float64

// Version is one numbered configuration.
type Version struct {
	Number int64
	Sum    string // SHA-256 of Body, in hex
	Body   []byte // settings as S-expressions
}

// Checksum is the checksum of a body.
func Checksum(body []byte) string {
	s := sha256.Sum256(body)
	return hex.EncodeToString(s[:])
}

// New makes a version of a body, with its checksum.
func New(number int64, body []byte) Version { return Version{number, Checksum(body), body} }

// Reason is why a version is refused.
type Reason struct {
	Path   string // inside the configuration, as member/b1/state; empty: the version as such
	What   string
	Remedy string
}

func (r Reason) String() string {
	s := r.What
	if r.Path != "" {
		s = r.Path + ": " + s
	}
	if r.Remedy != "" {
		s += "; " + r.Remedy
	}
	return s
}

// MachineSettings are the figures of the machine. Zero fields mean the defaults.
type MachineSettings struct {
	Local            *config.Settings // the router's own file: its part goes before a version's; nil: no router's in particular
	Limits           CheckLimits
	MaxBytes         int    // of a version; default 16 MB
	Jitter           Millis // an accepted version is used within so long, by chance; default 1000
	Lease            Millis // another service is believed once the one in charge has been silent for so long; default 30000
	UnconfirmedAfter Millis // from this age on the running version is warned of; default 60000
	StaleAfter       Millis // a version restored at this age or above is called stale; default 600000
	MaxRecords       int    // refused versions that are kept for status; default 32
}

func (s MachineSettings) filled() MachineSettings {
	def := func(v *Millis, d Millis) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&s.Jitter, 1000)
	def(&s.Lease, 30000)
	def(&s.UnconfirmedAfter, 60000)
	def(&s.StaleAfter, 600000)
	if s.MaxBytes <= 0 {
		s.MaxBytes = 16 << 20
	}
	if s.MaxRecords <= 0 {
		s.MaxRecords = 32
	}
	s.Limits = s.Limits.filled()
	return s
}

// Event is something that the machine hears of.
type Event interface{ event() }

// Offered is a version that a service sends.
type Offered struct {
	Service string // its name and epoch, unlike any other service's
	Version Version
}

// Heartbeat is any other sign of life of a service.
type Heartbeat struct{ Service string }

// Disconnected says that the stream of a service has ended.
type Disconnected struct{ Service string }

// Stored says that a version is on disk, or why it is not.
type Stored struct {
	Number int64
	Err    error
}

// Restored is what the disk held at the start: the last good version and how
// long ago it was stored, and those before it, the newest last; or why there is
// none.
type Restored struct {
	Version Version
	Age     Millis // by the wall clock, as that of those before: negative after a step back
	Earlier []StoredVersion
	Err     error
}

// StoredVersion is a version that was stored so long ago.
type StoredVersion struct {
	Version Version
	Age     Millis
}

// Tick is time passing; it may come at any time, and comes at the latest when
// the last Wake is due.
type Tick struct{}

func (Offered) event()      {}
func (Heartbeat) event()    {}
func (Disconnected) event() {}
func (Stored) event()       {}
func (Restored) event()     {}
func (Tick) event()         {}

// Action is something that the machine wants done.
type Action interface{ action() }

// Ack tells a service that a version is accepted and stored.
type Ack struct {
	Service string
	Number  int64
}

// Nack tells a service that a version is refused, and every reason.
type Nack struct {
	Service string
	Number  int64
	Reasons []Reason
}

// Store asks for a version to be put on disk; Stored is the answer.
type Store struct{ Version Version }

// Activate has the router run a version from now on. Stale says that it was restored
// so old that much may have changed: it is run all the same, since a router that
// serves nothing helps nobody, and members that are gone are found out as any
// that fail are. Up is for how long members have been listed under their present
// start, where that is known to be short.
type Activate struct {
	Version   Version
	Settings  *config.Settings
	Stale     bool
	ListedFor map[string]Millis
}

// Wake asks for a Tick after a while; it takes the place of any before it.
type Wake struct{ After Millis }

// RequestOffer has a service offer its version again: it was turned down while another
// was in charge, which has been silent for its lease since.
type RequestOffer struct{ Service string }

// Warn is for the operator.
type Warn struct{ Text string }

func (Ack) action()          {}
func (Nack) action()         {}
func (Store) action()        {}
func (Activate) action()     {}
func (Wake) action()         {}
func (Warn) action()         {}
func (RequestOffer) action() {}

// State is how far a version has come at this router.
type State int

// The states.
const (
	StateOffered    State = iota // checked and good, and not yet on disk
	StateAccepted                // on disk, and not yet used
	StateRunning                 // used
	StateSuperseded              // replaced before or after it was used
	StateRejected
)

var stateWords = [...]string{"offered", "accepted", "running", "superseded", "refused"}

func (s State) String() string { return stateWords[s] }

// Record is what is remembered of a version.
type Record struct {
	Number    int64
	Sum       string
	State     State
	Service   string
	ChangedAt Millis // of the last change of state
	Reasons   []Reason
}

// candidate is a version on its way to be used.
type candidate struct {
	v        Version
	s        *config.Settings
	service  string
	storing  bool
	useAt    Millis
	accepted bool
}

// Machine is one router's view of its versions. It is not safe for concurrent use.
type Machine struct {
	set  MachineSettings
	rng  *rand.Rand
	now  Millis
	acts []Action

	running  *config.Settings
	current  Version // running
	since    Millis  // when it was last known to be the newest
	next     *candidate
	floor    int64 // highest number ever accepted
	floorSum string
	holder   string // the service in charge
	heard    Millis // of it
	suitor   string // a service that was turned down since it is not in charge
	warned   bool
	restored bool
	records  map[int64]*Record
}

// NewMachine makes a machine that runs nothing yet.
func NewMachine(s MachineSettings, seed uint64) *Machine {
	return &Machine{set: s.filled(), rng: rand.New(rand.NewPCG(seed, 0xf1ee7)), records: map[int64]*Record{}}
}

// Running is the number of the version in use, 0 before the first.
func (m *Machine) Running() int64 { return m.current.Number }

// HighestAccepted is the highest number that was ever accepted.
func (m *Machine) HighestAccepted() int64 { return m.floor }

// Accepted is the version with that number, as far as it is held.
func (m *Machine) Accepted() Version {
	if m.next != nil && m.next.accepted {
		return m.next.v
	}
	return m.current
}

// Age is how long ago the running version was last known to be the newest.
func (m *Machine) Age(now Millis) Millis {
	if m.current.Number == 0 {
		return 0
	}
	return max(now-m.since, 0)
}

// LeaseHolder is the service that is in charge, or "".
func (m *Machine) LeaseHolder() string { return m.holder }

// Records are the versions that are remembered, by number.
func (m *Machine) Records() []Record {
	out := make([]Record, 0, len(m.records))
	for _, r := range m.records {
		out = append(out, *r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Handle takes one event at the time now and appends what is to be done.
func (m *Machine) Handle(now Millis, ev Event, dst []Action) []Action {
	m.now, m.acts = max(now, m.now), dst
	switch ev := ev.(type) {
	case Restored:
		m.restore(ev)
	case Offered:
		m.offered(ev)
	case Heartbeat:
		m.sign(ev.Service)
	case Disconnected:
		// a cut alone changes nobody's mind: the lease does, when it is over
	case Stored:
		m.stored(ev)
	}
	m.advance()
	dst, m.acts = m.acts, nil
	return dst
}

func (m *Machine) do(a Action) { m.acts = append(m.acts, a) }

func (m *Machine) note(v Version, s State, service string, reasons []Reason) {
	m.records[v.Number] = &Record{v.Number, v.Sum, s, service, m.now, reasons}
	for len(m.records) > m.set.MaxRecords {
		lowest := int64(0)
		for n := range m.records {
			if n != m.current.Number && (m.next == nil || n != m.next.v.Number) && (lowest == 0 || n < lowest) {
				lowest = n
			}
		}
		if lowest == 0 {
			return
		}
		delete(m.records, lowest)
	}
}

// restore begins with what the disk held. It passed its checks when it was
// accepted; they are made again, since the program may be another one now.
func (m *Machine) restore(ev Restored) {
	if m.restored || m.current.Number != 0 || m.next != nil {
		return
	}
	m.restored = true
	if ev.Err != nil {
		m.do(Warn{fmt.Sprintf("no last good configuration: %v; waiting for the service", ev.Err)})
		return
	}
	s, reasons := m.sense(nil, ev.Version)
	if len(reasons) > 0 {
		m.do(Warn{fmt.Sprintf("the stored configuration %d does not pass the checks: %s; waiting for the service",
			ev.Version.Number, reasons[0])})
		m.floor, m.floorSum = max(m.floor, ev.Version.Number), ev.Version.Sum
		return
	}
	m.floor, m.floorSum = ev.Version.Number, ev.Version.Sum
	m.current, m.running, m.since = ev.Version, s, m.now-max(ev.Age, 0)
	m.note(ev.Version, StateRunning, "", nil)
	if ev.Age >= m.set.StaleAfter {
		m.do(Warn{fmt.Sprintf("configuration %d is stale: it was stored %.0f s ago", ev.Version.Number, ev.Age/1000)})
	}
	m.do(Activate{ev.Version, s, ev.Age >= m.set.StaleAfter, m.up(ev, s)})
}

// up tells of members that came with one of the last versions for how long they
// have been listed at least: a router that starts again must not take them for warm.
// Stored times are hints, since the wall clock may have been stepped after the last
// one: that counts as now, and the others go by their distance from it.
func (m *Machine) up(ev Restored, s *config.Settings) map[string]Millis {
	out := map[string]Millis{}
	since := Millis(0) // age of the oldest version in a row that has the member as it is now
	type start struct {
		id string
		n  int
		at string
	}
	now := map[start]bool{}
	for _, one := range s.Members {
		now[start{one.ID, one.Start, one.Address}] = true
	}
	for i := len(ev.Earlier) - 1; i >= 0 && len(now) > 0; i-- {
		old := &config.Settings{}
		if config.ReadVersion("stored", string(ev.Earlier[i].Version.Body), m.set.Local, old) != nil {
			break // one that can't be read says nothing of who was there
		}
		had := map[start]bool{}
		for _, one := range old.Members {
			had[start{one.ID, one.Start, one.Address}] = true
		}
		for k := range now {
			if !had[k] {
				out[k.id] = since
				delete(now, k)
			}
		}
		since = max(ev.Earlier[i].Age-ev.Age, 0)
	}
	for k := range now {
		if k.n > 1 { // it has started anew some time: at the latest when the oldest was stored
			out[k.id] = since
		}
	}
	return out
}

// sign books a sign of life, and puts a service in charge where none is.
func (m *Machine) sign(service string) (inCharge bool) {
	if m.holder != service && m.holder != "" && m.now-m.heard < m.set.Lease {
		return false
	}
	if m.holder != service {
		if m.holder != "" {
			m.do(Warn{fmt.Sprintf("service %s is in charge now; %s was silent for %.0f s", service, m.holder, (m.now-m.heard)/1000)})
		}
		m.holder = service
	}
	m.heard, m.suitor = m.now, ""
	return true
}

// offered judges a version. What is refused is refused with every reason, and
// changes nothing.
func (m *Machine) offered(ev Offered) {
	v := ev.Version
	nack := func(reasons ...Reason) {
		if r := m.records[v.Number]; r == nil || r.State == StateRejected {
			m.note(v, StateRejected, ev.Service, reasons)
		}
		m.do(Nack{ev.Service, v.Number, reasons})
	}
	if !m.sign(ev.Service) {
		m.suitor = ev.Service
		m.do(Nack{ev.Service, v.Number, []Reason{{"", fmt.Sprintf("service %s is in charge, heard of %.1f s ago", m.holder,
			(m.now-m.heard)/1000), "let one service speak; another is believed when that one is silent"}}})
		return
	}
	top, topSum := m.floor, m.floorSum
	if m.next != nil && m.next.v.Number > top {
		top, topSum = m.next.v.Number, m.next.v.Sum
	}
	switch {
	case v.Number <= 0:
		nack(Reason{"", fmt.Sprintf("number %d", v.Number), "numbers are above 0"})
	case len(v.Body) > m.set.MaxBytes:
		nack(Reason{"", fmt.Sprintf("%d bytes, where %d are taken", len(v.Body), m.set.MaxBytes), "make it smaller, or raise the limit"})
	case Checksum(v.Body) != v.Sum:
		nack(Reason{"", fmt.Sprintf("its checksum is %.12s, it states %.12s", Checksum(v.Body), v.Sum), "send it again"})
	case v.Number == top && v.Sum == topSum: // the same again, as after a reconnect
		if m.next == nil || m.next.accepted {
			m.since = m.now
			m.do(Ack{ev.Service, v.Number})
		}
	case v.Number == top:
		nack(Reason{"", fmt.Sprintf("number %d was accepted with other content", v.Number), "give the new content a new number"})
	case v.Number < top:
		nack(Reason{"", fmt.Sprintf("number %d is older than %d, which was accepted", v.Number, top),
			"to go back, offer the old content under a new number"})
	default:
		base := m.running
		if m.next != nil {
			base = m.next.s
		}
		s, reasons := m.sense(base, v)
		if len(reasons) > 0 {
			nack(reasons...)
			return
		}
		if m.next != nil {
			m.note(m.next.v, StateSuperseded, m.next.service, nil)
		}
		m.next = &candidate{v: v, s: s, service: ev.Service, storing: true}
		m.note(v, StateOffered, ev.Service, nil)
		m.do(Store{v})
	}
}

// sense reads a version and makes every check of it.
func (m *Machine) sense(base *config.Settings, v Version) (*config.Settings, []Reason) {
	s := &config.Settings{}
	if err := config.ReadVersion(fmt.Sprintf("version-%d", v.Number), string(v.Body), m.set.Local, s); err != nil {
		var faults config.Faults
		if !errors.As(err, &faults) {
			return nil, []Reason{{"", err.Error(), ""}}
		}
		var out []Reason
		for _, f := range faults {
			out = append(out, Reason{f.Key, fmt.Sprintf("%d:%d: %s", f.Pos.Line, f.Pos.Col, f.What), f.Remedy})
		}
		return nil, out
	}
	return s, Check(base, s, m.set.Limits)
}

func (m *Machine) stored(ev Stored) {
	c := m.next
	if c == nil || !c.storing || c.v.Number != ev.Number {
		return // superseded meanwhile; what is newer is on its way to the disk
	}
	c.storing = false
	if ev.Err != nil {
		reason := Reason{"", fmt.Sprintf("it could not be stored: %v", ev.Err), "see the router's disk; the version may be offered again"}
		m.next = nil
		m.note(c.v, StateRejected, c.service, []Reason{reason})
		m.do(Nack{c.service, c.v.Number, []Reason{reason}})
		m.do(Warn{"configuration: " + reason.String()})
		return
	}
	c.accepted = true
	m.floor, m.floorSum = c.v.Number, c.v.Sum
	m.since = m.now
	c.useAt = m.now
	// the first is used at once, and one that takes members away: their grace
	// runs. Others are not used by all routers together.
	if m.current.Number != 0 && !takesAway(m.running.Members, c.s.Members) {
		c.useAt += m.rng.Float64() * m.set.Jitter
	}
	m.note(c.v, StateAccepted, c.service, nil)
	m.do(Ack{c.service, c.v.Number})
}

// advance does what time has made due.
func (m *Machine) advance() {
	next := math.Inf(1) // one Wake at most: the earliest
	if c := m.next; c != nil && c.accepted {
		if m.now >= c.useAt {
			if m.current.Number != 0 {
				m.note(m.current, StateSuperseded, "", nil)
			}
			m.current, m.running, m.next = c.v, c.s, nil
			m.note(c.v, StateRunning, c.service, nil)
			m.do(Activate{Version: c.v, Settings: c.s})
		} else {
			next = c.useAt - m.now
		}
	}
	if m.holder != "" && m.now-m.heard < m.set.UnconfirmedAfter {
		m.since = max(m.since, m.heard)
	}
	if m.suitor != "" {
		if left := m.heard + m.set.Lease - m.now; left > 0 {
			next = min(next, left)
		} else {
			m.do(RequestOffer{m.suitor})
			m.suitor = ""
		}
	}
	age := m.now - m.since
	switch {
	case m.current.Number == 0:
	case age >= m.set.UnconfirmedAfter && !m.warned:
		m.warned = true
		m.do(Warn{fmt.Sprintf("configuration %d runs on though no service has confirmed it for %.0f s", m.current.Number, age/1000)})
	case age < m.set.UnconfirmedAfter:
		if m.warned {
			m.do(Warn{fmt.Sprintf("configuration %d is confirmed again", m.current.Number)})
		}
		m.warned = false
		next = min(next, m.set.UnconfirmedAfter-age)
	}
	if !math.IsInf(next, 1) {
		m.do(Wake{next})
	}
}

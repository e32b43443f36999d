package configversion

import "indigospool/internal/config"

// Event is an input of a Machine.
type Event interface{ event() }

// Offered reports that a service offers a version.
type Offered struct {
	Service string // name and epoch, unique to the service
	Version Version
}

// Heartbeat reports any other sign of life of a service.
type Heartbeat struct{ Service string }

// Disconnected reports that a service's stream has ended.
type Disconnected struct{ Service string }

// Stored reports that a version is on disk, or why it could not be stored.
type Stored struct {
	Number int64
	Err    error // nil: the version is on disk
}

// Restored reports what the disk held at the start: the last known good version and its
// age, and the versions before it, or why there is no version.
type Restored struct {
	Version Version
	Age     Millis          // by the wall clock, as the ages in Earlier; may be negative if the clock was set back
	Earlier []StoredVersion // oldest first
	Err     error           // nil: Version is valid
}

// StoredVersion is a stored version and the time since it was stored.
type StoredVersion struct {
	Version Version
	Age     Millis
}

// Tick reports that time has passed. It must come no later than the last Wake asks for,
// and may come at any time.
type Tick struct{}

func (Offered) event()      {}
func (Heartbeat) event()    {}
func (Disconnected) event() {}
func (Stored) event()       {}
func (Restored) event()     {}
func (Tick) event()         {}

// Action is something that a Machine wants the caller to do.
type Action interface{ action() }

// Ack tells a service that a version is accepted and stored.
type Ack struct {
	Service string
	Number  int64
}

// Nack tells a service that a version is rejected, with all reasons.
type Nack struct {
	Service string
	Number  int64
	Reasons []Reason
}

// Store writes a version to disk. The caller answers with Stored.
type Store struct{ Version Version }

// Activate makes the router run a version. Stale is set for a restored version that is
// older than StaleAfter: it is run nevertheless, since a router without a configuration
// serves nothing, and members that no longer exist are detected like failed ones.
// ListedFor is how long members have been listed under their present start, as far as
// that is known to be short.
type Activate struct {
	Version   Version
	Settings  *config.Settings
	Stale     bool
	ListedFor map[string]Millis
}

// Wake requests a Tick after the given time. It replaces any earlier Wake.
type Wake struct{ After Millis }

// RequestOffer asks a service to offer its version again: its offer was rejected while
// another service held the lease, which has expired since.
type RequestOffer struct{ Service string }

// Warn is a message for the operator.
type Warn struct{ Text string }

func (Ack) action()          {}
func (Nack) action()         {}
func (Store) action()        {}
func (Activate) action()     {}
func (Wake) action()         {}
func (Warn) action()         {}
func (RequestOffer) action() {}

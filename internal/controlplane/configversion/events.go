package configversion

import "indigospool/internal/config"

// Event is what a Machine is notified of.
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
	Err    error // nil: it is on disk
}

// Restored is what the disk held at the start: the last known good version and how
// long ago it was stored, and those before it, the newest last; or why there is
// none.
type Restored struct {
	Version Version
	Age     Millis // by the wall clock, as that of those before: negative after a step back
	Earlier []StoredVersion
	Err     error // nil: there is a version
}

// StoredVersion is a version that was stored so long ago.
type StoredVersion struct {
	Version Version
	Age     Millis
}

// Tick says that time has passed; it may come at any time, and comes at the latest when
// the last Wake is due.
type Tick struct{}

func (Offered) event()      {}
func (Heartbeat) event()    {}
func (Disconnected) event() {}
func (Stored) event()       {}
func (Restored) event()     {}
func (Tick) event()         {}

// Action is what a Machine wants done.
type Action interface{ action() }

// Ack tells a service that a version is accepted and stored.
type Ack struct {
	Service string
	Number  int64
}

// Nack tells a service that a version is rejected, and every reason.
type Nack struct {
	Service string
	Number  int64
	Reasons []Reason
}

// Store asks for a version to be put on disk; Stored is the answer.
type Store struct{ Version Version }

// Activate has the router run a version from now on. Stale says that it was restored
// so old that much may have changed: it is run all the same, since a router that
// serves nothing helps nobody, and members that are gone are detected as any
// that fail are. ListedFor is for how long members have been listed under their present
// start, where that is known to be short.
type Activate struct {
	Version   Version
	Settings  *config.Settings
	Stale     bool
	ListedFor map[string]Millis
}

// Wake asks for a Tick after a while; it takes the place of any before it.
type Wake struct{ After Millis }

// RequestOffer has a service offer its version again: it was rejected while another
// service held the lease, which has run out since.
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

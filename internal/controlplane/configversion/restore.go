package configversion

import (
	"fmt"

	"indigospool/internal/config"
)

// restore activates the version found on disk at the start. The version passed the
// checks when it was accepted; they are repeated because the program may have changed
// since.
func (m *Machine) restore(event Restored) {
	if m.restored || m.running.Number != 0 || m.candidate != nil {
		return
	}
	m.restored = true
	if event.Err != nil {
		m.emit(Warn{fmt.Sprintf("no last good configuration: %v; waiting for a service", event.Err)})
		return
	}
	version := event.Version
	settings, reasons := m.parseAndCheck(nil, version)
	if len(reasons) > 0 {
		m.accepted = identity{max(m.accepted.number, version.Number), version.Sum}
		m.emit(Warn{fmt.Sprintf("the stored configuration %d does not pass the checks: %s; waiting for a service",
			version.Number, reasons[0])})
		return
	}
	m.accepted = identityOf(version)
	m.running = version
	m.runningSettings = settings
	m.confirmedAt = m.now - max(event.Age, 0)
	m.record(version, StateRunning, "", nil)
	isStale := event.Age >= m.settings.StaleAfter
	if isStale {
		m.emit(Warn{fmt.Sprintf("configuration %d is stale: it was stored %.0f s ago", version.Number, event.Age/1000)})
	}
	m.emit(Activate{version, settings, isStale, m.listedFor(event, settings)})
}

// memberStart identifies one start of a member. A member with another start number or
// address has been restarted and begins with an empty cache.
type memberStart struct {
	id      string
	start   int
	address string
}

func startsOf(members []config.Member) map[memberStart]bool {
	starts := map[memberStart]bool{}
	for _, member := range members {
		starts[memberStart{member.ID, member.Start, member.Address}] = true
	}
	return starts
}

// listedFor returns, for members that were added or restarted by one of the stored
// versions, how long they have been listed at least, so that a restarted router does
// not assume that they are warm. Stored times are unreliable, since the wall clock may
// have been stepped after the last version was stored: that version is taken as stored
// now, and the ages of the others are relative to it.
func (m *Machine) listedFor(event Restored, settings *config.Settings) map[string]Millis {
	spans := map[string]Millis{}
	oldestAge := Millis(0) // of the oldest version in an unbroken sequence that lists the member as it is now
	unresolved := startsOf(settings.Members)
	for i := len(event.Earlier) - 1; i >= 0 && len(unresolved) > 0; i-- {
		earlier := &config.Settings{}
		if config.ReadVersion("stored", string(event.Earlier[i].Version.Body), m.settings.Local, earlier) != nil {
			break // an unreadable version does not tell which members were listed
		}
		present := startsOf(earlier.Members)
		for member := range unresolved {
			if !present[member] {
				spans[member.id] = oldestAge
				delete(unresolved, member)
			}
		}
		oldestAge = max(event.Earlier[i].Age-event.Age, 0)
	}
	for member := range unresolved {
		if member.start > 1 { // it was restarted at some time, no later than the oldest version was stored
			spans[member.id] = oldestAge
		}
	}
	return spans
}

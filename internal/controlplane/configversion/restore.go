package configversion

import (
	"fmt"

	"indigospool/internal/config"
)

// restore begins with what the disk held. It passed its checks when it was
// accepted; they are made again, since the program may be another one now.
func (m *Machine) restore(event Restored) {
	if m.restored || m.running.Number != 0 || m.candidate != nil {
		return
	}
	m.restored = true
	if event.Err != nil {
		m.emit(Warn{fmt.Sprintf("no last good configuration: %v; waiting for the service", event.Err)})
		return
	}
	version := event.Version
	settings, reasons := m.parseAndCheck(nil, version)
	if len(reasons) > 0 {
		m.accepted = identity{max(m.accepted.number, version.Number), version.Sum}
		m.emit(Warn{fmt.Sprintf("the stored configuration %d does not pass the checks: %s; waiting for the service",
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

// memberStart is one start of a member: another start number or address came back empty.
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

// listedFor is, for members that came with one of the last versions, for how long they
// have been listed at least: a router that starts again must not take them for warmed up.
// Stored times are hints, since the wall clock may have been stepped after the last
// one: that counts as now, and the others go by their distance from it.
func (m *Machine) listedFor(event Restored, settings *config.Settings) map[string]Millis {
	spans := map[string]Millis{}
	oldestAge := Millis(0) // of the oldest version in a row that has the member as it is now
	unresolved := startsOf(settings.Members)
	for i := len(event.Earlier) - 1; i >= 0 && len(unresolved) > 0; i-- {
		earlier := &config.Settings{}
		if config.ReadVersion("stored", string(event.Earlier[i].Version.Body), m.settings.Local, earlier) != nil {
			break // one that can't be read says nothing of who was there
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
		if member.start > 1 { // it has started anew some time: at the latest when the oldest was stored
			spans[member.id] = oldestAge
		}
	}
	return spans
}

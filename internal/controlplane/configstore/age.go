package configstore

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/wallclock"
)

// bootReading is a reading of the machine's boot-time clock, which is not affected by
// steps of the wall clock. Readings are comparable only within the same boot.
type bootReading struct {
	Boot string        `json:"boot,omitempty"` // the kernel's boot id; empty: no reading
	Up   time.Duration `json:"up,omitempty"`   // time since the boot
}

// readBootClock reads the boot-time clock.
func readBootClock() bootReading {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return bootReading{}
	}
	var up unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) != nil {
		return bootReading{}
	}
	return bootReading{strings.TrimSpace(string(id)), time.Duration(up.Nano())}
}

// bootReadingAt returns the reading at an earlier moment of this process.
func (s *Store) bootReadingAt(moment time.Time) bootReading {
	reading := s.bootClock()
	if moment != moment.Round(0) { // moment has a monotonic clock reading
		reading.Up -= time.Since(moment)
	}
	return reading
}

// timeUntil returns the time between the storing of h and of a later header. Without a
// boot clock in either of them, the wall clock is used. If the machine was rebooted in
// between, the result is the time since that boot, a lower bound.
func (h header) timeUntil(later header) time.Duration {
	switch {
	case h.Boot == "" || later.Boot == "":
		return max(later.Stored.Sub(h.Stored), 0)
	case h.Boot != later.Boot:
		return later.Up
	}
	return max(later.Up-h.Up, 0)
}

// ages returns how long ago versions were stored, given their headers in order. If the
// machine was rebooted since the last version was stored, that version's age comes from
// the wall clock and is only an estimate. The ages of earlier versions add the times
// between them, which steps of the wall clock don't affect.
func (s *Store) ages(headers []header, now time.Time) []configversion.Millis {
	ages := make([]configversion.Millis, len(headers))
	wall := wallclock.At(now)
	later := header{Stored: wall, bootReading: s.bootReadingAt(now)}
	age := time.Duration(0)
	for i := len(headers) - 1; i >= 0; i-- {
		stored := headers[i]
		isLast := i == len(headers)-1
		if isLast && stored.Boot != later.Boot {
			age = max(wall.Sub(stored.Stored), 0)
		} else {
			age += stored.timeUntil(later)
		}
		later = stored
		ages[i] = millis(age)
	}
	return ages
}

func millis(span time.Duration) configversion.Millis { return float64(span.Microseconds()) / 1000 }

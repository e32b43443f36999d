package configstore

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/wallclock"
)

// bootReading is one of the machine's clock since it was booted, which nobody steps. It
// compares with readings of the same boot only.
type bootReading struct {
	Boot string        `json:"boot,omitempty"` // the kernel's id of the boot; empty: there is no reading
	Up   time.Duration `json:"up,omitempty"`
}

// readBootClock reads the machine's clock.
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

// bootReadingAt is the reading at a moment of this process.
func (s *Store) bootReadingAt(moment time.Time) bootReading {
	reading := s.bootClock()
	if moment != moment.Round(0) { // it has a reading of the monotonic clock
		reading.Up -= time.Since(moment)
	}
	return reading
}

// timeUntil is how much later another header was stored. Where no clock was
// kept with them it is by the wall clock; where the machine was booted in between, it
// is at least what had passed since then.
func (h header) timeUntil(later header) time.Duration {
	switch {
	case h.Boot == "" || later.Boot == "":
		return max(later.Stored.Sub(h.Stored), 0)
	case h.Boot != later.Boot:
		return later.Up
	}
	return max(later.Up-h.Up, 0)
}

// ages are how long ago versions were stored, in their order: the last one's by the
// wall clock where the machine was booted since, as a hint; those before it by their
// distances, which no step of the wall clock changes.
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

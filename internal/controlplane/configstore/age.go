package configstore

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/wallclock"
)

// A reading is one of the machine's clock since it was booted, which nobody steps. It
// compares with readings of the same boot only.
type reading struct {
	Boot string        `json:"boot,omitempty"` // empty: there is none
	Up   time.Duration `json:"up,omitempty"`
}

// clockNow reads the machine's clock.
func clockNow() reading {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return reading{}
	}
	var up unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) != nil {
		return reading{}
	}
	return reading{strings.TrimSpace(string(id)), time.Duration(up.Nano())}
}

// readAt is the reading at a moment of this process.
func (s *Store) readAt(moment time.Time) reading {
	r := s.clock()
	if moment != moment.Round(0) { // it has a reading of the monotonic clock
		r.Up -= time.Since(moment)
	}
	return r
}

// apart is how much later than another header one was stored. Where no clock was
// kept with them it is by the wall clock; where the machine was booted in between, it
// is at least what had passed since then.
func (h header) apart(later header) time.Duration {
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
	out, wall := make([]configversion.Millis, len(headers)), wallclock.At(now)
	next := header{Stored: wall, reading: s.readAt(now)}
	age := time.Duration(0)
	for i := len(headers) - 1; i >= 0; i-- {
		if next.Boot != headers[i].Boot && i == len(headers)-1 {
			age = max(wall.Sub(headers[i].Stored), 0)
		} else {
			age += headers[i].apart(next)
		}
		next = headers[i]
		out[i] = float64(age.Microseconds()) / 1000
	}
	return out
}

package configversion

import "indigospool/internal/config"

// MachineSettings are the figures of a Machine. Zero fields mean the defaults.
type MachineSettings struct {
	// Local is the router's own file: its part goes before a version's. Nil where the
	// machine is no router's in particular.
	Local *config.Settings
	// Limits bound what one version may change or state.
	Limits CheckLimits
	// MaxBytes is the size above which a version is rejected. Default 16 MiB.
	MaxBytes int
	// Jitter is within which time, by chance, an accepted version is activated, so that
	// not all routers do so at once. Default 1000 ms.
	Jitter Millis
	// Lease is how long a service must be silent before another one is believed. Default
	// 30000 ms.
	Lease Millis
	// UnconfirmedAfter is from which age on the operator is warned of the running version.
	// Default 60000 ms.
	UnconfirmedAfter Millis
	// StaleAfter is from which age on a restored version is reported as stale. Default
	// 600000 ms.
	StaleAfter Millis
	// MaxRecords is how many versions are remembered for status. Default 32.
	MaxRecords int
}

// withDefaults has the defaults in place of zero fields.
func (s MachineSettings) withDefaults() MachineSettings {
	s.Jitter = positiveOr(s.Jitter, 1000)
	s.Lease = positiveOr(s.Lease, 30000)
	s.UnconfirmedAfter = positiveOr(s.UnconfirmedAfter, 60000)
	s.StaleAfter = positiveOr(s.StaleAfter, 600000)
	if s.MaxBytes <= 0 {
		s.MaxBytes = 16 << 20
	}
	if s.MaxRecords <= 0 {
		s.MaxRecords = 32
	}
	s.Limits = s.Limits.withDefaults()
	return s
}

// positiveOr is value, or the default where it is not above 0.
func positiveOr(value, byDefault float64) float64 {
	if value <= 0 {
		return byDefault
	}
	return value
}

package configversion

import "indigospool/internal/config"

// MachineSettings configures a Machine. Zero fields are set to the defaults.
type MachineSettings struct {
	// Local is the router's own settings file, whose router and control sections are used
	// instead of a version's. It is nil if the machine belongs to no particular router.
	Local *config.Settings
	// Limits are the limits of the semantic checks.
	Limits CheckLimits
	// MaxBytes is the size limit of a version. Default 16 MiB.
	MaxBytes int
	// Jitter is the upper limit of the random delay before an accepted version is activated,
	// so that the routers don't activate it at the same moment. Default 1000 ms.
	Jitter Millis
	// Lease is how long a service must be silent before the router follows another one.
	// Default 30000 ms.
	Lease Millis
	// UnconfirmedAfter is the age of the running version from which on the operator is
	// warned. Default 60000 ms.
	UnconfirmedAfter Millis
	// StaleAfter is the age from which on a restored version is reported as stale. Default
	// 600000 ms.
	StaleAfter Millis
	// MaxRecords is how many versions are remembered for status. Default 32.
	MaxRecords int
}

// withDefaults returns the settings with defaults for zero fields.
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

// positiveOr returns value if it is above 0, else the default.
func positiveOr(value, byDefault float64) float64 {
	if value <= 0 {
		return byDefault
	}
	return value
}

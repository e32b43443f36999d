package bench

import (
	"testing"

	"indigospool/internal/config"
)

// BenchmarkReadVersion measures how long a router takes to check a version of realistic size
// before it accepts it.
func BenchmarkReadVersion(b *testing.B) {
	text := string(fleetSettings(11))
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		var s config.Settings
		if err := config.ReadVersion("bench", text, nil, &s); err != nil {
			b.Fatal(err)
		}
	}
}

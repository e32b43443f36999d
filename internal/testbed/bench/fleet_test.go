package bench

import (
	"testing"

	"indigospool/internal/config"
)

// What a router does with a version of users' size before it accepts it.
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

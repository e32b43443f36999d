package configstore

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// Steps of the wall clock, between versions and before a restart, change no age. After
// a boot, ages before the newest are at least what the machine's clocks can show.
func TestStoredTimesAreHints(t *testing.T) {
	hour := time.Hour
	for _, c := range []struct {
		steps  [3]time.Duration // of the wall clock, before versions 2 and 3 and the restart
		booted int              // before this version, 4: the restart; 0: never
		want   [3]float64       // s, of versions 1, 2 and 3
	}{
		{want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{hour, 0, 0}, want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{0, hour, -3 * time.Second}, want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{-hour, 3 * time.Second, hour}, want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{0, 0, -hour}, want: [3]float64{6, 5, 3}},
		{booted: 3, steps: [3]time.Duration{0, hour, 0}, want: [3]float64{5, 4, 3}},          // 1 s after the boot
		{booted: 4, steps: [3]time.Duration{hour, 0, 0}, want: [3]float64{6, 5, 3}},          // the last by the wall clock
		{booted: 4, steps: [3]time.Duration{0, 0, hour}, want: [3]float64{3606, 3605, 3603}}, // as a hint: distances hold
	} {
		t.Run(fmt.Sprint(c.steps, c.booted), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "good.db")
			wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			clock := reading{"first", 100 * time.Second}
			pass := func(n int, d, step time.Duration) {
				wall, clock.Up = wall.Add(d+step), clock.Up+d
				if n == c.booted {
					clock = reading{"second", time.Second}
				}
			}
			s, err := Open(path)
			if err != nil {
				t.Fatal(err)
			}
			s.clock = func() reading { return clock }
			for n := 1; n <= 3; n++ {
				if n > 1 {
					pass(n, time.Duration(n-1)*time.Second, c.steps[n-2])
				}
				if err := s.Put(version(int64(n)), wall); err != nil {
					t.Fatal(err)
				}
			}
			s.Close()
			pass(4, 3*time.Second, c.steps[2])
			if s, err = Open(path); err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			s.clock = func() reading { return clock }
			r := s.Restored(wall)
			if r.Err != nil || len(r.Earlier) != 2 {
				t.Fatalf("%+v", r)
			}
			if got := [3]float64{r.Earlier[0].Age / 1000, r.Earlier[1].Age / 1000, r.Age / 1000}; got != c.want {
				t.Errorf("ages %v s, want %v", got, c.want)
			}
		})
	}
}

package configstore

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// Steps of the wall clock, between versions or before a restart, do not change ages.
// After a reboot, the ages of earlier versions are the lower bounds that the boot
// clocks give.
func TestAgesIgnoreClockSteps(t *testing.T) {
	hour := time.Hour
	for _, test := range []struct {
		steps  [3]time.Duration // of the wall clock, before version 2, version 3 and the restart
		booted int              // rebooted before this version; 4: before the restart; 0: never
		want   [3]float64       // ages of versions 1, 2 and 3, in seconds
	}{
		{want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{hour, 0, 0}, want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{0, hour, -3 * time.Second}, want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{-hour, 3 * time.Second, hour}, want: [3]float64{6, 5, 3}},
		{steps: [3]time.Duration{0, 0, -hour}, want: [3]float64{6, 5, 3}},
		{booted: 3, steps: [3]time.Duration{0, hour, 0}, want: [3]float64{5, 4, 3}},          // version 3 is stored 1 s after the boot
		{booted: 4, steps: [3]time.Duration{hour, 0, 0}, want: [3]float64{6, 5, 3}},          // the last age by the wall clock
		{booted: 4, steps: [3]time.Duration{0, 0, hour}, want: [3]float64{3606, 3605, 3603}}, // a wrong estimate of the last age; the intervals are right
	} {
		t.Run(fmt.Sprint(test.steps, test.booted), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "good.db")
			wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			clock := bootReading{"first", 100 * time.Second}
			pass := func(before int, span, step time.Duration) {
				wall = wall.Add(span + step)
				clock.Up += span
				if before == test.booted {
					clock = bootReading{"second", time.Second}
				}
			}
			store, err := Open(path)
			if err != nil {
				t.Fatal(err)
			}
			store.bootClock = func() bootReading { return clock }
			for number := 1; number <= 3; number++ {
				if number > 1 {
					pass(number, time.Duration(number-1)*time.Second, test.steps[number-2])
				}
				if err := store.Put(version(int64(number)), wall); err != nil {
					t.Fatal(err)
				}
			}
			store.Close()
			pass(4, 3*time.Second, test.steps[2])
			if store, err = Open(path); err != nil {
				t.Fatal(err)
			}
			defer store.Close()
			store.bootClock = func() bootReading { return clock }
			restored := store.Restored(wall)
			if restored.Err != nil || len(restored.Earlier) != 2 {
				t.Fatalf("%+v", restored)
			}
			if got := [3]float64{restored.Earlier[0].Age / 1000, restored.Earlier[1].Age / 1000, restored.Age / 1000}; got != test.want {
				t.Errorf("ages %v s, want %v", got, test.want)
			}
		})
	}
}

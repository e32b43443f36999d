package platform

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"indigospool/internal/protocol/discovery"
	"indigospool/internal/testbed/testserver"
)

// platformClock is the time that the platform stamps its events with. It runs evenly; the
// wall clock of this process is ahead of it by a step.
type platformClock struct{ base, began time.Time }

func newPlatformClock(step time.Duration) platformClock {
	now := time.Now()
	return platformClock{base: now.Add(-step), began: now}
}

func (p platformClock) ago(span time.Duration) int64 {
	return p.base.Add(time.Since(p.began) - span).UnixMilli()
}

// groupPurge is the frame of a purge of a group, made at a Unix time.
func groupPurge(n uint64, group uint16, at int64) []byte {
	payload := binary.BigEndian.AppendUint16(nil, group)
	return testserver.PlatformFrame(n, 4, binary.BigEndian.AppendUint64(payload, uint64(at)))
}

// startedAt is a member's row with the Unix time of its late start.
func startedAt(id uint32, address string, at int64) []byte {
	row := record(id, address, 0, 0, 0)
	binary.BigEndian.PutUint64(row[len(row)-8:], uint64(at))
	return row
}

// knows puts events behind the first one of the configuration's known.
func (w *world) knows(events ...map[string]any) {
	w.t.Helper()
	raw, err := os.ReadFile(w.file)
	if err != nil {
		w.t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		w.t.Fatal(err)
	}
	known := config["known"].(map[string]any)
	for _, event := range events {
		known["events"] = append(known["events"].([]any), event)
		known["n"] = event["n"]
	}
	if raw, err = json.Marshal(config); err == nil {
		err = os.WriteFile(w.file, raw, 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// told is how old the module takes things to be: a group's purge, a member's start.
func (w *world) told(group int, id string) (purge, start float64) {
	w.t.Helper()
	w.n.l.Call(soon, func() {
		memory := w.n.core.Memory()
		if at, ok := memory.Module.Groups[group]; ok {
			purge = w.n.l.Now() - at
		} else {
			purge = -1
		}
		member, _ := w.n.core.Member(id)
		start = w.n.l.Now() - member.ReadyAt
	})
	return purge, start
}

// TestWallClockSteps: whatever step the wall clock of this process has taken, a purge and a
// cache's start are as old as the platform's own times say, and never older.
func TestWallClockSteps(t *testing.T) {
	const (
		slack  = 150.0 // ms between an event's time, its way here and the look at it
		oldAge = 4 * time.Second
	)
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			platform := newPlatformClock(step)
			w := outside(t, nil)
			c1, c2 := w.members["s-000000c1"].Addr, w.members["s-000000c2"].Addr
			w.knows(
				map[string]any{"n": 2, "members": map[string]any{"endpoints": []map[string]any{{"name": "s-000000c9", "address": c1, "zone": "near",
					"type": "box", "status": "ready", "weight": 4, "since_ms": platform.ago(oldAge)}}}},
				map[string]any{"n": 3, "purge": map[string]any{"group": 21, "at": platform.ago(oldAge)}},
				map[string]any{"n": 4, "purge": map[string]any{"group": 22, "at": platform.ago(0)}},
			)
			w.start(zap.NewNop())
			began := time.Now()
			check := func(what string, group int, id string, want time.Duration) {
				t.Helper()
				most := float64(want+time.Since(began))/1e6 + slack
				purge, start := w.told(group, id)
				for _, age := range []float64{purge, start} {
					if age < float64(want)/1e6-slack || age > most {
						t.Errorf("%s: a purge %.0f ms old and a start %.0f ms ago, want %v", what, purge, start, want)
						return
					}
				}
			}
			check("known at the start", 21, "s-000000c9", oldAge)
			w.until("the feed is asked", func() bool { return w.asked.Load() == 1 })
			w.say(testserver.PlatformFrame(4, 0, nil))
			w.say(groupPurge(5, 23, platform.ago(0)))
			w.say(testserver.PlatformFrame(6, 2, startedAt(0xca, c2, platform.ago(0))))
			w.until("the list has it", func() (found bool) {
				w.n.l.Call(soon, func() { _, found = w.n.core.Member("s-000000ca") })
				return found
			})
			began = time.Now()
			check("told on the stream", 23, "s-000000ca", 0)
		})
	}
}

// TestTimesAheadOfTheirOwn: times that lie in the future make nothing that is told on the
// stream older than the time since the feed last had nothing new.
func TestTimesAheadOfTheirOwn(t *testing.T) {
	t.Parallel()
	platform := newPlatformClock(0)
	w := open(t, nil)
	w.until("the feed is asked", func() bool { return w.asked.Load() == 1 })
	w.say(groupPurge(2, 21, platform.ago(-time.Hour)))
	w.say(testserver.PlatformFrame(2, 0, nil))
	w.turn()
	time.Sleep(200 * time.Millisecond)
	w.say(groupPurge(3, 22, platform.ago(0)))
	w.until("the purge is told", func() bool { age, _ := w.told(22, ""); return age >= 0 })
	if age, _ := w.told(22, ""); age > 700 {
		t.Errorf("a purge made now is taken as %.0f ms old", age)
	}
}

// TestTimesSeenInALongTurn: an event that is read late in a turn of the loop makes nothing
// older that comes afterwards.
func TestTimesSeenInALongTurn(t *testing.T) {
	t.Parallel()
	const turn = 200 * time.Millisecond
	platform := newPlatformClock(time.Hour)
	w := open(t, nil)
	made := platform.ago(0)
	w.n.l.Call(soon, func() {
		time.Sleep(turn)
		w.n.event(discovery.Event{Number: 2, Group: 21, PurgedAt: platform.ago(0)})
	})
	var age float64
	w.n.l.Call(soon, func() {
		w.n.event(discovery.Event{Number: 3, Group: 22, PurgedAt: made})
		age = w.n.l.Now() - w.n.core.Memory().Module.Groups[22]
	})
	if most := float64(platform.ago(0)-made) + 1; age > most || age < float64(turn.Milliseconds())-1 {
		t.Errorf("a purge made %.0f ms ago is taken as %.0f ms old", most, age)
	}
}

// TestNoWallClock: nothing between the feed and the decisions reads the wall clock, so that
// its steps between events change nothing either.
func TestNoWallClock(t *testing.T) {
	for _, directory := range []string{".", "../../protocol/discovery", "../unixclock", "../../protocol/thriftrpc",
		"../../protocol/resp", "../../protocol/simwire", "../engine", "../limits", "../../.."} {
		files, err := filepath.Glob(filepath.Join(directory, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", directory, len(files), err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(file, "_test.go") && bytes.Contains(text, []byte("time.Now(")) {
				t.Errorf("%s reads the wall clock", file)
			}
		}
	}
}

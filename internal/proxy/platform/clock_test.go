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

// platformClock is the clock for the timestamps of the platform's events. It runs steadily, and
// this process's wall clock is ahead of it by a fixed step.
type platformClock struct{ base, began time.Time }

func newPlatformClock(step time.Duration) platformClock {
	now := time.Now()
	return platformClock{base: now.Add(-step), began: now}
}

func (p platformClock) ago(span time.Duration) int64 {
	return p.base.Add(time.Since(p.began) - span).UnixMilli()
}

// groupPurge returns the frame of a group purge with a Unix time in ms.
func groupPurge(n uint64, group uint16, at int64) []byte {
	payload := binary.BigEndian.AppendUint16(nil, group)
	return testserver.PlatformFrame(n, 4, binary.BigEndian.AppendUint64(payload, uint64(at)))
}

// startedAt returns the record of a member with a start time, in Unix ms.
func startedAt(id uint32, address string, at int64) []byte {
	row := endpointRecord(id, address, 0, 0, 0)
	binary.BigEndian.PutUint64(row[len(row)-8:], uint64(at))
	return row
}

// addKnown appends events to the known events in the configuration.
func (h *testHarness) addKnown(events ...map[string]any) {
	h.t.Helper()
	raw, err := os.ReadFile(h.configFile)
	if err != nil {
		h.t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		h.t.Fatal(err)
	}
	known := config["known"].(map[string]any)
	for _, event := range events {
		known["events"] = append(known["events"].([]any), event)
		known["n"] = event["n"]
	}
	if raw, err = json.Marshal(config); err == nil {
		err = os.WriteFile(h.configFile, raw, 0o600)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// routerAges returns the ages, in ms, that the router has recorded for the purge of a group (-1
// if there is none) and for the start of a member.
func (h *testHarness) routerAges(group int, id string) (purge, start float64) {
	h.t.Helper()
	h.server.loop.Call(waitTimeout, func() {
		memory := h.server.engine.LearnedState()
		if at, ok := memory.Module.GroupPurges[group]; ok {
			purge = h.server.loop.Now() - at
		} else {
			purge = -1
		}
		member, _ := h.server.engine.Member(id)
		start = h.server.loop.Now() - member.ReadyAt
	})
	return purge, start
}

// TestWallClockSteps checks that the ages of purges and of member starts are computed from the
// platform's timestamps, whatever the error of this process's wall clock.
func TestWallClockSteps(t *testing.T) {
	const (
		slack  = 150.0 // ms from the timestamp of an event to the check of its age
		oldAge = 4 * time.Second
	)
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			platform := newPlatformClock(step)
			harness := prepareHarness(t, nil)
			c1, c2 := harness.members["s-000000c1"].Addr, harness.members["s-000000c2"].Addr
			harness.addKnown(
				map[string]any{"n": 2, "members": map[string]any{"endpoints": []map[string]any{{"name": "s-000000c9", "address": c1, "zone": "near",
					"type": "box", "status": "ready", "weight": 4, "since_ms": platform.ago(oldAge)}}}},
				map[string]any{"n": 3, "purge": map[string]any{"group": 21, "at": platform.ago(oldAge)}},
				map[string]any{"n": 4, "purge": map[string]any{"group": 22, "at": platform.ago(0)}},
			)
			harness.start(zap.NewNop())
			began := time.Now()
			check := func(what string, group int, id string, want time.Duration) {
				t.Helper()
				maxAge := float64(want+time.Since(began))/1e6 + slack
				purge, start := harness.routerAges(group, id)
				for _, age := range []float64{purge, start} {
					if age < float64(want)/1e6-slack || age > maxAge {
						t.Errorf("%s: a purge %.0f ms old and a start %.0f ms ago, want %v", what, purge, start, want)
						return
					}
				}
			}
			check("in the configuration", 21, "s-000000c9", oldAge)
			harness.waitUntil("the router has connected to the discovery server", func() bool { return harness.discoveryConnections.Load() == 1 })
			harness.sendDiscovery(testserver.PlatformFrame(4, 0, nil))
			harness.sendDiscovery(groupPurge(5, 23, platform.ago(0)))
			harness.sendDiscovery(testserver.PlatformFrame(6, 2, startedAt(0xca, c2, platform.ago(0))))
			harness.waitUntil("the router has the member", func() (found bool) {
				harness.server.loop.Call(waitTimeout, func() { _, found = harness.server.engine.Member("s-000000ca") })
				return found
			})
			began = time.Now()
			check("delivered on the stream", 23, "s-000000ca", 0)
		})
	}
}

// TestEventTimesInTheFuture checks that after a timestamp in the future no event on the stream is
// taken as older than the time since the last up-to-date frame.
func TestEventTimesInTheFuture(t *testing.T) {
	t.Parallel()
	platform := newPlatformClock(0)
	harness := newHarness(t, nil)
	harness.waitUntil("the router has connected to the discovery server", func() bool { return harness.discoveryConnections.Load() == 1 })
	harness.sendDiscovery(groupPurge(2, 21, platform.ago(-time.Hour)))
	harness.sendDiscovery(testserver.PlatformFrame(2, 0, nil))
	harness.waitTurn()
	time.Sleep(200 * time.Millisecond)
	harness.sendDiscovery(groupPurge(3, 22, platform.ago(0)))
	harness.waitUntil("the purge is delivered", func() bool { age, _ := harness.routerAges(22, ""); return age >= 0 })
	if age, _ := harness.routerAges(22, ""); age > 700 {
		t.Errorf("a purge made now is taken as %.0f ms old, want at most 700", age)
	}
}

// TestEventTimesReadInALongTurn checks that an event that is read late in a turn of the loop does
// not make later events appear older.
func TestEventTimesReadInALongTurn(t *testing.T) {
	t.Parallel()
	const turn = 200 * time.Millisecond
	platform := newPlatformClock(time.Hour)
	harness := newHarness(t, nil)
	made := platform.ago(0)
	harness.server.loop.Call(waitTimeout, func() {
		time.Sleep(turn)
		harness.server.applyEvent(discovery.Event{Number: 2, Group: 21, PurgedAt: platform.ago(0)})
	})
	var age float64
	harness.server.loop.Call(waitTimeout, func() {
		harness.server.applyEvent(discovery.Event{Number: 3, Group: 22, PurgedAt: made})
		age = harness.server.loop.Now() - harness.server.engine.LearnedState().Module.GroupPurges[22]
	})
	if maxAge := float64(platform.ago(0)-made) + 1; age > maxAge || age < float64(turn.Milliseconds())-1 {
		t.Errorf("a purge made at most %.0f ms ago is taken as %.0f ms old, want no more, and no less than the turn took", maxAge, age)
	}
}

// TestNoWallClock checks that no code between the discovery stream and the routing decisions
// reads the wall clock, so that its steps between events have no effect.
func TestNoWallClock(t *testing.T) {
	for _, directory := range []string{".", "../../protocol/discovery", "../unixclock", "../../protocol/thriftrpc",
		"../../protocol/resp", "../../protocol/simwire", "../engine", "../limits", "../../.."} {
		files, err := filepath.Glob(filepath.Join(directory, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d Go files, error %v; want at least 1 file", directory, len(files), err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(file, "_test.go") && bytes.Contains(text, []byte("time.Now(")) {
				t.Errorf("%s calls time.Now, want no reading of the wall clock", file)
			}
		}
	}
}

package platform

import (
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"indigospool/internal/testbed/testserver"
)

// TestReload checks that the router resumes at the discovery server of the new file after the
// last event, and that an invalid file has no effect.
func TestReload(t *testing.T) {
	harness := newHarness(t, nil)
	harness.waitUntil("the router has connected to the discovery server", func() bool { return harness.discoveryConnections.Load() == 1 })
	os.WriteFile(harness.configFile, []byte(`{"name":`), 0o600)
	harness.server.Reload()
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Fatalf("after an invalid file: answer %+v, want served", result)
	}
	harness.writeConfig(harness.newDiscovery().Addr)
	harness.server.Reload()
	harness.waitUntil("the router has connected to the new discovery server", func() bool { return harness.discoveryConnections.Load() == 2 })
	if n := harness.lastResumed.Load(); n != 1 {
		t.Errorf("resumed from event %d, want 1", n)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Errorf("after a new file: answer %+v, want served", result)
	}
}

// TestReloadTwice checks that, of two reloads in quick succession, the second file is applied,
// that requests in flight are answered, and that the router resumes at the second discovery
// server after the last event.
func TestReloadTwice(t *testing.T) {
	t.Parallel()
	slow := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Cancel {
			time.AfterFunc(150*time.Millisecond, func() { answerHit(conn, request) })
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow, "s-000000a1": slow})
	harness.waitUntil("the router has connected to the first discovery server", func() bool { return harness.discoveryConnections.Load() == 1 })
	for round := range 5 {
		client := harness.dial()
		for range 10 {
			client.Ask(readFields(key), nil)
			client.Ask(writeFields(), nil)
		}
		harness.waitUntil("all requests are in flight", func() (all bool) {
			harness.server.loop.Call(waitTimeout, func() { all = len(harness.server.requests) == 20 })
			return all
		})
		first, second := harness.newDiscovery(), harness.newDiscovery()
		harness.settings = strings.Replace(testSettings, `"name":"clip"`, `"name":"film"`, 1)
		harness.writeConfig(first.Addr)
		harness.server.Reload()
		time.Sleep(time.Duration(round*20) * time.Millisecond)
		harness.settings = testSettings
		harness.writeConfig(second.Addr)
		harness.server.Reload()
		harness.waitTurn()
		for range 20 {
			if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
				t.Errorf("round %d: answer %+v, error %v; want served", round, result, err)
			}
		}
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Errorf("round %d, afterwards: answer %+v, want served", round, result)
		}
		feed := ""
		harness.server.loop.Call(waitTimeout, func() { feed = harness.server.config.DiscoveryAddress })
		if feed != second.Addr {
			t.Errorf("round %d: the discovery address is %s, want %s", round, feed, second.Addr)
		}
	}
	harness.waitUntil("the router has connected to the last discovery server", func() bool { return harness.discoveryConnections.Load() >= 2 && harness.lastResumed.Load() == 1 })
}

// TestReloadRetriesReadErrors checks that a file that cannot be read for a moment is read again.
func TestReloadRetriesReadErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.EIO, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			left := 3
			harness.server.loop.Call(waitTimeout, func() {
				harness.server.readConfig = func(file string) (*Config, error) {
					if left--; left >= 0 {
						return nil, &os.PathError{Op: "open", Path: file, Err: errno}
					}
					return ReadConfig(file)
				}
			})
			second := harness.newDiscovery()
			harness.writeConfig(second.Addr)
			harness.server.Reload()
			harness.waitUntil("the new file is applied", func() (yes bool) {
				harness.server.loop.Call(waitTimeout, func() { yes = harness.server.config.DiscoveryAddress == second.Addr })
				return yes
			})
		})
	}
}

// TestReloadRemovesClassInUse checks that a request in flight is answered after a reload has
// removed its class. The router once crashed with a nil pointer dereference.
func TestReloadRemovesClassInUse(t *testing.T) {
	answers := make(chan func(), 4)
	wait := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		answers <- func() { answerHit(conn, request) }
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	client := harness.dial()
	client.Ask(readFields(key), nil)
	answer := <-answers
	harness.settings = strings.Replace(testSettings, `"name":"clip"`, `"name":"film"`, 1)
	harness.writeConfig(harness.discovery.Addr)
	harness.server.Reload()
	harness.waitTurn()
	answer()
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
		t.Errorf("answer %+v, error %v; want served", result, err)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word != "failed" {
		t.Errorf("a request of a removed class: answer %+v, want failed", result)
	}
}

// TestInvalidConfiguration checks that the error for an invalid configuration names the field and
// the reason, that Open fails, and that a reload keeps the current configuration.
func TestInvalidConfiguration(t *testing.T) {
	harness := newHarness(t, nil)
	for _, test := range []struct{ old, new, want string }{
		{`"idempotency":"guarded"`, `"idempotency":"sometimes"`, `class "note": unknown idempotency "sometimes"`},
		{`"idempotency":"guarded",`, ``, `classes[1] "note": idempotency is missing`},
		{`"window":2000`, `"window":0`, `classes[1] "note": window is 0`},
		{`"give_up":3000,"gain":2,"late`, `"give_up":-1,"gain":2,"late`, `classes[0] "clip": give_up is -1`},
		{`"max_attempts":6,`, ``, `limits: max_attempts is missing`},
		{`"name":"clip"`, `"name":"note"`, `class "note" is named twice`},
		{`"cold_from":0.2`, `"cold_from":7`, `cold share is not within 0 and 1`},
	} {
		harness.settings = strings.Replace(testSettings, test.old, test.new, 1)
		harness.writeConfig(harness.discovery.Addr)
		server, err := Open(harness.configFile, "127.0.0.1:0", zap.NewNop())
		if err == nil {
			server.listener.close()
			t.Errorf("%s is accepted", test.new)
		} else if !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want a single line with %q", err, test.want)
		}
		harness.server.Reload()
		harness.waitTurn()
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Errorf("after a reload with %s: answer %+v, want served", test.new, result)
		}
	}
}

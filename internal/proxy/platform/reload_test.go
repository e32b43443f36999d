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

// TestReload: the feed of the new file is asked from the last number, and a broken file
// changes nothing.
func TestReload(t *testing.T) {
	harness := newHarness(t, nil)
	harness.waitUntil("the first connection", func() bool { return harness.discoveryConnections.Load() == 1 })
	os.WriteFile(harness.configFile, []byte(`{"name":`), 0o600)
	harness.server.Reload()
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Fatalf("after a broken file: %+v", result)
	}
	harness.writeConfig(harness.newDiscovery().Addr)
	harness.server.Reload()
	harness.waitUntil("the new feed is asked", func() bool { return harness.discoveryConnections.Load() == 2 })
	if n := harness.lastResumed.Load(); n != 1 {
		t.Errorf("asked from %d, want 1", n)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Errorf("after a new file: %+v", result)
	}
}

// TestReloadTwice: of two reloads in quick succession the second file holds, requests in
// hand are answered, and its feed is asked from the last number.
func TestReloadTwice(t *testing.T) {
	t.Parallel()
	slow := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Stop {
			time.AfterFunc(150*time.Millisecond, func() { answerHit(conn, request) })
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow, "s-000000a1": slow})
	harness.waitUntil("the first discovery server is asked", func() bool { return harness.discoveryConnections.Load() == 1 })
	for round := range 5 {
		client := harness.dial()
		for range 10 {
			client.Ask(readFields(key), nil)
			client.Ask(writeFields(), nil)
		}
		harness.waitUntil("they are taken", func() (all bool) {
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
				t.Errorf("round %d: %+v %v", round, result, err)
			}
		}
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Errorf("round %d, afterwards: %+v", round, result)
		}
		feed := ""
		harness.server.loop.Call(waitTimeout, func() { feed = harness.server.config.DiscoveryAddress })
		if feed != second.Addr {
			t.Errorf("round %d: the feed is %s, not %s", round, feed, second.Addr)
		}
	}
	harness.waitUntil("the last feed is asked", func() bool { return harness.discoveryConnections.Load() >= 2 && harness.lastResumed.Load() == 1 })
}

// TestReloadRetriesReadErrors: a file that cannot be read for a moment is read a moment later.
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
			harness.waitUntil("the new file holds", func() (yes bool) {
				harness.server.loop.Call(waitTimeout, func() { yes = harness.server.config.DiscoveryAddress == second.Addr })
				return yes
			})
		})
	}
}

// TestReloadRemovesClassInUse: a class goes with a new configuration while a request of it is
// out; the answer comes to its client. The router ended with a nil pointer.
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
		t.Errorf("%+v %v", result, err)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word != "failed" {
		t.Errorf("a class that is gone: %+v", result)
	}
}

// TestInvalidConfiguration: the field and the reason are named, nothing listens, and a
// reload keeps what there was.
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
			t.Errorf("%s is taken", test.new)
		} else if !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v; wanted is %q, in one line", err, test.want)
		}
		harness.server.Reload()
		harness.waitTurn()
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Errorf("after a reload with %s: %+v", test.new, result)
		}
	}
}

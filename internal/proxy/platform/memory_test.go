package platform

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"indigospool/internal/testbed/routerprocess"
	"indigospool/internal/testbed/testserver"
)

const (
	processMemoryMB    = 72   // memory limit of the router process
	processDescriptors = 1024 // its descriptor limit
	manyClients        = 320  // below the third of the descriptors that clients may hold
)

// startProcess starts a router process with the harness's configuration.
func (h *testHarness) startProcess() *routerprocess.Process {
	h.t.Helper()
	program, err := routerprocess.Build(h.t.TempDir())
	if err != nil {
		h.t.Fatal(err)
	}
	if h.address, err = routerprocess.FreeAddress(); err != nil {
		h.t.Fatal(err)
	}
	process, err := routerprocess.Start(program, []string{"NODE_NAME=n1", "NODE_LISTEN=" + h.address, "NODE_CONFIG=" + h.configFile}, "node", "--line", "1000")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		if log := process.Kill(); h.t.Failed() {
			h.t.Logf("log of the router:\n%.3000s", log)
		}
	})
	h.waitUntil("the program listens", func() bool {
		client, err := testserver.DialPlatform(h.address)
		if err == nil {
			client.Close()
		}
		return err == nil
	})
	return process
}

// A process was reported killed at its memory limit with hundreds of clients connected that stop in
// the middle of a large request, write slowly or send very many short fields.
func TestMemoryOfSlowWriters(t *testing.T) {
	never := func(*testserver.PlatformConn, testserver.PlatformRequest) {}
	call := func() []byte { return testserver.PlatformCall("serve", 1, writeFields(), make([]byte, 48000)) }
	manyFields := readFields(key)
	for i := range 4000 {
		manyFields[strconv.Itoa(i)] = "1"
	}
	for name, send := range map[string]func(client *testserver.PlatformClient, end time.Time){
		"stopped": func(client *testserver.PlatformClient, end time.Time) {
			client.Write(call()[:48000])
		},
		"slow": func(client *testserver.PlatformClient, end time.Time) {
			for rest := call(); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if len(rest) < 800 {
					rest = call()
				}
				if _, err := client.Write(rest[:800]); err != nil {
					return
				}
				rest = rest[800:]
			}
		},
		"fields": func(client *testserver.PlatformClient, end time.Time) {
			b := testserver.PlatformCall("serve", 1, manyFields, nil)
			client.Write(b[:len(b)-1])
		},
		"unanswered": func(client *testserver.PlatformClient, end time.Time) {
			for i := range int32(32) {
				client.Write(testserver.PlatformCall("serve", i+1, writeFields("wait", "3000"), make([]byte, 48000)))
			}
			for range 31 {
				client.Result(time.Until(end))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := prepareHarness(t, map[string]handler{"s-000000a1": never})
			harness.memoryMB, harness.sockets = processMemoryMB, processDescriptors
			harness.writeConfig(harness.discovery.Addr)
			process := harness.startProcess()
			end := time.Now().Add(5 * time.Second)
			var clients sync.WaitGroup
			for range manyClients {
				clients.Go(func() {
					for time.Now().Before(end) { // the router closes those that are too slow
						client := harness.dial()
						send(client, end)
						client.Result(time.Until(end))
						client.Close()
					}
				})
			}
			var worst time.Duration
			for time.Now().Before(end) {
				began := time.Now()
				if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
					t.Errorf("a usual request was answered %+v, want served", result)
				}
				worst = max(worst, time.Since(began))
				time.Sleep(20 * time.Millisecond)
			}
			clients.Wait()
			peak, err := process.PeakMemory()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak %d KiB of %d, worst time of a usual request %v", peak, processMemoryMB<<10, worst)
			if peak > processMemoryMB<<10 {
				t.Errorf("peak of the resident memory %d KiB, want at most %d", peak, processMemoryMB<<10)
			}
		})
	}
}

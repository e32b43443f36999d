package platform

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"indigospool/internal/testbed/testserver"
)

const (
	processMemoryMB    = 72   // memory limit of the router process
	processDescriptors = 1024 // its descriptor limit
	manyClients        = 320  // below the third of the descriptors that clients may hold
)

// routerProcess is a router that runs as a process of its own.
type routerProcess struct {
	t   *testing.T
	cmd *exec.Cmd
}

// startProcess builds the router and starts it with the harness's configuration.
func (h *testHarness) startProcess() *routerProcess {
	h.t.Helper()
	program := filepath.Join(h.t.TempDir(), "spool-router")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/spool-router").CombinedOutput(); err != nil {
		h.t.Fatalf("go build: %v: %s", err, out)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.address = free.Addr().String()
	free.Close()
	process := &routerProcess{t: h.t, cmd: exec.Command(program, "node", "--line", "1000")}
	var log bytes.Buffer
	process.cmd.Stdout, process.cmd.Stderr = &log, &log
	process.cmd.Env = append(os.Environ(), "NODE_NAME=n1", "NODE_LISTEN="+h.address, "NODE_CONFIG="+h.configFile)
	if err := process.cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		process.cmd.Process.Signal(syscall.SIGKILL)
		process.cmd.Wait()
		if h.t.Failed() {
			h.t.Logf("log of the router:\n%.3000s", log.Bytes())
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

// status returns a value of the process's status file in the kernel, in KiB.
func (p *routerProcess) status(name string) (kib int) {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kib, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return kib
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
			peak := process.status("VmHWM")
			t.Logf("peak %d KiB of %d, worst time of a usual request %v", peak, processMemoryMB<<10, worst)
			if peak > processMemoryMB<<10 {
				t.Errorf("peak of the resident memory %d KiB, want at most %d", peak, processMemoryMB<<10)
			}
		})
	}
}

package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"indigospool/internal/testbed/routerprocess"
	"indigospool/internal/testbed/testserver"
)

const (
	processMemoryMB = 64  // memory limit of the router process
	manyClients     = 320 // connected at the same time
)

// startProcess starts a router process with the rig's members, and returns its address.
func (r *testRig) startProcess(limits string) (process *routerprocess.Process, address string) {
	r.t.Helper()
	folder := r.t.TempDir()
	program, err := routerprocess.Build(folder)
	if err != nil {
		r.t.Fatal(err)
	}
	if address, err = routerprocess.FreeAddress(); err != nil {
		r.t.Fatal(err)
	}
	text := strings.Replace(fmt.Sprintf(routerSettings, r.listService.Addr(), limits), `(listen "127.0.0.1:0")`, fmt.Sprintf("(listen %q)", address), 1)
	settings := filepath.Join(folder, "router.edn")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	if process, err = routerprocess.Start(program, nil, "serve", "-c", settings); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		if log := process.Kill(); r.t.Failed() {
			r.t.Logf("log of the router:\n%.2000s", log)
		}
	})
	for range 200 {
		if res, err := http.Get("http://" + address + "/s/1/still0"); err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				break
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	return process, address
}

// A process was reported killed at its memory limit with hundreds of clients connected that stop in
// the middle of a large request, write slowly, send very many short fields, or wait for answers to
// large writes.
func TestMemoryOfSlowWriters(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 1<<20)
	head := func(i int) string {
		return fmt.Sprintf("POST /o/%d HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k%d\r\nContent-Length: %d\r\n\r\n", i, i, len(body))
	}
	for name, send := range map[string]func(conn net.Conn, i int, end time.Time){
		"stopped": func(conn net.Conn, i int, end time.Time) {
			io.WriteString(conn, head(i))
			conn.Write(body[:len(body)-100])
		},
		"slow": func(conn net.Conn, i int, end time.Time) {
			io.WriteString(conn, head(i))
			for rest := body; len(rest) > 0 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				n := min(len(rest), 20000)
				if _, err := conn.Write(rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		},
		"fields": func(conn net.Conn, i int, end time.Time) {
			io.WriteString(conn, "GET /s/1/still0 HTTP/1.1\r\n"+strings.Repeat("a:1\r\n", 4000))
		},
		"unanswered": func(conn net.Conn, i int, end time.Time) {
			io.WriteString(conn, head(i))
			conn.Write(body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newRig(t, 2, "")
			process, address := rig.startProcess(fmt.Sprintf("(memory-mb %d) (connections-per-address 5000)", processMemoryMB))
			if name == "unanswered" {
				rig.origin.Fault(testserver.Fault{Kind: testserver.Hang, For: 8000})
			}
			end := time.Now().Add(5 * time.Second)
			var clients sync.WaitGroup
			for i := range manyClients {
				clients.Go(func() {
					for time.Now().Before(end) { // the router closes those that are too slow
						conn, err := net.DialTimeout("tcp", address, time.Second)
						if err != nil {
							time.Sleep(20 * time.Millisecond)
							continue
						}
						conn.SetDeadline(end)
						send(conn, i, end)
						if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
							io.Copy(io.Discard, res.Body)
						}
						conn.Close()
					}
				})
			}
			served, other := 0, map[string]int{}
			for client := (&http.Client{Timeout: 2 * time.Second}); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				res, err := client.Get("http://" + address + "/s/1/still0")
				switch {
				case err != nil:
					other["error"]++
					continue
				case res.StatusCode != 200:
					other[res.Status]++
				default:
					served++
				}
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			clients.Wait()
			kib, err := process.PeakMemory()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak %d KiB of %d; usual requests: %d served, others %v", kib, processMemoryMB<<10, served, other)
			if kib > processMemoryMB<<10 {
				t.Errorf("peak of the resident memory %d KiB, want at most %d", kib, processMemoryMB<<10)
			}
		})
	}
}

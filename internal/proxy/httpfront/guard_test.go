package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/config"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/limits"
	"indigospool/internal/testbed/testserver"
)

// limitCounts returns the router's counts of enforced limits by cause.
func (r *testRig) limitCounts() (out limits.Counts) {
	r.edge.Query(func(*Stats, *engine.Core) { out = r.edge.guard.counts })
	return out
}

// getSmallObjects requests n small objects one after another. It returns their response times in
// ascending order, and the number of requests that failed.
func (r *testRig) getSmallObjects(n int) (times []float64, failed int) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for i := range n {
		began := time.Now()
		res, err := client.Get("http://" + r.edge.Addr() + fmt.Sprintf("/s/1/still%d", i%10))
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		if err != nil || res.StatusCode != 200 {
			failed++
		}
		times = append(times, float64(time.Since(began).Microseconds())/1000)
	}
	sort.Float64s(times)
	return times, failed
}

// shortGrace are limits that find slow peers within a second.
const shortGrace = `(head-rate 1) (head-grace 300) (client-rate 200) (client-grace 700) (member-rate 50) (member-grace 600) `

// Clients that read large objects too slowly are closed. Requests for small objects through the
// same caches and the same pool are not delayed by them.
func TestSlowReaders(t *testing.T) {
	rig := newRig(t, 2, shortGrace+"(buffer 65536)")
	before, failedBefore := rig.getSmallObjects(100)
	var conns []net.Conn
	for i := range 40 {
		conn := rig.dial()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprintf(conn, "GET /v/1/big%d/0 HTTP/1.1\r\nHost: h\r\nSpool-KB: 4000\r\n\r\n", i)
		conns = append(conns, conn)
	}
	// A part has 200 KB, which socket buffers may hold in full, so each client requests many.
	for _, conn := range conns {
		for range 40 {
			fmt.Fprintf(conn, "GET /v/1/more/%d HTTP/1.1\r\nHost: h\r\n\r\n", 1)
		}
	}
	during, failedDuring := rig.getSmallObjects(300)
	if failedBefore+failedDuring > 0 || during[len(during)*99/100] > 3*before[len(before)*99/100]+50 {
		t.Errorf("%d requests failed before and %d during the slow reads, want 0; p99 %.1f ms, %.1f ms before, want at most 3 times that and 50 ms", failedBefore, failedDuring, during[len(during)*99/100], before[len(before)*99/100])
	}
	for range 60 {
		if rig.limitCounts()[limits.SlowReader] == 40 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("closed by cause: %v, want all 40 slow readers", rig.limitCounts())
}

// A client that reads steadily at twice the least rate is not closed, although its socket
// accepts no more output for long, since the kernel's buffers hold seconds of data at that rate.
func TestSteadyReader(t *testing.T) {
	rig := newRig(t, 1, "(client-rate 400) (client-grace 700) (buffer 16384)")
	conn := rig.dial()
	for i := range 150 {
		fmt.Fprintf(conn, "GET /v/1/big/%d HTTP/1.1\r\nHost: h\r\n\r\n", i%10)
	}
	buf := make([]byte, 80<<10)
	for range 50 {
		if _, err := io.ReadFull(conn, buf); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if closed := rig.limitCounts()[limits.SlowReader]; closed > 0 {
		t.Errorf("%d connections were closed as slow, want 0", closed)
	}
}

// A client that reads in bursts, at the least rate on average, is not closed.
func TestBurstyReader(t *testing.T) {
	rig := newRig(t, 1, "(client-rate 2000) (client-grace 1000) (buffer 16384)")
	conn := rig.dial()
	conn.(*net.TCPConn).SetReadBuffer(256 << 10)
	const asked = 40 // parts of 50 to 400 KB
	for i := range asked {
		fmt.Fprintf(conn, "GET /v/1/big/%d HTTP/1.1\r\nHost: h\r\n\r\n", i%10)
	}
	got, buf := 0, make([]byte, 1300<<10)
	for {
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		n, err := io.ReadFull(conn, buf) // 1.3 MB each half second is 2.6 MB/s; the least rate is 2
		got += n
		if err != nil {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	served := uint64(0)
	rig.edge.Query(func(s *Stats, _ *engine.Core) { served = s.Served })
	if served != asked || got < 5<<20 || rig.limitCounts()[limits.SlowReader] > 0 {
		t.Errorf("%d of %d responses were served, %d KB read, closed by cause: %v; want all responses, at least 5 MB and no slow reader", served, asked, got>>10, rig.limitCounts())
	}
}

// Two thousand clients that send their requests a byte at a time are closed, and do not delay
// other clients.
func TestSlowloris(t *testing.T) {
	clients := 2000
	var limit unix.Rlimit
	unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	clients = min(clients, int(limit.Cur)/3-100)
	rig := newRig(t, 2, shortGrace+"(connections-per-address 5000)")
	before, _ := rig.getSmallObjects(100)
	var conns []net.Conn
	for range clients {
		conn, err := net.Dial("tcp4", rig.edge.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			for _, conn := range conns {
				conn.Write([]byte("GET /s/1/x HTTP/1.1\r\nX-A: b\r\n"[i%20 : i%20+1]))
			}
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	during, failed := rig.getSmallObjects(300)
	deadline := time.Now().Add(8 * time.Second)
	for rig.limitCounts()[limits.SlowHead] < uint64(clients) && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if got := rig.limitCounts()[limits.SlowHead]; got < uint64(clients) {
		t.Errorf("%d of %d slow clients were closed, want all", got, clients)
	}
	if failed > 0 || during[len(during)/2] > 5*before[len(before)/2]+20 {
		t.Errorf("%d other requests failed, want 0; p50 %.1f ms, %.1f ms before, want at most 5 times that and 20 ms", failed, during[len(during)/2], before[len(before)/2])
	}
}

// Connections to a member that sends heads and then a byte a second are closed, and counted. If
// all members do so, most of the connections are kept, and the router goes on serving.
func TestTricklingMembers(t *testing.T) {
	rig := newRig(t, 4, shortGrace+"(body-idle 3000)")
	for i := range 80 { // so that all members have served, and hold copies
		rig.get(fmt.Sprintf("/s/1/w%d", i))
	}
	trickle := func(ids ...string) {
		for _, id := range ids {
			if err := rig.caches[id].Fault(testserver.Fault{Kind: testserver.Trickle, For: 2500}); err != nil {
				t.Fatal(err)
			}
		}
	}
	round := func() (failed, succeeded int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 80 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
				res, err := client.Get("http://" + rig.edge.Addr() + fmt.Sprintf("/s/1/w%d", i))
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
					res.Body.Close()
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil || res.StatusCode != 200 {
					failed++
				} else {
					succeeded++
				}
			}()
		}
		wg.Wait()
		return failed, succeeded
	}
	trickle("b0")
	failed, succeeded := round()
	if closed := rig.limitCounts()[limits.SlowMember]; closed == 0 || succeeded < 40 {
		t.Errorf("one slow member: %d connections closed, %d requests failed, %d succeeded; want at least 1 closed and 40 succeeded", closed, failed, succeeded)
	}
	time.Sleep(2 * time.Second)
	before := rig.limitCounts()[limits.SlowMember]
	trickle("b0", "b1", "b2", "b3")
	round()
	var spared uint64
	rig.edge.Query(func(*Stats, *engine.Core) { spared = rig.edge.guard.massSlowness.Spared })
	if closed := rig.limitCounts()[limits.SlowMember] - before; closed > 40 || spared == 0 {
		t.Errorf("all members slow: %d connections closed, %d spared; want at most 40 closed and at least 1 spared", closed, spared)
	}
	if res, _, err := rig.get("/s/1/after"); err != nil || res.StatusCode != 200 {
		t.Errorf("request afterwards: response %v, error %v; want 200", res, err)
	}
}

// When connections run out, idle ones are closed for new ones, and requests are served.
func TestFewDescriptors(t *testing.T) {
	rig := newRig(t, 2, "(connections-per-address 5000)")
	rig.edge.Query(func(*Stats, *engine.Core) { rig.edge.guard.maxClients = 64 })
	for range 300 {
		conn, err := net.Dial("tcp4", rig.edge.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	time.Sleep(250 * time.Millisecond) // until they count as idle
	if _, failed := rig.getSmallObjects(50); failed > 0 {
		t.Errorf("%d requests failed, want 0", failed)
	}
	rig.waitFor("idle connections to be closed", func(s *Stats, _ *engine.Core) bool {
		return s.Connections <= 64 && rig.edge.guard.counts[limits.Descriptors] >= 200
	})
}

// When the memory budget is nearly used up, idle connections are closed first, and then no new
// requests are admitted. Requests are served again as soon as memory is free.
func TestMemoryBudget(t *testing.T) {
	rig := newRig(t, 2, "(memory-mb 4) (connections-per-address 5000) (buffer 65536)") // 3 MB are reserved for the program itself
	var conns []net.Conn
	for range 1200 { // of 1 KB each, more than the budget of 1 MB
		conn, err := net.Dial("tcp4", rig.edge.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	rig.waitFor("idle connections to be closed", func(*Stats, *engine.Core) bool { return rig.edge.guard.counts[limits.Memory] > 100 })
	time.Sleep(250 * time.Millisecond) // until all of them count as idle
	if _, failed := rig.getSmallObjects(50); failed > 0 {
		t.Errorf("%d requests failed, want 0", failed)
	}
	for _, conn := range conns {
		conn.Close()
	}
	var slow []net.Conn
	for i := range 60 { // clients that do not read their responses
		conn := rig.dial()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		for range 40 {
			fmt.Fprintf(conn, "GET /v/1/big%d/0 HTTP/1.1\r\nHost: h\r\n\r\n", i)
		}
		slow = append(slow, conn)
	}
	maxUsed := int64(0)
	for range 40 {
		rig.edge.Query(func(*Stats, *engine.Core) { maxUsed = max(maxUsed, rig.edge.guard.memory.Used()) })
		time.Sleep(20 * time.Millisecond)
	}
	if maxUsed > 2<<20 {
		t.Errorf("%d KB charged; the budget is 1024, and a turn of the loop may exceed it by as much", maxUsed>>10)
	}
	for _, conn := range slow {
		conn.Close()
	}
	rig.waitFor("the memory to be freed", func(*Stats, *engine.Core) bool {
		return rig.edge.guard.memory.Used() < 600<<10 && len(rig.edge.requests) == 0
	})
	if _, failed := rig.getSmallObjects(20); failed > 0 {
		t.Errorf("%d requests failed afterwards, want 0", failed)
	}
}

// Requests above the adaptive limit of requests in flight are rejected at once, with a
// Retry-After, and so are retries above the retry budget.
func TestOverloadRejections(t *testing.T) {
	rig := newRig(t, 1, "(held 40) (overload-least 4) (retry-burst 5)")
	rig.caches["b0"].Fault(testserver.Fault{Kind: testserver.Hang, For: 1500})
	rig.edge.Query(func(*Stats, *engine.Core) {
		for i := range 50 { // as if ready connections had waited for 500 ms
			rig.edge.guard.admission.ObserveWait(500)
			rig.edge.guard.admission.Tick(rig.edge.loop.Now()+float64(200*i), 5)
		}
	})
	answers := make(chan string, 30)
	for i := range 30 {
		go func() {
			answers <- rig.exchange(fmt.Sprintf("GET /s/1/%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", i))
		}()
	}
	rejected := 0
	for range 30 {
		got := <-answers
		if strings.Contains(got, "detail=overload") {
			rejected++
			if !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.Contains(got, "Retry-After: ") {
				t.Errorf("response %q, want status 503 with Retry-After", got)
			}
		}
	}
	if rejected == 0 {
		t.Error("no request was rejected as overload, want at least 1")
	}
	retries := 0
	for range 12 {
		if strings.Contains(rig.exchange("GET /s/1/again HTTP/1.1\r\nHost: h\r\nSpool-Retry: 1\r\nConnection: close\r\n\r\n"), "detail=repeats") {
			retries++
		}
	}
	if retries < 5 {
		t.Errorf("%d of 12 retries were rejected, want at least 5", retries)
	}
}

// A hundred clients that do not read large responses take no capacity from others: the module is
// told that the responses are stalled, and small objects are served as before through the same
// caches, pools and links.
func TestStalledReadersTakeNoPlace(t *testing.T) {
	oldKB := testClasses[1].KB
	testClasses[1].KB = 3000
	defer func() { testClasses[1].KB = oldKB }()
	rig := newRig(t, 1, "(client-grace 30000)")
	before, _ := rig.getSmallObjects(50)
	for i := range 100 {
		conn := rig.dial()
		conn.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprintf(conn, "GET /v/1/big%d/0 HTTP/1.1\r\nHost: h\r\n\r\n", i%5)
	}
	rig.waitFor("reports of stalled responses", func(*Stats, *engine.Core) bool {
		reported := 0
		for _, p := range rig.edge.pools {
			for u := range p.connections {
				if u.stallReported {
					reported++
				}
			}
		}
		return reported == 100
	})
	during, failed := rig.getSmallObjects(100)
	if failed > 0 || during[len(during)/2] > 5*before[len(before)/2]+20 {
		t.Errorf("%d requests failed, want 0; p50 %.1f ms, %.1f ms before, want at most 5 times that and 20 ms", failed, during[len(during)/2], before[len(before)/2])
	}
}

// Addresses whose clients request large objects and do not read them get a poor reputation.
// From then on all of them together have few requests in flight, and other clients are served.
func TestPoorReputation(t *testing.T) {
	oldKB := testClasses[1].KB
	testClasses[1].KB = 3000
	defer func() { testClasses[1].KB = oldKB }()
	rig := newRig(t, 1, "(client-grace 60000) (write-idle 60000) (poor-held 8)")
	wave := func(count int) (conns []net.Conn) {
		for i := range count {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 2, byte(1+i%20))}}
			conn, err := dialer.Dial("tcp4", rig.edge.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			conn.(*net.TCPConn).SetReadBuffer(4096)
			fmt.Fprintf(conn, "GET /v/1/big%d/0 HTTP/1.1\r\nHost: h\r\n\r\n", i%5)
			conns = append(conns, conn)
		}
		return conns
	}
	first := wave(60)
	rig.waitFor("poor reputations of the addresses", func(*Stats, *engine.Core) bool {
		for i := range 20 {
			if !rig.edge.guard.reputation.Poor(fmt.Sprintf("127.0.2.%d", 1+i), rig.edge.loop.Now()) {
				return false
			}
		}
		return true
	})
	for _, conn := range first {
		conn.Close()
	}
	rig.waitFor("the end of the first requests", func(*Stats, *engine.Core) bool {
		return len(rig.edge.requests) == 0 && rig.edge.guard.reputation.HasCapacity()
	})
	wave(300)
	if _, failed := rig.getSmallObjects(50); failed > 0 {
		t.Errorf("%d requests of other clients failed, want 0", failed)
	}
	rig.waitFor("rejections of the others", func(*Stats, *engine.Core) bool { return rig.edge.guard.counts[limits.PoorReputation] >= 292 })
	rig.edge.Query(func(*Stats, *engine.Core) {
		if count := len(rig.edge.requests); count > 8 {
			t.Errorf("%d requests in flight, want at most 8", count)
		}
	})
}

// Complete responses that wait in the kernel's send buffers, for clients that do not read them,
// are counted and bounded. Above sockets-mb the clients with the most unread bytes for the longest
// time are closed, but not one that reads a little. Below it they are closed after write-idle.
func TestUnreadResponses(t *testing.T) {
	oldKB := testClasses[1].KB
	testClasses[1].KB = 300
	defer func() { testClasses[1].KB = oldKB }()
	for _, test := range []struct{ limits, name string }{
		{"(write-idle 60000) (socket-kb 2048)", "sockets-mb"},
		{"(write-idle 1500) (socket-kb 2048)", "write-idle"},
	} {
		rig := newRig(t, 1, test.limits)
		ask := func(i int) net.Conn {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 4, byte(1+i))}}
			conn, err := dialer.Dial("tcp4", rig.edge.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			conn.(*net.TCPConn).SetReadBuffer(4096)
			fmt.Fprintf(conn, "GET /v/1/big%d/0 HTTP/1.1\r\nHost: h\r\n\r\n", i%5)
			return conn
		}
		steady := make(chan error, 1)
		go func() { // reads 20 KB/s
			conn, buf := ask(0), make([]byte, 2<<10)
			for range 30 {
				conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				if _, err := io.ReadFull(conn, buf); err != nil {
					steady <- err
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			steady <- nil
		}()
		for i := range 40 {
			ask(1 + i)
		}
		maxHeld := int64(0)
		rig.waitFor(test.name+": unread responses in the kernel", func(*Stats, *engine.Core) bool {
			maxHeld = max(maxHeld, rig.edge.guard.unread.Held)
			return maxHeld > 4<<20
		})
		if test.name == "sockets-mb" { // set late, since sockets get smaller buffers under a low limit
			rig.edge.Query(func(*Stats, *engine.Core) { rig.edge.guard.unread.Total = 4 << 20 })
		}
		rig.waitFor(test.name+": clients that do not read to be closed", func(*Stats, *engine.Core) bool {
			return rig.edge.guard.unread.Held < 4<<20 && rig.edge.guard.counts[limits.SlowReader] > 10
		})
		if _, failed := rig.getSmallObjects(50); failed > 0 {
			t.Errorf("%s: %d requests of other clients failed, want 0", test.name, failed)
		}
		if err := <-steady; err != nil {
			t.Errorf("%s: client that reads 20 KB/s: %v", test.name, err)
		}
	}
}

// A client that is closed because it does not read gets a reset, so that the kernel does not keep
// its unread bytes until TCP gives up.
func TestSlowReaderIsReset(t *testing.T) {
	oldKB := testClasses[1].KB
	testClasses[1].KB = 3000
	defer func() { testClasses[1].KB = oldKB }()
	rig := newRig(t, 1, shortGrace+"(socket-kb 64)")
	conn := rig.dial()
	conn.(*net.TCPConn).SetReadBuffer(4096)
	fmt.Fprintf(conn, "GET /v/1/big/0 HTTP/1.1\r\nHost: h\r\n\r\n")
	rig.waitFor("the slow reader to be closed", func(*Stats, *engine.Core) bool { return rig.edge.guard.counts[limits.SlowReader] == 1 })
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, conn); !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("connection ended with %v, want a reset", err)
	}
}

// failingDescriptors makes two of three calls that open a descriptor fail.
type failingDescriptors struct {
	eventloop.KernelCalls
	errno            unix.Errno
	accepts, sockets int
}

func (s *failingDescriptors) Accept(listener int) (int, error) {
	if s.accepts++; s.accepts%3 != 0 {
		return -1, s.errno
	}
	return s.KernelCalls.Accept(listener)
}

func (s *failingDescriptors) Socket(family int) (int, error) {
	if s.sockets++; s.sockets%3 != 0 {
		return -1, s.errno
	}
	return s.KernelCalls.Socket(family)
}

// System calls that fail for want of descriptors or memory are repeated. No connection is lost, and
// no failure is attributed to a member.
func TestLocalShortage(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			rig := newRig(t, 2, "")
			failing := &failingDescriptors{errno: errno}
			rig.edge.Query(func(*Stats, *engine.Core) { rig.edge.loop.Intercept(failing) })
			var wg sync.WaitGroup
			for i := range 20 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if got := rig.exchange(fmt.Sprintf("GET /s/1/%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", i)); !strings.HasPrefix(got, "HTTP/1.1 200") {
						t.Errorf("response %.200q, want status 200", got)
					}
				}()
			}
			wg.Wait()
			rig.edge.Query(func(s *Stats, _ *engine.Core) {
				if s.AcceptPauses == 0 || s.ConnectWaits == 0 || s.AcceptPauses > 100 {
					t.Errorf("%d accept pauses and %d connect waits after %d and %d calls, want 1 to 100 pauses and at least 1 wait", s.AcceptPauses, s.ConnectWaits, failing.accepts, failing.sockets)
				}
			})
			rig.logMu.Lock()
			if strings.Contains(rig.log.String(), "connect-failed") {
				t.Errorf("a local shortage was reported as a failed connect: %s", rig.log)
			}
			rig.logMu.Unlock()
		})
	}
}

// A process with 256 descriptors serves three times as many clients as these suffice for. It does
// not attribute the shortage to a member, and its loop does not spin.
func TestFewFilesProcess(t *testing.T) {
	if address := os.Getenv("SPOOL_TEST_FEW_FILES"); address != "" {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 256, Max: 256}); err != nil {
			t.Fatal(err)
		}
		var settings config.Settings
		if err := config.Read("test.edn", fmt.Sprintf(routerSettings, address, "(connections-per-address 5000)"), &settings); err != nil {
			t.Fatal(err)
		}
		edge, err := New(&settings, newAccessLog(os.Stderr, 1000, "info"))
		if err != nil {
			t.Fatal(err)
		}
		go func() { io.Copy(io.Discard, os.Stdin); edge.Stop() }()
		fmt.Println("at " + edge.Addr())
		if err := edge.Run(); err != nil {
			t.Fatal(err)
		}
		return
	}
	rig := newRig(t, 2, "")
	cmd := exec.Command(os.Args[0], "-test.run", "^TestFewFilesProcess$")
	cmd.Env = append(os.Environ(), "SPOOL_TEST_FEW_FILES="+rig.listService.Addr())
	var log bytes.Buffer
	cmd.Stderr = &log
	stdin, _ := cmd.StdinPipe()
	stdout, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	address := ""
	if _, err := fmt.Fscanf(stdout, "at %s\n", &address); err != nil {
		t.Fatal(err, log.String())
	}
	used := func() float64 { // CPU time of the process, in seconds
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		return (user + system) / 100
	}
	for _, cache := range rig.caches { // so that the attempts overlap
		cache.Fault(testserver.Fault{Kind: testserver.Hang, For: 700})
	}
	var wg sync.WaitGroup
	var served, rejected, failed atomic.Int64
	var conns []net.Conn
	for range 200 {
		if conn, err := net.Dial("tcp4", address); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(300 * time.Millisecond) // until they count as idle
	for i := range 400 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			res, err := client.Get("http://" + address + fmt.Sprintf("/s/1/%d", i%50))
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			switch {
			case err == nil && res.StatusCode == 200:
				served.Add(1)
			case err == nil && res.StatusCode == 503:
				rejected.Add(1)
			default:
				failed.Add(1)
			}
		}()
	}
	wg.Wait()
	before := used()
	time.Sleep(time.Second)
	spent := used() - before
	for _, conn := range conns {
		conn.Close()
	}
	stdin.Close()
	if err := cmd.Wait(); err != nil {
		t.Error(err, log.String())
	}
	t.Logf("%d served, %d rejected, %d failed; %.2f s of CPU time in an idle second", served.Load(), rejected.Load(), failed.Load(), spent)
	// A client that is rejected before its request was read may see a reset instead of the response.
	if served.Load() < 50 || failed.Load() > 100 || spent > 0.5 || strings.Contains(log.String(), "connect-failed") {
		t.Errorf("%d served (want at least 50), %d rejected, %d failed (want at most 100); %.2f s of CPU time in an idle second (want at most 0.5); log (want no connect-failed):\n%.3000s", served.Load(), rejected.Load(), failed.Load(), spent, log.String())
	}
}

// While rejections take too much of the router's time, reading from rejected clients is paused.
// Their later requests are answered once reading resumes.
func TestPausedReading(t *testing.T) {
	rig := newRig(t, 1, "(held 1)")
	rig.caches["b0"].Fault(testserver.Fault{Kind: testserver.Hang, For: 600})
	admitted := rig.dial() // its request uses up the limit of 1
	fmt.Fprintf(admitted, "GET /s/1/in HTTP/1.1\r\nHost: h\r\n\r\n")
	rig.waitFor("the admitted request", func(*Stats, *engine.Core) bool { return len(rig.edge.requests) == 1 })
	rig.edge.Query(func(*Stats, *engine.Core) {
		rig.edge.guard.admission.Adopt(limits.AdmissionSettings{Target: 20, Interval: 100, MinInFlight: 1, MaxInFlight: 1})
		rig.edge.settings.Limits.MaxRequests = 100 // so that the adaptive limit rejects
		for interval := range 4 {                  // as if rejections had taken all of the time: the pause becomes 80 ms
			rig.edge.guard.readPause.AddCost(1e6)
			rig.edge.guard.readPause.Tick(rig.edge.loop.Now() + 1e5*float64(interval+1))
		}
	})
	var conns []net.Conn
	for range 20 {
		conn := rig.dial()
		defer conn.Close()
		fmt.Fprintf(conn, "GET /s/1/out HTTP/1.1\r\nHost: h\r\n\r\n")
		conns = append(conns, conn)
	}
	response := func(conn net.Conn) string {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err.Error()
		}
		io.Copy(io.Discard, res.Body)
		return fmt.Sprint(res.StatusCode, " ", res.Header.Get("Cache-Status"))
	}
	for _, conn := range conns {
		if got := response(conn); !strings.Contains(got, "503") || !strings.Contains(got, "overload") {
			t.Fatalf("response %q, want 503 with detail overload", got)
		}
	}
	paused := 0
	rig.edge.Query(func(*Stats, *engine.Core) { paused = len(rig.edge.guard.pausedClients) })
	if paused != 20 {
		t.Errorf("reading is paused for %d of 20 clients, want all", paused)
	}
	if got := response(admitted); !strings.HasPrefix(got, "200") {
		t.Errorf("response to the admitted request %q, want status 200", got)
	}
	for _, conn := range conns { // one after another, because of the limit
		fmt.Fprintf(conn, "GET /s/1/again HTTP/1.1\r\nHost: h\r\n\r\n")
		if got := response(conn); !strings.HasPrefix(got, "200") {
			t.Fatalf("response %q, want status 200", got)
		}
	}
}

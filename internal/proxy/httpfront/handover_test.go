package httpfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/decisionlog/replay"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/hotrestart"
	"indigospool/internal/testbed/trafficlog"
)

// restartRig is a testRig whose routers take over from one another.
type restartRig struct {
	*testRig
	handoverPath string
	journalDir   string
	settings     *config.Settings
	current      *Edge      // the router that serves
	ended        chan error // receives the result of each Run
	running      int        // routers whose Run has not returned
}

// newRestartRig starts a rig, and the first of its routers.
func newRestartRig(t *testing.T, cacheCount int, limits string) *restartRig {
	dir := t.TempDir()
	rig := &restartRig{testRig: newRig(t, cacheCount, limits), handoverPath: filepath.Join(dir, "handover"), journalDir: filepath.Join(dir, "journal")}
	rig.testRig.stop() // the restartRig runs its own routers
	rig.settings = &config.Settings{}
	text := strings.Replace(fmt.Sprintf(routerSettings, rig.listService.Addr(), limits), "(zone z) (listen", fmt.Sprintf("(zone z) (handover %q) (journal %q) (listen", rig.handoverPath, rig.journalDir), 1)
	if err := config.Read("restart.edn", text, rig.settings); err != nil {
		t.Fatal(err)
	}
	rig.ended = make(chan error, 100)
	rig.startNext()
	t.Cleanup(func() {
		rig.current.Stop()
		for rig.running > 0 && rig.waitEnded() {
		}
	})
	return rig
}

// startNext starts a router, which takes over from the current one.
func (r *restartRig) startNext() *Edge {
	r.t.Helper()
	edge, err := TakeOver(r.settings, newAccessLog(lockedWriter{&r.logMu, r.log}, 10000, "info"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.running++
	go func() { r.ended <- edge.Run() }()
	if err := edge.Ready(); err != nil {
		r.t.Fatal(err)
	}
	r.current, r.testRig.edge = edge, edge
	return edge
}

// waitEnded waits for the end of one router. It reports false after 8 s.
func (r *restartRig) waitEnded() bool {
	select {
	case err := <-r.ended:
		r.running--
		if err != nil {
			r.t.Error(err)
		}
		return true
	case <-time.After(8 * time.Second):
		return false
	}
}

// sendRequests sends requests for a number of users until stop is set, on persistent and on new
// connections. wait returns how many were sent, how many did not get a complete 200 response, and
// the first failure.
func (r *restartRig) sendRequests(users int, stop *atomic.Bool) (wait func() (sent, failed int64, first string)) {
	var wg sync.WaitGroup
	var sent, failed atomic.Int64
	var first atomic.Value
	address := r.current.Addr()
	for user := range users {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: user%4 == 0}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for i := 0; !stop.Load(); i++ {
				sent.Add(1)
				failure := ""
				method, path := "GET", fmt.Sprintf("/s/%d/u%d", user, i%40)
				if i%10 == 3 {
					method, path = "POST", fmt.Sprintf("/o/%d-%d", user, i)
				}
				req, _ := http.NewRequest(method, "http://"+address+path, nil)
				req.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", user, i))
				req.GetBody = nil
				res, err := client.Do(req)
				if err != nil {
					failure = err.Error()
				} else {
					_, readErr := io.Copy(io.Discard, res.Body)
					res.Body.Close()
					if readErr != nil || res.StatusCode != 200 {
						failure = fmt.Sprint(method, " ", path, ": ", res.Status, " ", readErr)
					}
				}
				if failure != "" {
					failed.Add(1)
					first.CompareAndSwap(nil, failure)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return func() (int64, int64, string) {
		wg.Wait()
		s, _ := first.Load().(string)
		return sent.Load(), failed.Load(), s
	}
}

// Ten restarts one after the other, under load and with a purge during each. No connection is
// refused, no request is lost, rejected or run twice, and persistent connections continue at the
// successor.
func TestTenRestarts(t *testing.T) {
	rig := newRestartRig(t, 3, "")
	var stop atomic.Bool
	wait := rig.sendRequests(16, &stop)
	handedOver := uint64(0)
	for i := range 10 {
		time.Sleep(60 * time.Millisecond)
		old := rig.current
		purged := make(chan bool, 1)
		go func() { // during the restart
			path := fmt.Sprintf("/s/1/u%d", i)
			made := rig.origin.Purge(path, 0, 0)
			rig.listService.Purge(path, 0, made)
			for _, b := range rig.caches {
				b.Purge(path, 0, made)
			}
			purged <- true
		}()
		rig.startNext()
		if !rig.waitEnded() {
			t.Fatal("the predecessor has not ended in time")
		}
		handedOver += old.stats.HandedOut // no data race, since its loop has ended
		<-purged
	}
	stop.Store(true)
	sent, failed, first := wait()
	if failed > 0 || sent < 500 {
		t.Errorf("%d of %d requests failed; the first: %s", failed, sent, first)
	}
	if handedOver < 20 {
		t.Errorf("%d connections were handed over, want at least 20", handedOver)
	}
	ran := map[string]int{}
	for _, record := range rig.records.Records() {
		if record.Event == trafficlog.WriteExecuted {
			if ran[record.Key]++; ran[record.Key] > 1 {
				t.Errorf("write %s was executed %d times, want 1", record.Key, ran[record.Key])
			}
		}
	}
	rig.current.Stop()
	rig.waitEnded()
	reader, err := journal.OpenReader(rig.journalDir)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	report, err := replay.Run(reader, nil)
	if err != nil || !report.OK() || report.Runs != 11 || len(report.Gaps) > 0 {
		t.Errorf("replay of the journal of all routers: error %v, report %+v, first difference %+v; want 11 runs without gaps or differences", err, report, report.First)
	}
}

// Three restarts during a flood of clients that request large objects and do not read them. Each
// successor inherits the poor reputation of their addresses, and the requests of other clients are
// served; none is rejected, lost or run twice.
func TestRestartsUnderFlood(t *testing.T) {
	oldKB := testClasses[1].KB
	testClasses[1].KB = 3000
	defer func() { testClasses[1].KB = oldKB }()
	rig := newRestartRig(t, 2, "(client-grace 60000) (write-idle 60000) (poor-held 8) (drain 1500)")
	address := rig.current.Addr()
	var stop atomic.Bool
	var flood sync.WaitGroup
	defer flood.Wait()
	defer stop.Store(true)
	for i := range 120 {
		flood.Add(1)
		go func() {
			defer flood.Done()
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, byte(1+i%12))}, Timeout: time.Second}
			for !stop.Load() {
				conn, err := dialer.Dial("tcp4", address)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				conn.(*net.TCPConn).SetReadBuffer(4096)
				fmt.Fprintf(conn, "GET /v/1/big%d/0 HTTP/1.1\r\nHost: h\r\n\r\n", i%5)
				for range 30 { // reads only the first bytes, to notice a rejection or the end
					time.Sleep(100 * time.Millisecond)
					conn.SetReadDeadline(time.Now().Add(time.Millisecond))
					one := make([]byte, 12)
					if _, err := conn.Read(one); string(one) == "HTTP/1.1 503" || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || stop.Load() {
						break
					}
				}
				conn.Close()
			}
		}()
	}
	poor := func() (known int) {
		rig.current.Query(func(*Stats, *engine.Core) {
			for i := range 12 {
				if rig.current.guard.reputation.Poor(fmt.Sprintf("127.0.3.%d", 1+i), rig.current.loop.Now()) {
					known++
				}
			}
		})
		return known
	}
	for range 500 {
		if poor() == 12 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	wait := rig.sendRequests(8, &stop)
	for range 3 {
		time.Sleep(200 * time.Millisecond)
		rig.startNext()
		if known := poor(); known < 10 {
			t.Errorf("the successor knows %d of 12 addresses of poor reputation, want at least 10", known)
		}
		if !rig.waitEnded() {
			t.Fatal("the predecessor has not ended in time")
		}
	}
	stop.Store(true)
	sent, failed, first := wait()
	if failed > 0 || sent < 200 {
		t.Errorf("%d of %d requests failed; the first: %s", failed, sent, first)
	}
	ran := map[string]int{}
	for _, record := range rig.records.Records() {
		if record.Event == trafficlog.WriteExecuted {
			if ran[record.Key]++; ran[record.Key] > 1 {
				t.Errorf("write %s was executed %d times, want 1", record.Key, ran[record.Key])
			}
		}
	}
}

// A router hands over while its own predecessor still drains. It runs until that one has ended, so
// that a connection of the first router continues at the third, and a purge at the third reaches
// the first.
func TestOverlappingRestarts(t *testing.T) {
	rig := newRestartRig(t, 2, "")
	first := rig.current
	conn, err := net.Dial("tcp4", first.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprint(conn, "POST /o/held HTTP/1.1\r\nHost: h\r\nIdempotency-Key: held\r\nContent-Length: 4\r\n\r\nab") // incomplete, so that the first router keeps draining
	clients := func() (n int) {
		first.Query(func(*Stats, *engine.Core) { n = len(first.clients) })
		return n
	}
	for range 200 {
		if clients() == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	rig.startNext()
	third := rig.startNext()
	time.Sleep(150 * time.Millisecond) // the second router has no connections, and would end without the first
	purges := func() (n uint64) {
		first.Query(func(s *Stats, _ *engine.Core) { n = s.Purges })
		return n
	}
	before := purges()
	third.receivePurge([]byte(`{"object":"/s/1/x"}`))
	for range 200 {
		if purges() > before {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if purges() == before {
		t.Error("a purge at the third router did not reach the first, which still drains")
	}
	reader := bufio.NewReader(conn)
	for i, ask := range []string{"cd", "GET /s/1/a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /s/1/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"} {
		fmt.Fprint(conn, ask)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d of the connection: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != 200 {
			t.Fatal(i, res.Status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for range 2 {
		if !rig.waitEnded() {
			t.Fatal("a predecessor has not ended in time")
		}
	}
}

// After a successor has failed before it served, the predecessor serves on, and the next successor
// takes over.
func TestSuccessorFails(t *testing.T) {
	rig := newRestartRig(t, 2, "(successor 400)")
	for _, how := range []string{"aborts", "hangs"} {
		inherited, err := hotrestart.TakeOver(rig.handoverPath)
		if err != nil || inherited.Listener == 0 || len(inherited.LearnedState) == 0 {
			t.Fatal(how, err)
		}
		if how == "aborts" {
			inherited.Abort()
		}
		for i := range 5 {
			if res, _, err := rig.get(fmt.Sprintf("/s/1/%s%d", how, i)); err != nil || res.StatusCode != 200 {
				t.Fatal(how, res, err)
			}
		}
		time.Sleep(600 * time.Millisecond)
		inherited.Abort()
		leaving := true
		rig.current.Query(func(*Stats, *engine.Core) { leaving = rig.current.handingOver || rig.current.draining })
		if leaving {
			t.Errorf("successor %s: the predecessor is still handing over", how)
		}
	}
	old := rig.current
	if rig.startNext(); !rig.waitEnded() {
		t.Fatal("the predecessor has not ended in time")
	}
	if old.Addr() != rig.current.Addr() {
		t.Errorf("the listen address %s has changed to %s, want the same", old.Addr(), rig.current.Addr())
	}
	if res, _, err := rig.get("/s/1/after"); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
}

// If the learned state of the predecessor is corrupt, the router starts without it, but on the
// inherited socket.
func TestCorruptLearnedState(t *testing.T) {
	rig := newRestartRig(t, 1, "")
	rig.current.Stop()
	rig.waitEnded()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	served := make(chan *hotrestart.Sender, 1)
	server, err := hotrestart.Listen(hotrestart.Options{Path: rig.handoverPath, ReadyTimeout: 5 * time.Second,
		Prepare: func() (*hotrestart.Handover, error) {
			return &hotrestart.Handover{Listener: int(file.Fd()), LearnedState: []byte("SPOOLM\x01\x00nonsense")}, nil
		},
		OnServing: func(s *hotrestart.Sender) { served <- s },
		OnFailure: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	rig.startNext()
	sender := <-served
	file.Close()
	if rig.current.Addr() != listener.Addr().String() {
		t.Errorf("the router listens at %s, want the inherited address %s", rig.current.Addr(), listener.Addr())
	}
	for i := range 5 {
		if res, _, err := rig.get(fmt.Sprintf("/s/1/%d", i)); err != nil || res.StatusCode != 200 {
			t.Fatal(res, err)
		}
	}
	// A connection and a purge that the predecessor passes on.
	conn, err := net.Dial("tcp4", rig.current.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if !sender.SendNote(&engine.Purge{Object: "/s/1/0"}) || !sender.SendConn(pair[0]) {
		t.Error("the sender did not accept the purge or the connection")
	}
	unix.Write(pair[1], []byte("GET /s/1/0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	answer, _ := io.ReadAll(os.NewFile(uintptr(pair[1]), "pair"))
	if !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("response on a passed connection %.60q, want status 200", answer)
	}
	sender.Close()
	rig.logMu.Lock()
	defer rig.logMu.Unlock()
	if !strings.Contains(rig.log.String(), "cannot decode the predecessor's learned state; starting without it") {
		t.Error("no warning that the learned state cannot be decoded")
	}
}

// Without a predecessor, or with the socket of one that was killed, there is nothing to take over.
func TestNoPredecessor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	if _, err := hotrestart.TakeOver(path); !errors.Is(err, hotrestart.ErrNoPredecessor) {
		t.Error(err)
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false)
	listener.Close()
	if _, err := hotrestart.TakeOver(path); !errors.Is(err, hotrestart.ErrNoPredecessor) {
		t.Error(err)
	}
	server, err := hotrestart.Listen(hotrestart.Options{Path: path, ReadyTimeout: time.Second, Prepare: func() (*hotrestart.Handover, error) { return nil, errors.New("not now") }})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if _, err := hotrestart.TakeOver(path); err == nil || !strings.Contains(err.Error(), "not now") {
		t.Error(err)
	}
}

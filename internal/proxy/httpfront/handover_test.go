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

// relay is routers of a rig that take over from one another.
type relay struct {
	*testRig
	path    string
	dir     string
	s       *config.Settings
	current *Edge
	ended   chan error
	up      int // that run
}

func newRelay(t *testing.T, boxes int, limits string) *relay {
	dir := t.TempDir()
	r := &relay{testRig: newRig(t, boxes, limits), path: filepath.Join(dir, "handover"), dir: filepath.Join(dir, "journal")}
	r.testRig.stop() // the relay has its own routers
	r.s = &config.Settings{}
	text := strings.Replace(fmt.Sprintf(testRouter, r.list.Addr(), limits), "(zone z) (listen", fmt.Sprintf("(zone z) (handover %q) (journal %q) (listen", r.path, r.dir), 1)
	if err := config.Read("relay.edn", text, r.s); err != nil {
		t.Fatal(err)
	}
	r.ended = make(chan error, 100)
	r.next()
	t.Cleanup(func() {
		r.current.Stop()
		for r.up > 0 && r.wait() {
		}
	})
	return r
}

// next starts a router, which takes over from the one there is.
func (r *relay) next() *Edge {
	r.t.Helper()
	edge, err := TakeOver(r.s, newAccessLog(lockedWriter{&r.logMu, r.log}, 10000, "info"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.up++
	go func() { r.ended <- edge.Run() }()
	if err := edge.Ready(); err != nil {
		r.t.Fatal(err)
	}
	r.current, r.testRig.e = edge, edge
	return edge
}

func (r *relay) wait() bool {
	select {
	case err := <-r.ended:
		r.up--
		if err != nil {
			r.t.Error(err)
		}
		return true
	case <-time.After(8 * time.Second):
		return false
	}
}

// users asks along, on connections that are kept and on new ones, and counts what is
// not a whole good answer.
func (r *relay) users(n int, stop *atomic.Bool) (wait func() (asked, bad int64, first string)) {
	var wg sync.WaitGroup
	var asked, bad atomic.Int64
	var first atomic.Value
	address := r.current.Addr()
	for u := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: u%4 == 0}, Timeout: 5 * time.Second}
			defer c.CloseIdleConnections()
			for i := 0; !stop.Load(); i++ {
				asked.Add(1)
				what := ""
				method, path := "GET", fmt.Sprintf("/s/%d/u%d", u, i%40)
				if i%10 == 3 {
					method, path = "POST", fmt.Sprintf("/o/%d-%d", u, i)
				}
				req, _ := http.NewRequest(method, "http://"+address+path, nil)
				req.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", u, i))
				req.GetBody = nil
				res, err := c.Do(req)
				if err != nil {
					what = err.Error()
				} else {
					_, rerr := io.Copy(io.Discard, res.Body)
					res.Body.Close()
					if rerr != nil || res.StatusCode != 200 {
						what = fmt.Sprint(method, " ", path, ": ", res.Status, " ", rerr)
					}
				}
				if what != "" {
					bad.Add(1)
					first.CompareAndSwap(nil, what)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return func() (int64, int64, string) {
		wg.Wait()
		s, _ := first.Load().(string)
		return asked.Load(), bad.Load(), s
	}
}

// Ten routers one after the other, under load, with a purge in the middle of each
// change: no connection is refused, no request lost, refused or run twice, and kept
// connections go on at the successor.
func TestTenRestarts(t *testing.T) {
	r := newRelay(t, 3, "")
	var stop atomic.Bool
	wait := r.users(16, &stop)
	handed := uint64(0)
	for i := range 10 {
		time.Sleep(60 * time.Millisecond)
		old := r.current
		purged := make(chan bool, 1)
		go func() { // while it changes
			path := fmt.Sprintf("/s/1/u%d", i)
			made := r.origin.Purge(path, 0, 0)
			r.list.Purge(path, 0, made)
			for _, b := range r.boxes {
				b.Purge(path, 0, made)
			}
			purged <- true
		}()
		r.next()
		if !r.wait() {
			t.Fatal("the predecessor does not end")
		}
		handed += old.stats.HandedOut // it has ended: nobody writes them
		<-purged
	}
	stop.Store(true)
	asked, bad, first := wait()
	if bad > 0 || asked < 500 {
		t.Errorf("%d of %d went wrong; the first: %s", bad, asked, first)
	}
	if handed < 20 {
		t.Errorf("%d connections were passed on", handed)
	}
	ran := map[string]int{}
	for _, x := range r.tap.Records() {
		if x.Ev == trafficlog.Ran {
			if ran[x.Key]++; ran[x.Key] > 1 {
				t.Errorf("%s ran %d times", x.Key, ran[x.Key])
			}
		}
	}
	r.current.Stop()
	r.wait()
	j, err := journal.OpenReader(r.dir)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	rep, err := replay.Run(j, nil)
	if err != nil || !rep.OK() || rep.Lives != 11 || len(rep.Gaps) > 0 {
		t.Errorf("the journal over all of them: %v %+v %+v", err, rep, rep.First)
	}
}

// Three restarts in the middle of a flood of those who ask for footage and take nothing:
// who is known to be of them is known to each successor, and the others' requests are
// served, none refused, lost or run twice.
func TestRestartsInFlood(t *testing.T) {
	had := testClasses[1].KB
	testClasses[1].KB = 3000
	defer func() { testClasses[1].KB = had }()
	r := newRelay(t, 2, "(client-grace 60000) (write-idle 60000) (poor-held 8) (drain 1500)")
	address := r.current.Addr()
	var stop atomic.Bool
	var flood sync.WaitGroup
	defer flood.Wait()
	defer stop.Store(true)
	for i := range 120 {
		flood.Add(1)
		go func() {
			defer flood.Done()
			from := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, byte(1+i%12))}, Timeout: time.Second}
			for !stop.Load() {
				c, err := from.Dial("tcp4", address)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				c.(*net.TCPConn).SetReadBuffer(4096)
				fmt.Fprintf(c, "GET /v/1/big%d/0 HTTP/1.1\r\nHost: h\r\n\r\n", i%5)
				for range 30 { // an answer is not taken; a refusal, or the end, is seen
					time.Sleep(100 * time.Millisecond)
					c.SetReadDeadline(time.Now().Add(time.Millisecond))
					one := make([]byte, 12)
					if _, err := c.Read(one); string(one) == "HTTP/1.1 503" || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || stop.Load() {
						break
					}
				}
				c.Close()
			}
		}()
	}
	poor := func() (n int) {
		r.current.Query(func(*Stats, *engine.Core) {
			for i := range 12 {
				if r.current.guard.reputation.Poor(fmt.Sprintf("127.0.3.%d", 1+i), r.current.loop.Now()) {
					n++
				}
			}
		})
		return n
	}
	for range 500 {
		if poor() == 12 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	wait := r.users(8, &stop)
	for range 3 {
		time.Sleep(200 * time.Millisecond)
		r.next()
		if n := poor(); n < 10 {
			t.Errorf("of 12 poor addresses the successor knows %d", n)
		}
		if !r.wait() {
			t.Fatal("the predecessor does not end")
		}
	}
	stop.Store(true)
	asked, bad, first := wait()
	if bad > 0 || asked < 200 {
		t.Errorf("%d of %d went wrong; the first: %s", bad, asked, first)
	}
	ran := map[string]int{}
	for _, x := range r.tap.Records() {
		if x.Ev == trafficlog.Ran {
			if ran[x.Key]++; ran[x.Key] > 1 {
				t.Errorf("%s ran %d times", x.Key, ran[x.Key])
			}
		}
	}
}

// A router that is taken over from while its own predecessor still drains stays until
// that one has ended: a connection passed on through both goes on at the last of them,
// and a purge that came to the last is known to the first.
func TestOverlappingRestarts(t *testing.T) {
	r := newRelay(t, 2, "")
	first := r.current
	c, err := net.Dial("tcp4", first.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprint(c, "POST /o/held HTTP/1.1\r\nHost: h\r\nIdempotency-Key: held\r\nContent-Length: 4\r\n\r\nab") // it holds the first one up
	held := func() (n int) {
		first.Query(func(*Stats, *engine.Core) { n = len(first.clients) })
		return n
	}
	for range 200 {
		if held() == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.next()
	third := r.next()
	time.Sleep(150 * time.Millisecond) // the second has nothing of its own to stay for
	purges := func() (n uint64) {
		first.Query(func(s *Stats, _ *engine.Core) { n = s.Purges })
		return n
	}
	had := purges()
	third.receivePurge([]byte(`{"object":"/s/1/x"}`))
	for range 200 {
		if purges() > had {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if purges() == had {
		t.Error("a purge at the third is not known to the first, which still drains")
	}
	br := bufio.NewReader(c)
	for i, ask := range []string{"cd", "GET /s/1/a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /s/1/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"} {
		fmt.Fprint(c, ask)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d of the connection: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != 200 {
			t.Fatal(i, res.Status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for range 2 {
		if !r.wait() {
			t.Fatal("a predecessor does not end")
		}
	}
}

// A successor that goes before it serves changes nothing, and the next one takes over.
func TestSuccessorFails(t *testing.T) {
	r := newRelay(t, 2, "(successor 400)")
	for _, how := range []string{"goes", "hangs"} {
		in, err := hotrestart.TakeOver(r.path)
		if err != nil || in.Listener == 0 || len(in.LearnedState) == 0 {
			t.Fatal(how, err)
		}
		if how == "goes" {
			in.Abort()
		}
		for i := range 5 {
			if res, _, err := r.get(fmt.Sprintf("/s/1/%s%d", how, i)); err != nil || res.StatusCode != 200 {
				t.Fatal(how, res, err)
			}
		}
		time.Sleep(600 * time.Millisecond)
		in.Abort()
		left := true
		r.current.Query(func(*Stats, *engine.Core) { left = r.current.handingOver || r.current.draining })
		if left {
			t.Errorf("%s: the predecessor still thinks that it leaves", how)
		}
	}
	old := r.current
	if r.next(); !r.wait() {
		t.Fatal("the predecessor does not end")
	}
	if old.Addr() != r.current.Addr() {
		t.Errorf("%s became %s", old.Addr(), r.current.Addr())
	}
	if res, _, err := r.get("/s/1/after"); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
}

// A memory that is damaged is not used, and the router starts as new, on the socket
// that it was given.
func TestDamagedMemory(t *testing.T) {
	r := newRelay(t, 1, "")
	r.current.Stop()
	r.wait()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	served := make(chan *hotrestart.Sender, 1)
	srv, err := hotrestart.Listen(hotrestart.Options{Path: r.path, ReadyTimeout: 5 * time.Second,
		Prepare: func() (*hotrestart.Handover, error) {
			return &hotrestart.Handover{Listener: int(f.Fd()), LearnedState: []byte("SPOOLM\x01\x00nonsense")}, nil
		},
		OnServing: func(s *hotrestart.Sender) { served <- s },
		OnFailure: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	r.next()
	to := <-served
	f.Close()
	if r.current.Addr() != ln.Addr().String() {
		t.Errorf("it listens at %s, given was %s", r.current.Addr(), ln.Addr())
	}
	for i := range 5 {
		if res, _, err := r.get(fmt.Sprintf("/s/1/%d", i)); err != nil || res.StatusCode != 200 {
			t.Fatal(res, err)
		}
	}
	// a connection and a purge that the predecessor passes on
	c, err := net.Dial("tcp4", r.current.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if !to.SendNote(&engine.Purge{Object: "/s/1/0"}) || !to.SendConn(pair[0]) {
		t.Error("nothing can be passed on")
	}
	unix.Write(pair[1], []byte("GET /s/1/0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	answer, _ := io.ReadAll(os.NewFile(uintptr(pair[1]), "pair"))
	if !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("a passed connection was answered %.60q", answer)
	}
	to.Close()
	r.logMu.Lock()
	defer r.logMu.Unlock()
	if !strings.Contains(r.log.String(), "this router starts as new") {
		t.Error("nothing is said of the memory")
	}
}

// Nobody there, or the socket of one that was killed: the router starts as new.
func TestNobodyToTakeOverFrom(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	if _, err := hotrestart.TakeOver(path); !errors.Is(err, hotrestart.ErrNoPredecessor) {
		t.Error(err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	if _, err := hotrestart.TakeOver(path); !errors.Is(err, hotrestart.ErrNoPredecessor) {
		t.Error(err)
	}
	srv, err := hotrestart.Listen(hotrestart.Options{Path: path, ReadyTimeout: time.Second, Prepare: func() (*hotrestart.Handover, error) { return nil, errors.New("not now") }})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	if _, err := hotrestart.TakeOver(path); err == nil || !strings.Contains(err.Error(), "not now") {
		t.Error(err)
	}
}

package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/faultinject"
)

// inFlight is the number of requests in flight while calls fail.
const inFlight = 100

// twoRequestsEach sends two requests on each of inFlight connections, and fails the test for each
// that gets no complete 200 response.
func (r *testRig) twoRequestsEach() {
	var wg sync.WaitGroup
	for i := range inFlight {
		wg.Go(func() {
			conn := r.dial()
			reader := bufio.NewReader(conn)
			for n := range 2 {
				fmt.Fprintf(conn, "GET /s/1/%d-%d HTTP/1.1\r\nHost: h\r\n\r\n", i, n)
				answer, err := http.ReadResponse(reader, nil)
				if err != nil {
					r.t.Errorf("request %d of connection %d was lost: %v", n, i, err)
					return
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 {
					r.t.Errorf("request %d of connection %d: status %d, error %v; want 200", n, i, answer.StatusCode, err)
				}
			}
		})
	}
	wg.Wait()
}

// injectFault makes the router's system calls of one kind fail. Times in how count from the first
// such call.
func (r *testRig) injectFault(call faultinject.Call, how string) (calls *faultinject.Syscalls) {
	faults, err := faultinject.Parse(fmt.Sprintf("%s:%s", call, how))
	if err != nil {
		r.t.Fatal(err)
	}
	var began time.Time
	calls = faultinject.New(faults, 1, func() time.Duration {
		if made, _ := calls.Counts(call); made == 0 {
			began = time.Now()
		}
		return time.Since(began)
	})
	r.edge.Query(func(*Stats, *engine.Core) { r.edge.loop.Intercept(calls) })
	return calls
}

// While a system call fails once or for some time, with any of its transient errors, no request is
// lost, no connection is closed, no failure is attributed to a member, and the loop does not spin.
func TestTransientCallFailures(t *testing.T) {
	const perSecond = 1500 // most turns of the loop, and most calls that open a connection
	errors := map[faultinject.Call]string{
		faultinject.Accept:  "ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EPERM ENETUNREACH EPROTO EINTR",
		faultinject.Socket:  "EMFILE ENFILE ENOBUFS ENOMEM EINTR",
		faultinject.Connect: "EADDRNOTAVAIL ENETUNREACH EPERM ENOBUFS EAGAIN EINTR",
		faultinject.Read:    "EINTR ENOBUFS ENOMEM short",
		faultinject.Write:   "EINTR ENOBUFS ENOMEM short",
		faultinject.Wait:    "EINTR",
	}
	for call, names := range errors {
		for _, name := range strings.Fields(names) {
			for _, span := range []string{"1x", "1:0s-50ms", "1:0s-2s"} {
				t.Run(fmt.Sprintf("%s/%s/%s", call, name, span), func(t *testing.T) {
					t.Parallel()
					rig := newRig(t, 2, "(connections-per-address 5000)")
					calls := rig.injectFault(call, name+":"+span)
					before := rig.loopTurns()
					began := time.Now()
					rig.twoRequestsEach()
					seconds := time.Since(began).Seconds()
					most := int(perSecond*seconds) + 40*inFlight
					made, failed := calls.Counts(call)
					moves := call == faultinject.Read || call == faultinject.Write // made for each connection and turn
					if turns := int(rig.loopTurns() - before); turns > most || made > most && !moves || failed == 0 {
						t.Errorf("%d turns in %.1f s, %d calls of which %d failed", turns, seconds, made, failed)
					}
					rig.logMu.Lock()
					defer rig.logMu.Unlock()
					if strings.Contains(rig.log.String(), "connect-failed") {
						t.Error("a local failure was reported as a failed connect")
					}
				})
			}
		}
	}
}

// While all kinds of system calls fail at random, every request is answered, writes included.
func TestRandomCallFailures(t *testing.T) {
	rig := newRig(t, 2, "(connections-per-address 5000)")
	rig.injectFault(faultinject.Accept, "ECONNABORTED:0.3; accept:ENFILE:0.2; socket:EMFILE:0.2; connect:EADDRNOTAVAIL:0.2;"+
		"connect:ENETUNREACH:0.2; connect:EINTR:0.3; read:EINTR:0.2; read:ENOBUFS:0.1; read:short:0.3;"+
		"write:EINTR:0.2; write:ENOMEM:0.1; write:short:0.5; wait:EINTR:0.5")
	var wg sync.WaitGroup
	wg.Go(rig.twoRequestsEach)
	for i := range inFlight {
		wg.Go(func() {
			got := rig.exchange(fmt.Sprintf("POST /o/%d HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k%d\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello", i, i))
			if !strings.HasPrefix(got, "HTTP/1.1 200") {
				t.Errorf("write %d: response %.200q, want status 200", i, got)
			}
		})
	}
	wg.Wait()
}

// loopTurns returns the number of turns of the router's loop.
func (r *testRig) loopTurns() (loopTurns uint64) {
	r.edge.Query(func(*Stats, *engine.Core) { loopTurns = r.edge.loop.Turns() })
	return loopTurns
}

// failingUpstreams makes every third read or write on connections to members fail with errno, ten
// at most.
type failingUpstreams struct {
	eventloop.KernelCalls
	errno       unix.Errno
	memberPorts map[int]bool
	calls       int
	failed      atomic.Int64
	failWrites  bool // if not set, reads fail
}

func (b *failingUpstreams) fails(fd int) bool {
	peer, err := unix.Getpeername(fd)
	if to, ok := peer.(*unix.SockaddrInet4); err != nil || !ok || !b.memberPorts[to.Port] {
		return false
	}
	if b.calls++; b.calls%3 != 0 || b.failed.Load() == 10 {
		return false
	}
	b.failed.Add(1)
	return true
}

func (b *failingUpstreams) Read(fd int, buf []byte) (int, error) {
	if !b.failWrites && b.fails(fd) {
		return 0, b.errno
	}
	return b.KernelCalls.Read(fd, buf)
}

func (b *failingUpstreams) Write(fd int, buf []byte) (int, error) {
	if b.failWrites && b.fails(fd) {
		return 0, b.errno
	}
	return b.KernelCalls.Write(fd, buf)
}

func (b *failingUpstreams) WriteTwo(fd int, first, second []byte) (int, error) {
	if b.failWrites && b.fails(fd) {
		return 0, b.errno
	}
	return b.KernelCalls.WriteTwo(fd, first, second)
}

// A connection to a member that fails ends its attempt, but no request is lost.
func TestFailingUpstreams(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE, unix.ENETUNREACH} {
		for _, write := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/write=%v", unix.ErrnoName(errno), write), func(t *testing.T) {
				t.Parallel()
				rig := newRig(t, 2, "(connections-per-address 5000)")
				calls := &failingUpstreams{errno: errno, memberPorts: map[int]bool{}, failWrites: write}
				for _, box := range rig.caches {
					port := 0
					fmt.Sscanf(box.Addr(), "127.0.0.1:%d", &port)
					calls.memberPorts[port] = true
				}
				rig.edge.Query(func(*Stats, *engine.Core) { rig.edge.loop.Intercept(calls) })
				rig.twoRequestsEach()
				if failed := calls.failed.Load(); failed < 5 {
					t.Errorf("%d calls failed, want at least 5", failed)
				}
			})
		}
	}
}

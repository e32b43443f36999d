package platform

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	spool "indigospool"
	"indigospool/internal/testbed/testserver"
)

// TestConnectionsClosedByIdleMember checks that, when members reset requests on connections that
// were idle for a while, a request reaches a new connection before its attempts are used up.
func TestConnectionsClosedByIdleMember(t *testing.T) {
	t.Parallel()
	const memberIdleTimeout = 200 * time.Millisecond
	var mu sync.Mutex
	lastRequest, delayed := map[*testserver.PlatformConn]time.Time{}, true
	handle := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		mu.Lock()
		defer mu.Unlock()
		before, known := lastRequest[conn]
		lastRequest[conn] = time.Now()
		switch {
		case request.Cancel:
		case known && time.Since(before) > memberIdleTimeout:
			conn.Reset()
		case delayed: // so that each request gets its own connection
			time.AfterFunc(150*time.Millisecond, func() { answerHit(conn, request) })
		default:
			answerHit(conn, request)
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": handle, "s-000000c2": handle, "s-000000a1": handle})
	requestAll := func(count int, what func(i int) map[string]string) {
		client := harness.dial()
		for i := range count {
			client.Ask(what(i), nil)
		}
		for range count {
			if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
				t.Errorf("answer %+v, error %v; want served", result, err)
			}
		}
	}
	mixed := func(i int) map[string]string {
		if i%2 == 0 {
			return writeFields("wait", "2500")
		}
		return readFields(fmt.Sprintf("%016x", i), "wait", "2500")
	}
	requestAll(32, mixed)
	mu.Lock()
	delayed = false
	mu.Unlock()
	conns := 0
	harness.server.loop.Call(waitTimeout, func() { conns = harness.server.memberConnections })
	time.Sleep(memberIdleTimeout + 100*time.Millisecond)
	before := harness.requestsSent()
	requestAll(1, func(int) map[string]string { return writeFields("wait", "2500") })
	requestAll(1, func(int) map[string]string { return readFields(key, "wait", "2500") })
	if n := harness.requestsSent() - before; n > 4 {
		t.Errorf("%d attempts for two requests, want at most 4, with %d stale connections", n, conns)
	}
	requestAll(16, mixed)
}

// TestMalformedAnswers checks that a malformed answer is not passed on, that its connection is
// closed, and that another member serves the request.
func TestMalformedAnswers(t *testing.T) {
	now := fmt.Sprint(time.Now().UnixMilli())
	for _, test := range []struct{ name, bytes string }{
		{"random bytes", "\x00\x17noise\r\n"},
		{"an endless line", "*" + strings.Repeat("1", 4096)},
		{"3 GB", "*4\r\n$16\r\nID\r\n$3\r\nHIT\r\n$1\r\n-\r\n$3000000000\r\nxxxxxxxx"},
		{"a length that does not fit", "*4\r\n$16\r\nID\r\n$3\r\nHIT\r\n$1\r\n-\r\n$4\r\nlonger than that\r\n"},
		{"a negative length", "*4\r\n$-1\r\n"},
		{"too many strings", "*5\r\n$16\r\nID\r\n"},
		{"an unknown word", "*4\r\n$16\r\nID\r\n$3\r\nHOT\r\n$1\r\n-\r\n$1\r\nx\r\n"},
		{"no tag", "*4\r\n$16\r\nID\r\n$3\r\nHIT\r\n$20\r\nissued=" + now + "\r\n$1\r\nx\r\n"},
		{"fields without names", "*4\r\n$16\r\nID\r\n$3\r\nHIT\r\n$3\r\n,,=\r\n$1\r\nx\r\n"},
		{"cut short", "*4\r\n$16\r\nID\r\n$3\r\nHIT\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			bad := func(pc *testserver.PlatformConn, request testserver.PlatformRequest) {
				if request.Cancel {
					return
				}
				if requests.Add(1) > 1 { // only the first answer is malformed
					answerHit(pc, request)
					return
				}
				pc.Write([]byte(strings.Replace(test.bytes, "ID", request.ID, 1)))
				if test.name == "cut short" {
					pc.Reset()
				}
			}
			harness := newHarness(t, map[string]handler{"s-000000c1": bad, "s-000000c2": bad})
			if result := harness.roundTrip(readFields(key), nil); result.Word != "served" || string(result.Body) != "bytes of "+key {
				t.Errorf("answer %+v, want served with the object", result)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}

// TestUnmatchedAnswersAreDropped checks that duplicate answers and answers with unknown ids are
// dropped, and that the connection is kept.
func TestUnmatchedAnswersAreDropped(t *testing.T) {
	answerTwice := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Cancel {
			conn.Hit("ffffffffffffffff", []byte("nobody's"))
			conn.Hit(request.ID, []byte("good"))
			conn.Hit(request.ID, []byte("once more"))
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": answerTwice, "s-000000c2": answerTwice})
	for range 20 {
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" || string(result.Body) != "good" {
			t.Fatalf("answer %+v, want served with the body good", result)
		}
	}
	if n := harness.members["s-000000c1"].Conns() + harness.members["s-000000c2"].Conns(); n > 2 {
		t.Errorf("%d connections for sequential requests, want at most 2", n)
	}
}

// TestObjectErrorsDoNotAffectOthers checks that a request fails that both caches answer with an
// error, and that the caches still serve other objects.
func TestObjectErrorsDoNotAffectOthers(t *testing.T) {
	fault := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if request.Fields["key"] == "0000000000000bad" {
			conn.Answer(request.ID, "FAULT", "-", nil)
			return
		}
		answerHit(conn, request)
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": fault, "s-000000c2": fault})
	for i := range 20 {
		if result := harness.roundTrip(readFields("0000000000000bad"), nil); result.Word == "served" {
			t.Fatalf("answer %+v, want any other result than served", result)
		}
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Fatalf("round %d: answer %+v, want served", i, result)
		}
	}
}

// TestAddressReuse checks that a new cache at the address of a removed one gets new connections,
// and that no state of the removed one is kept.
func TestAddressReuse(t *testing.T) {
	harness := newHarness(t, nil)
	c1 := harness.members["s-000000c1"]
	for i := range 12 {
		harness.roundTrip(readFields(fmt.Sprintf("%016x", i)), nil)
	}
	before := c1.Conns()
	harness.waitUntil("the router has connected to the discovery server", func() bool { return harness.discoveryConnections.Load() == 1 })
	harness.sendDiscovery(testserver.PlatformFrame(2, 2, append(endpointRecord(0xc1, c1.Addr, 2, 0, 0), endpointRecord(0xc9, c1.Addr, 0, 0, 0)...)))
	harness.waitUntil("the new cache gets a connection", func() bool {
		harness.roundTrip(readFields(fmt.Sprintf("%016x", lastID.Load())), nil)
		return c1.Conns() > before
	})
	harness.server.loop.Call(waitTimeout, func() {
		if _, ok := harness.server.engine.Member("s-000000c1"); ok || harness.server.pools["s-000000c1"] != nil {
			t.Error("state of a removed cache is kept")
		}
	})
}

// TestMemberMovesToAnotherAddress checks that a cache that returns with its id at another address
// gets requests there, although connections to the old address are still busy.
func TestMemberMovesToAnotherAddress(t *testing.T) {
	noAnswer := func(*testserver.PlatformConn, testserver.PlatformRequest) {}
	harness := newHarness(t, map[string]handler{"s-000000c1": noAnswer})
	other, err := testserver.NewPlatformCache("127.0.0.1:0", answerHit)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	busy := harness.dial()
	for i := range 8 {
		busy.Ask(readFields(fmt.Sprintf("%016x", i)), nil)
	}
	harness.waitUntil("the old address is busy", func() bool { return harness.members["s-000000c1"].Open() > 0 })
	harness.waitUntil("the router has connected to the discovery server", func() bool { return harness.discoveryConnections.Load() == 1 })
	harness.sendDiscovery(testserver.PlatformFrame(2, 2, endpointRecord(0xc1, other.Addr, 0, 0, 0)))
	harness.waitUntil("the new address gets a request", func() bool {
		harness.roundTrip(readFields(fmt.Sprintf("%016x", lastID.Load())), nil)
		return len(other.Received()) > 0
	})
}

// TestInFlightCountsMatchRouter checks that the router's count of attempts in flight at each
// member matches the pool's through resets, timeouts, cancellations and malformed answers, and
// that all counts return to 0.
func TestInFlightCountsMatchRouter(t *testing.T) {
	var n atomic.Int64
	unreliable := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if request.Cancel {
			return
		}
		switch n.Add(1) % 6 {
		case 0:
			conn.Reset()
		case 1:
			conn.Write([]byte("*9\r\n"))
		case 2, 3: // no answer
		default:
			conn.Hit(request.ID, []byte("good"))
			conn.Done(request.ID)
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": unreliable, "s-000000c2": unreliable, "s-000000a1": unreliable})
	client := harness.dial()
	for i := range 30 {
		seq, err := client.Ask(readFields(fmt.Sprintf("%016x", i), "wait", "400"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if i%5 == 0 {
			client.Write(testserver.PlatformForget(seq+100, seq))
		}
		time.Sleep(2 * time.Millisecond)
	}
	harness.waitUntil("nothing is in flight", func() (none bool) {
		harness.server.loop.Call(waitTimeout, func() {
			routerInFlight, poolInFlight := 0.0, 0
			members, link := harness.server.engine.Statuses()
			for id, b := range members {
				routerInFlight += b.InFlight
				if p := harness.server.pools[id]; p != nil && float64(p.inFlight) != b.InFlight || p == nil && b.InFlight != 0 {
					t.Errorf("%s: the router counts %v attempts in flight, want as many as its pool", id, b.InFlight)
				}
			}
			routerInFlight += link.InFlight
			for _, p := range harness.server.pools {
				poolInFlight += p.inFlight
			}
			none = routerInFlight == 0 && poolInFlight == 0 && len(harness.server.requests) == 0
		})
		return none
	})
	for id, p := range harness.members {
		harness.waitUntil("the fake member has nothing open: "+id, func() bool { return p.Open() == 0 })
	}
}

// TestRefusedConnections checks that the router ejects a cache that refuses connections, which
// the kernel may report at once, and that other caches serve its requests.
func TestRefusedConnections(t *testing.T) {
	harness := newHarness(t, nil)
	harness.members["s-000000c1"].Close()
	for i := range 30 {
		if result := harness.roundTrip(readFields(fmt.Sprintf("%016x", i), "slice", fmt.Sprint(i%20)), nil); result.Word != "served" {
			t.Errorf("request %d: answer %+v, want served", i, result)
		}
	}
	harness.server.loop.Call(waitTimeout, func() {
		if members, _ := harness.server.engine.Statuses(); !members["s-000000c1"].Ejected {
			t.Errorf("a cache that refuses connections is not ejected: %+v", members["s-000000c1"])
		}
		if n := harness.server.counts.Outcomes[spool.NotSent]; n > 0 {
			t.Errorf("%d attempts are reported as not sent, want 0", n)
		}
	})
}

// TestIdempotentWritesUnderResets checks that a write whose connection is reset, and which may
// therefore have been executed, is retried with the same idempotency key within the key's window.
func TestIdempotentWritesUnderResets(t *testing.T) {
	var mu sync.Mutex
	first, times := map[string]time.Time{}, map[string]int{}
	origin := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		mu.Lock()
		defer mu.Unlock()
		once := request.Fields["once"]
		if request.Cancel || once == "" {
			return
		}
		times[once]++
		if first[once].IsZero() {
			first[once] = time.Now()
		} else if d := time.Since(first[once]); d > 2050*time.Millisecond {
			t.Errorf("%s: retried after %v, want at most 2050 ms, since the key expires then", once, d)
		}
		if len(first)%2 == 0 && times[once] == 1 { // executed, but the answer is lost
			conn.Reset()
			return
		}
		conn.Answer(request.ID, "HIT", "-", nil)
	}
	harness := newHarness(t, map[string]handler{"s-000000a1": origin})
	for i := range 20 {
		once := fmt.Sprintf("%032x", i+1)
		result := harness.roundTrip(readFields(key, "class", "note", "once", once), []byte("written"))
		if result.Word != "served" {
			t.Errorf("request %d: answer %+v, want served", i, result)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(times) != 20 {
		t.Errorf("%d keys for 20 writes, want 20", len(times))
	}
	attempts := 0
	for _, request := range harness.members["s-000000a1"].Received() {
		if !request.Cancel && request.Fields["once"] != "" {
			attempts++
		}
	}
	if attempts != 30 {
		t.Errorf("%d attempts for 20 writes of which ten were reset once, want 30", attempts)
	}
}

// TestRetryClosesSilentConnection checks that the connection of an attempt that is abandoned for
// a retry is closed, since STOP may never arrive on a connection on which nothing was received.
// The first attempt was once not cancelled after a new connection had fallen silent.
func TestRetryClosesSilentConnection(t *testing.T) {
	t.Parallel()
	slow := newSlowMember(t)
	harness := newHarnessWith(t, nil, `"window":2000`, `"window":1000`)
	harness.changeMember(2, 0xd1, slow.address, 0, 1, 2)
	harness.changeMember(3, 0xa1, harness.members["s-000000a1"].Addr, 1, 1, 2)
	harness.dial().Ask(readFields(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), []byte("x"))
	first, _ := slow.acceptRequest(t)
	slow.acceptRequest(t)
	b := make([]byte, 64)
	first.SetReadDeadline(time.Now().Add(time.Second))
	if k, err := first.Read(b); k != 0 || err == nil {
		t.Errorf("the first connection received %q, error %v; want it closed", b[:k], err)
	}
}

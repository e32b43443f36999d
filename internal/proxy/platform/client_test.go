package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	spool "indigospool"
	"indigospool/internal/testbed/testserver"
)

// TestReadAndWriteAreServed checks that requests reach members unchanged, that the router looks
// for a cached copy before it requests a fill, and that bodies arrive complete.
func TestReadAndWriteAreServed(t *testing.T) {
	harness := newHarness(t, map[string]handler{"s-000000c1": answerMiss, "s-000000c2": answerMiss})
	if good, err := harness.dial().IsWell(); !good || err != nil {
		t.Fatalf("isWell: result %v, error %v, want true", good, err)
	}
	f := readFields(key)
	if result := harness.roundTrip(f, nil); result.Word != "served" || string(result.Body) != "bytes of "+key || !result.Good || len(result.Fields) > 0 {
		t.Fatalf("the read was answered %+v, want served with the object and no fields", result)
	}
	lookups, fills := 0, 0
	for _, p := range harness.members {
		for _, request := range p.Received() {
			if request.ID != f["id"] || request.Fields["class"] != "clip" || request.Fields["key"] != key || request.Fields["part"] != "3" || request.Fields["wait"] == "0" {
				t.Errorf("a member received %+v, want the client's id, class clip, key %s, part 3 and a wait above 0", request, key)
			}
			if request.Fields["miss"] == "s-000000a1" {
				fills++
			} else {
				lookups++
			}
		}
	}
	if lookups != 1 || fills != 1 {
		t.Errorf("%d lookups and %d fills, want 1 of each", lookups, fills)
	}
	once := "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	body := bytes.Repeat([]byte{0, 0xff}, 24000)
	if result := harness.roundTrip(readFields(key, "class", "note", "once", once), body); result.Word != "served" {
		t.Fatalf("the write was answered %+v, want served", result)
	}
	if s := harness.members["s-000000a1"].Received(); len(s) != 1 || s[0].Fields["once"] != once || !bytes.Equal(s[0].Body, body) {
		t.Errorf("the origin received %d requests, want 1 with the idempotency key and the body of the write", len(s))
	}
}

// TestNotModified checks that VALID is passed on as not modified, but only to a client that sent
// the tag of its copy.
func TestNotModified(t *testing.T) {
	valid := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		conn.Answer(request.ID, "VALID", fmt.Sprintf("how=cached,entity=x,issued=%d", time.Now().UnixMilli()), nil)
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": valid, "s-000000c2": valid})
	if result := harness.roundTrip(readFields(key, "seen", "4be0c1927d55a6f3"), nil); result.Word != "served" || result.Fields["current"] != "1" || len(result.Body) > 0 {
		t.Errorf("a client with a current copy was answered %+v, want served with current=1 and no body", result)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word == "served" {
		t.Errorf("a client without a copy was answered %+v, want any other result than served", result)
	}
}

// TestMalformedClients checks that invalid requests are not served but answered otherwise, or
// their connections closed, within 3 s, and that valid requests are served meanwhile.
func TestMalformedClients(t *testing.T) {
	slow := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Cancel {
			time.AfterFunc(100*time.Millisecond, func() { conn.Hit(request.ID, []byte("late")) })
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow})
	call := func(seq int32, f map[string]string) []byte { return testserver.PlatformCall("serve", seq, f, nil) }
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	without := func(name string) map[string]string { f := readFields(key); delete(f, name); return f }
	var flood, cancelled []byte
	for i := range int32(300) {
		flood = append(flood, call(i+1, readFields(key))...)
		cancelled = append(append(cancelled, call(2*i+1, readFields(key))...), testserver.PlatformForget(2*i+2, 2*i+1)...)
	}
	for _, test := range []struct {
		name       string
		bytes      []byte
		mayTimeOut bool // no answer is due, and the connection is closed only after a timeout
	}{
		{"another protocol", []byte("GET / HTTP/1.1\r\n\r\n"), false},
		{"nothing", nil, false},
		{"half a request", call(1, readFields(key))[:40], false},
		{"a huge length", append(length(2147483632), make([]byte, 4096)...), false},
		{"a negative length", length(0xffc00000), false},
		{"60 MB", append(length(60000000), make([]byte, 1<<20)...), false},
		{"a length of 0", length(0), false},
		{"not in the strict protocol", append(length(12), 0, 0, 0, 5, 's', 'e', 'r', 'v', 'e', 1, 0, 0), false},
		{"an unknown method", testserver.PlatformCall("drop", 1, nil, nil), false},
		{"no id", call(1, without("id")), false},
		{"a long id", call(1, readFields(key, "id", "00000000000000001")), false},
		{"no key", call(1, without("key")), false},
		{"a separator in the key", call(1, readFields("7f3a9c21e0b4,x=1")), false},
		{"an unknown class", call(1, readFields(key, "class", "clip2")), false},
		{"no wait", call(1, without("wait")), false},
		{"a wait of 0", call(1, readFields(key, "wait", "0")), false},
		{"a wait of a day", call(1, readFields(key, "wait", "86400000")), false},
		{"a negative slice", call(1, readFields(key, "slice", "-4")), false},
		{"a slice that is no number", call(1, readFields(key, "slice", "nan")), false},
		{"a set of 256", call(1, readFields(key, "set", "256")), false},
		{"a keyed class without once", call(1, readFields(key, "class", "note")), false},
		{"a body in a read", testserver.PlatformCall("serve", 1, readFields(key), []byte("x")), false},
		{"a repeated sequence number", append(call(1, readFields(key)), call(1, readFields(key))...), false},
		{"300 at once", flood, false},
		{"300 cancelled", cancelled, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			client := harness.dial()
			go client.Write(test.bytes)
			result, err := client.Result(3 * time.Second)
			if err == nil && result.Word == "served" {
				t.Errorf("answered %+v, want any other result than served, or a closed connection", result)
			}
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() && !test.mayTimeOut {
				t.Error("neither answered nor closed within 3 s")
			}
		})
	}
	t.Run("valid", func(t *testing.T) {
		t.Parallel()
		for range 10 {
			if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
				t.Errorf("a valid request was answered %+v, want served", result)
			}
		}
	})
}

// TestForgottenCallsAreNotStarted checks that a call that is cancelled by data of the same read
// starts no attempt. Bursts of 200 such calls once started an attempt each.
func TestForgottenCallsAreNotStarted(t *testing.T) {
	harness := newHarness(t, nil)
	attempts := func() int {
		return len(harness.members["s-000000c1"].Received()) + len(harness.members["s-000000c2"].Received())
	}
	for range 4 { // open connections on which an attempt would be written at once
		harness.roundTrip(readFields(key), nil)
	}
	before := attempts()
	var calls []byte
	for i := range int32(20) {
		calls = append(append(calls, testserver.PlatformCall("serve", 2*i+1, readFields(key), nil)...), testserver.PlatformForget(2*i+2, 2*i+1)...)
	}
	client := harness.dial()
	client.Write(calls) // one segment, and so one read, on loopback
	if _, err := client.Write(testserver.PlatformCall("isWell", 100, nil, nil)); err != nil {
		t.Fatal(err)
	}
	if result, err := client.Result(waitTimeout); err != nil || result.Seq != 100 {
		t.Fatalf("answer %+v, error %v; want the answer to isWell, number 100", result, err)
	}
	harness.roundTrip(readFields(key), nil) // follows any attempts for the cancelled calls on the same connection
	if n := attempts() - before - 1; n != 0 {
		t.Errorf("caches received %d requests for cancelled calls, want 0", n)
	}
}

// TestDuplicateRequestID checks that a request with the id of an open request fails, and that
// the open one is answered.
func TestDuplicateRequestID(t *testing.T) {
	hold := make(chan func(), 4)
	wait := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		hold <- func() { conn.Hit(request.ID, []byte("first")) }
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	f := readFields(key)
	client := harness.dial()
	client.Ask(f, nil)
	answer := <-hold
	if result := harness.roundTrip(readFields("0000000000000001", "id", f["id"]), nil); result.Word != "failed" {
		t.Errorf("the second request was answered %+v, want failed", result)
	}
	answer()
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" || string(result.Body) != "first" {
		t.Errorf("the first request: answer %+v, error %v; want served with the body first", result, err)
	}
}

// TestSlowClientWrite checks that a call whose bytes arrive slowly is served, and that the
// connection of a call that stops in the middle is closed. The slow one was once closed too,
// 2.2 s after its first byte.
func TestSlowClientWrite(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	client, half := harness.dial(), harness.dial()
	call := testserver.PlatformCall("serve", 1, readFields(key), nil)
	half.Write(call[:len(call)/2])
	for i := range call {
		if _, err := client.Write(call[i : i+1]); err != nil {
			t.Fatalf("write after %d bytes: %v", i, err)
		}
		time.Sleep(3 * time.Second / time.Duration(len(call)))
	}
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
		t.Errorf("the slow call: answer %+v, error %v; want served", result, err)
	}
	if _, err := half.Result(time.Second); err != io.EOF {
		t.Errorf("after half a call: error %v, want EOF", err)
	}
}

// TestCloseAfterCalls checks that no attempt starts for calls if the loop reads them in the same
// turn as the close of the connection, or as their cancellation after more than one buffer of
// calls.
func TestCloseAfterCalls(t *testing.T) {
	harness := newHarness(t, nil)
	writeWithKey := func() map[string]string {
		return readFields(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	for range 4 { // open connections on which an attempt would be written at once
		harness.roundTrip(readFields(key), nil)
		harness.roundTrip(writeWithKey(), nil)
	}
	for name, send := range map[string]func(client *testserver.PlatformClient){
		"closed": func(client *testserver.PlatformClient) {
			for i := range int32(5) {
				client.Write(testserver.PlatformCall("serve", i+1, readFields(key), nil))
			}
			client.Close()
		},
		"cancelled": func(client *testserver.PlatformClient) {
			for i := range int32(3) {
				client.Write(testserver.PlatformCall("serve", i+1, writeWithKey(), make([]byte, 40000)))
			}
			for i := range int32(3) {
				client.Write(testserver.PlatformForget(i+4, i+1))
			}
		},
	} {
		client, before := harness.dial(), harness.requestsSent()
		harness.waitTurn()
		release := harness.blockLoop()
		send(client)
		time.Sleep(20 * time.Millisecond) // for loopback
		release()
		harness.waitTurn()
		harness.roundTrip(writeWithKey(), nil) // follows any attempts for the calls on the same connections
		harness.roundTrip(readFields(key), nil)
		if n := harness.requestsSent() - before - 2; n != 0 {
			t.Errorf("%s: %d attempts, want 0", name, n)
		}
	}
}

// TestCloseAfterManyCalls is like TestCloseAfterCalls, with more calls before the close, the
// malformed message or the cancellations than one read returns.
func TestCloseAfterManyCalls(t *testing.T) {
	for name, finish := range map[string]func(client *testserver.PlatformClient){
		"closed":    func(client *testserver.PlatformClient) { client.Close() },
		"malformed": func(client *testserver.PlatformClient) { client.Write([]byte{0xff, 0xff, 0xff, 0xff}) },
		"cancelled": func(client *testserver.PlatformClient) {
			for i := range int32(32) {
				client.Write(testserver.PlatformForget(i+100, i+1))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.openConnections()
			before := harness.requestsSent()
			client := harness.dial()
			harness.waitTurn()
			release := harness.blockLoop()
			finished := make(chan struct{})
			go func() { // the kernel buffers the calls, most of them on the client's side
				for i := range int32(32) {
					client.Write(testserver.PlatformCall("serve", i+1, writeFields(), make([]byte, 40000)))
				}
				finish(client)
				close(finished)
			}()
			select {
			case <-finished:
			case <-time.After(waitTimeout):
				t.Errorf("the calls were not written to the kernel's buffers within %v", waitTimeout)
			}
			release()
			time.Sleep(200 * time.Millisecond)
			harness.waitTurn()
			if n := harness.requestsSent() - before; n != 0 {
				t.Errorf("%d attempts for calls that had ended before the first was read, want 0", n)
			}
		})
	}
}

// TestClientCloseStartsNothing checks that when a connection with queued requests is closed, no
// queued request starts in the capacity that another one frees.
func TestClientCloseStartsNothing(t *testing.T) {
	never := func(*testserver.PlatformConn, testserver.PlatformRequest) {}
	harness := newHarness(t, map[string]handler{"s-000000c1": never, "s-000000c2": never})
	client := harness.dial()
	for range 32 {
		client.Ask(readFields(key), nil)
	}
	harness.waitUntil("all requests are in flight", func() (all bool) {
		harness.server.loop.Call(waitTimeout, func() { all = len(harness.server.requests) == 32 })
		return all
	})
	client.Close()
	harness.waitUntil("no request is in flight", func() (none bool) {
		harness.server.loop.Call(waitTimeout, func() { none = len(harness.server.requests) == 0 })
		return none
	})
	harness.server.loop.Call(waitTimeout, func() {
		if s := harness.server.counts; s.Attempts-s.Outcomes[spool.NotSent] > 32+s.Outcomes[spool.Miss] {
			t.Errorf("%d attempts, %d of them not sent, for 32 requests with %d misses; want at most one sent for each request and miss", s.Attempts, s.Outcomes[spool.NotSent], s.Outcomes[spool.Miss])
		}
	})
}

// TestPartialCallAfterCompleteCall checks that a call that stops in the middle does not cost the
// complete call before it its answer.
func TestPartialCallAfterCompleteCall(t *testing.T) {
	t.Parallel()
	slow := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Cancel && request.Fields["key"] == key {
			time.AfterFunc(2700*time.Millisecond, func() { answerHit(conn, request) })
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow, "s-000000a1": slow})
	client := harness.dial()
	client.Ask(readFields(key, "wait", "3000"), nil)
	half := testserver.PlatformCall("serve", 2, readFields(key), nil)
	client.Write(half[:len(half)/2])
	if result, err := client.Result(waitTimeout); err != nil || result.Seq != 1 {
		t.Errorf("the complete call: answer %+v, error %v; want an answer to call 1", result, err)
	}
	if _, err := client.Result(waitTimeout); err != io.EOF {
		t.Errorf("after the answer: error %v, want EOF", err)
	}
}

// TestMemoryLimitClosesLargestClient checks that at the memory limit the client that reads no
// answers is closed, and not another one that is slow for a moment.
func TestMemoryLimitClosesLargestClient(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, map[string]handler{"s-000000c1": answerLarge(240000), "s-000000c2": answerLarge(240000)})
	slow := func() *testserver.PlatformClient {
		client := harness.dial()
		client.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		return client
	}
	room := func() (left int) {
		harness.server.loop.Call(waitTimeout, func() { left = harness.server.maxBufferedBytes() - harness.server.unsentBytes })
		return left
	}
	harness.server.loop.Call(waitTimeout, func() { harness.server.config.Limits.MemoryMB = minMemoryMB })
	notReading, other := slow(), slow()
	for i := 0; room() > 300000 && i < 60; i++ { // one by one, until the next answer would exceed the limit
		if i == 30 {
			notReading = slow()
		}
		served := uint64(0)
		harness.server.loop.Call(waitTimeout, func() { served = harness.server.counts.Served })
		notReading.Ask(readFields(key), nil)
		harness.waitUntil("the request is served", func() (yes bool) {
			harness.server.loop.Call(waitTimeout, func() { yes = harness.server.counts.Served > served })
			return yes
		})
	}
	if left := room(); left > 300000 {
		t.Fatalf("%d bytes are left below the limit, want at most 300000", left)
	}
	const requests = 24
	for range requests {
		other.Ask(readFields(key), nil)
	}
	time.Sleep(200 * time.Millisecond)
	for i := range requests {
		if result, err := other.Result(waitTimeout); err != nil || result.Word != "served" {
			t.Fatalf("answer %d: result %q, error %v; want served", i, result.Word, err)
		}
	}
	if left := room(); left < 0 {
		t.Errorf("unsent answers exceed the limit by %d bytes", -left)
	}
}

// TestClientLimitWhileDiscoveryIsDown checks that, while idle clients use all connections and
// the discovery server refuses them, active clients are served and the router connects to the
// discovery server once it is back.
func TestClientLimitWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	harness := newHarnessWith(t, nil)
	harness.waitUntil("the router has connected to the discovery server", func() bool { return harness.discoveryWrites.Load() != nil })
	address := harness.discovery.Addr
	harness.discovery.Close()
	harness.sendDiscovery(nil)
	worker := harness.dial()
	ask := func() {
		t.Helper()
		worker.Ask(readFields(key), nil)
		if result, err := worker.Result(waitTimeout); err != nil || result.Word != "served" {
			t.Fatalf("answer %+v, error %v; want served", result, err)
		}
	}
	ask()
	for range 300 { // more than the descriptor limit in the configuration
		c, err := net.Dial("tcp", harness.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	harness.waitTurn()
	ask()
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Errorf("a new client was answered %+v, want served", result)
	}
	before := harness.discoveryConnections.Load()
	again, err := testserver.NewPlatformFeedAt(address, func(net.Conn, uint64) { harness.discoveryConnections.Add(1); <-t.Context().Done() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Close)
	begin := time.Now()
	harness.waitUntil("the router has connected to the discovery server again", func() bool { return harness.discoveryConnections.Load() > before })
	if d := time.Since(begin); d > 900*time.Millisecond {
		t.Errorf("connected to the discovery server after %v, want at most 900 ms", d)
	}
	harness.server.loop.Call(waitTimeout, func() {
		if n := len(harness.server.clients); n > harness.server.connectionLimits.Clients {
			t.Errorf("%d clients, want at most %d", n, harness.server.connectionLimits.Clients)
		}
	})
}

// A write ran twice when it came again under its id after its client had left. Another id is a new
// write, and a write that no member has received may come again.
func TestWriteComesAgainAfterItsClientLeft(t *testing.T) {
	rec := &recorder{} // members execute writes, and don't answer
	harness := newHarnessWith(t, rec.handlers(), `"idempotency":"guarded","group":"all","window":2000`, `"idempotency":"single_shot","write":true`)
	fields := func(id string) map[string]string {
		f := readFields(key, "class", "note")
		if id != "" {
			f["id"] = id
		}
		return f
	}
	first := fields("")
	runs := func(id string) (n int) {
		for _, arrival := range rec.requests() {
			if arrival.ID == id {
				n++
			}
		}
		return n
	}
	client := harness.dial()
	client.Ask(first, []byte("body"))
	harness.waitUntil("the write has reached the origin", func() bool { return runs(first["id"]) == 1 })
	client.Close()
	harness.waitUntil("the request has ended", func() (ended bool) {
		harness.server.loop.Call(waitTimeout, func() { ended = len(harness.server.requests) == 0 })
		return ended
	})
	if result := harness.roundTrip(fields(first["id"]), []byte("body")); result.Word != "failed" {
		t.Errorf("the repeated write was answered %+v, want failed", result)
	}
	other := fields("")
	client = harness.dial()
	client.Ask(other, []byte("body"))
	harness.waitUntil("a write with another id has reached the origin", func() bool { return runs(other["id"]) == 1 })
	if n := runs(first["id"]); n != 1 {
		t.Errorf("the write ran %d times, want once", n)
	}
}

// The memory for ids of ended writes is limited, by number and by time.
func TestEndedWritesAreForgotten(t *testing.T) {
	writes := newEndedWrites()
	for i := range maxEndedWrites + 10 {
		writes.add(0, fmt.Sprint(i))
	}
	if len(writes.ids) != maxEndedWrites || len(writes.ended) != maxEndedWrites || writes.contains(0, "9") || !writes.contains(0, "10") {
		t.Errorf("%d ids are remembered, want the last %d", len(writes.ids), maxEndedWrites)
	}
	if writes.contains(endedWriteTime, "10") || len(writes.ids) != 0 {
		t.Errorf("%d ids are remembered after their time, want none", len(writes.ids))
	}
}

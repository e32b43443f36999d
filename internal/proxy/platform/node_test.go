package platform

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/testbed/testserver"
)

const waitLimit = 5 * time.Second // in which what is wanted comes; the rules' own spans are in the code

// world is a router among stand-ins.
type testHarness struct {
	t                    *testing.T
	server               *Server
	address              string
	configFile           string
	members              map[string]*testserver.PlatformCache
	discovery            *testserver.PlatformFeed
	settings             string
	lastResumed          atomic.Uint64               // number that the feed's last connection began with
	discoveryConnections atomic.Int64                // connections of the feed
	discoveryWrites      atomic.Pointer[chan []byte] // what the feed's last connection writes next; nil: it breaks off
	served               chan error
}

type handler = func(c *testserver.PlatformConn, q testserver.PlatformRequest)

// hits answers reads with the object's key as bytes, and writes at the origin.
func answerHit(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
	if !request.Stop {
		conn.Hit(request.ID, []byte("bytes of "+request.Fields["key"]))
	}
}

func answerMiss(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
	if request.Fields["miss"] != "" {
		answerHit(conn, request)
	} else if !request.Stop {
		conn.Answer(request.ID, "NONE", "-", nil)
	}
}

// open starts a router whose caches c1, c2 and origin a1 do as on says; nil: hits.
func newHarness(t *testing.T, handlers map[string]handler) *testHarness {
	return newHarnessWith(t, handlers)
}

// openWith starts a router by settings in which each old text is replaced by a new one.
func newHarnessWith(t *testing.T, handlers map[string]handler, oldnew ...string) *testHarness {
	t.Helper()
	harness := prepareHarness(t, handlers)
	harness.settings = strings.NewReplacer(oldnew...).Replace(testSettings)
	harness.writeConfig(harness.discovery.Addr)
	harness.start(zap.NewNop())
	return harness
}

// start opens the router and serves until the test's end.
func (w *testHarness) start(log *zap.Logger) {
	w.t.Helper()
	server, err := Open(w.configFile, "127.0.0.1:0", log)
	if err != nil {
		w.t.Fatal(err)
	}
	w.server, w.address = server, server.Addr()
	go func() { w.served <- server.Serve() }()
	w.t.Cleanup(func() {
		server.loop.Stop()
		select {
		case <-w.served:
		case <-time.After(waitLimit):
			w.t.Error("the router does not stop")
		}
	})
}

// outside is the stand-ins, and a configuration that names them.
func prepareHarness(t *testing.T, handlers map[string]handler) *testHarness {
	t.Helper()
	harness := &testHarness{t: t, settings: testSettings, members: map[string]*testserver.PlatformCache{}, served: make(chan error, 1)}
	for _, id := range []string{"s-000000c1", "s-000000c2", "s-000000a1"} {
		handler := handlers[id]
		if handler == nil {
			handler = answerHit
		}
		cache, err := testserver.NewPlatformCache("127.0.0.1:0", handler)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cache.Close)
		harness.members[id] = cache
	}
	harness.discovery = harness.newDiscovery()
	harness.configFile = filepath.Join(t.TempDir(), "config.json")
	harness.writeConfig(harness.discovery.Addr)
	return harness
}

func (w *testHarness) newDiscovery() *testserver.PlatformFeed {
	f, err := testserver.NewPlatformFeed(func(c net.Conn, last uint64) {
		tell := make(chan []byte, 64)
		w.discoveryWrites.Store(&tell)
		w.lastResumed.Store(last)
		w.discoveryConnections.Add(1)
		for {
			select {
			case b := <-tell:
				if b == nil {
					return
				}
				c.Write(b)
			case <-w.t.Context().Done():
				return
			}
		}
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(f.Close)
	return f
}

// say has the feed's last connection write bytes.
func (w *testHarness) sendDiscovery(b []byte) { *w.discoveryWrites.Load() <- b }

const testSettings = `{"classes":[
 {"name":"clip","aim":400,"aim_stretch":1.5,"give_up":3000,"gain":2,"late_worth":0.1,"idempotency":"free"},
 {"name":"note","aim":400,"give_up":3000,"gain":2,"idempotency":"guarded","group":"all","window":2000}],
 "kinds":["box","parent","origin"],"localities":["near","hub"],"zone":"near","n_instances":1,"tick":2,"discovery":"pushed",
 "limits":{"cancel":true,"conn_idle":30000,"connect_timeout":300,"max_attempts":6,"max_retry_after":2000,"multiplex":100,"retry_after":true},
 "rules":{"answer_slack":8,"cold":10000,"cold_from":0.2,"drain_grace":1000,"overload_factor":3,"overload_for":1000},
 "family_info":{"in_parts":[true,false],"class_write":[false,true],"lifetime_by_class":[0,0],"older_by":[0,0],
  "upper_kind":1,"master_kind":2,"pass_through_ok":true,"purge_takes":6000,"purge_slack":500,"detail":"all","stream_kb_per_s":4000}}`

// write writes the configuration with a feed's address, all at once as deployments do.
func (w *testHarness) writeConfig(feed string) {
	w.t.Helper()
	type row map[string]any
	var rows []row
	for id, p := range w.members {
		r := row{"name": id, "address": p.Addr, "zone": "near", "type": "box", "group": 0, "status": "ready", "weight": 4, "since_ms": 0}
		if id == "s-000000a1" {
			r["zone"], r["type"] = "hub", "origin"
		}
		rows = append(rows, r)
	}
	c := map[string]any{"name": "n1", "listen": "127.0.0.1:0", "seed": "1f", "feed": feed, "settings": json.RawMessage(w.settings),
		"limits": row{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":  row{"n": 1, "events": []row{{"n": 1, "members": row{"index": 1, "snapshot": true, "endpoints": rows}}}}}
	b, err := json.Marshal(c)
	if err == nil {
		err = os.WriteFile(w.configFile+".new", b, 0o600)
	}
	if err == nil {
		err = os.Rename(w.configFile+".new", w.configFile)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *testHarness) dial() *testserver.PlatformClient {
	w.t.Helper()
	client, err := testserver.DialPlatform(w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { client.Close() })
	return client
}

var ids atomic.Uint64

// clip is a read with an id of its own; changes are pairs of field and value.
func readFields(key string, changes ...string) map[string]string {
	f := map[string]string{"class": "clip", "id": fmt.Sprintf("%016x", ids.Add(1)), "wait": "2000", "key": key, "slice": "3", "set": "17"}
	for i := 0; i < len(changes); i += 2 {
		f[changes[i]] = changes[i+1]
	}
	return f
}

const key = "7f3a9c21e0b4d655"

// ask makes one request on a connection of its own and returns the answer.
func (w *testHarness) roundTrip(f map[string]string, body []byte) testserver.PlatformResult {
	w.t.Helper()
	client := w.dial()
	defer client.Close()
	if _, err := client.Ask(f, body); err != nil {
		w.t.Fatal(err)
	}
	result, err := client.Result(waitLimit)
	if err != nil {
		w.t.Fatalf("%v: %v", f, err)
	}
	return result
}

func (w *testHarness) waitUntil(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitLimit); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not within %v: %s", waitLimit, what)
		}
	}
}

// TestReadAndWriteAreServed: what a client asks reaches caches unchanged, a look comes before a fill,
// and the bytes come back whole.
func TestReadAndWriteAreServed(t *testing.T) {
	harness := newHarness(t, map[string]handler{"s-000000c1": answerMiss, "s-000000c2": answerMiss})
	if good, err := harness.dial().Well(); !good || err != nil {
		t.Fatalf("isWell: %v %v", good, err)
	}
	f := readFields(key)
	if result := harness.roundTrip(f, nil); result.Word != "served" || string(result.Body) != "bytes of "+key || !result.Good || len(result.Fields) > 0 {
		t.Fatalf("answered %+v", result)
	}
	looks, fills := 0, 0
	for _, p := range harness.members {
		for _, request := range p.Seen() {
			if request.ID != f["id"] || request.Fields["class"] != "clip" || request.Fields["key"] != key || request.Fields["part"] != "3" || request.Fields["wait"] == "0" {
				t.Errorf("a cache was asked %+v", request)
			}
			if request.Fields["miss"] == "s-000000a1" {
				fills++
			} else {
				looks++
			}
		}
	}
	if looks != 1 || fills != 1 {
		t.Errorf("%d looks and %d fills", looks, fills)
	}
	once := "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	body := bytes.Repeat([]byte{0, 0xff}, 24000)
	if result := harness.roundTrip(readFields(key, "class", "note", "once", once), body); result.Word != "served" {
		t.Fatalf("a write: %+v", result)
	}
	if s := harness.members["s-000000a1"].Seen(); len(s) != 1 || s[0].Fields["once"] != once || !bytes.Equal(s[0].Body, body) {
		t.Errorf("the origin was asked %d times, or otherwise than meant", len(s))
	}
}

// TestNotModified: VALID becomes current, only for a client that named its copy.
func TestNotModified(t *testing.T) {
	valid := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		conn.Answer(request.ID, "VALID", fmt.Sprintf("how=cached,entity=x,issued=%d", time.Now().UnixMilli()), nil)
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": valid, "s-000000c2": valid})
	if result := harness.roundTrip(readFields(key, "seen", "4be0c1927d55a6f3"), nil); result.Word != "served" || result.Fields["current"] != "1" || len(result.Body) > 0 {
		t.Errorf("%+v", result)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word == "served" {
		t.Errorf("a client without a copy was told that it holds: %+v", result)
	}
}

// TestMalformedClients: each is answered with something other than 'served' or closed within
// 3 s, and the usual ones are served meanwhile.
func TestMalformedClients(t *testing.T) {
	slow := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Stop {
			time.AfterFunc(100*time.Millisecond, func() { conn.Hit(request.ID, []byte("late")) })
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow})
	call := func(seq int32, f map[string]string) []byte { return testserver.PlatformCall("serve", seq, f, nil) }
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	without := func(name string) map[string]string { f := readFields(key); delete(f, name); return f }
	var flood, withdrawn []byte
	for i := range int32(300) {
		flood = append(flood, call(i+1, readFields(key))...)
		withdrawn = append(append(withdrawn, call(2*i+1, readFields(key))...), testserver.PlatformForget(2*i+2, 2*i+1)...)
	}
	for _, c := range []struct {
		name   string
		bytes  []byte
		silent bool // it is owed nothing but, in the end, a close
	}{
		{"noise", []byte("GET / HTTP/1.1\r\n\r\n"), false},
		{"nothing", nil, false},
		{"half a request", call(1, readFields(key))[:40], false},
		{"a huge length", append(length(2147483632), make([]byte, 4096)...), false},
		{"a negative length", length(0xffc00000), false},
		{"60 MB", append(length(60000000), make([]byte, 1<<20)...), false},
		{"a length of 0", length(0), false},
		{"not strict", append(length(12), 0, 0, 0, 5, 's', 'e', 'r', 'v', 'e', 1, 0, 0), false},
		{"another name", testserver.PlatformCall("drop", 1, nil, nil), false},
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
		{"two under one number", append(call(1, readFields(key)), call(1, readFields(key))...), false},
		{"300 at once", flood, false},
		{"300 withdrawn", withdrawn, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := harness.dial()
			go b.Write(c.bytes)
			result, err := b.Result(3 * time.Second)
			if err == nil && result.Word == "served" {
				t.Errorf("answered %+v", result)
			}
			if ne, ok := err.(net.Error); ok && ne.Timeout() && !c.silent {
				t.Error("neither answered nor closed")
			}
		})
	}
	t.Run("usual", func(t *testing.T) {
		t.Parallel()
		for range 10 {
			if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
				t.Errorf("%+v", result)
			}
		}
	})
}

// TestForgottenCallsAreNotStarted: a call that is given up in the read that it came with costs
// no cache anything; it did: bursts of 200 made attempts of all.
func TestForgottenCallsAreNotStarted(t *testing.T) {
	harness := newHarness(t, nil)
	asked := func() int {
		return len(harness.members["s-000000c1"].Seen()) + len(harness.members["s-000000c2"].Seen())
	}
	for range 4 { // so that there is a connection on which an attempt would go out at once
		harness.roundTrip(readFields(key), nil)
	}
	before := asked()
	var b []byte
	for i := range int32(20) {
		b = append(append(b, testserver.PlatformCall("serve", 2*i+1, readFields(key), nil)...), testserver.PlatformForget(2*i+2, 2*i+1)...)
	}
	client := harness.dial()
	client.Write(b) // one segment, and so one read, on loopback
	if _, err := client.Write(testserver.PlatformCall("isWell", 100, nil, nil)); err != nil {
		t.Fatal(err)
	}
	if result, err := client.Result(waitLimit); err != nil || result.Seq != 100 {
		t.Fatalf("%+v %v", result, err)
	}
	harness.roundTrip(readFields(key), nil) // behind them on the same connection to a cache
	if n := asked() - before - 1; n != 0 {
		t.Errorf("caches were asked %d times", n)
	}
}

// TestDuplicateRequestID: the second is failed, the first is answered.
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
		t.Errorf("the second: %+v", result)
	}
	answer()
	if result, err := client.Result(waitLimit); err != nil || result.Word != "served" || string(result.Body) != "first" {
		t.Errorf("the first: %+v %v", result, err)
	}
}

// TestMalformedAnswers: nothing spoilt is passed on, the connection is closed, and the request is
// served by another member.
func TestMalformedAnswers(t *testing.T) {
	now := fmt.Sprint(time.Now().UnixMilli())
	for _, c := range []struct{ name, bytes string }{
		{"noise", "\x00\x17noise\r\n"},
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
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var spoilt atomic.Int64
			bad := func(pc *testserver.PlatformConn, request testserver.PlatformRequest) {
				if request.Stop {
					return
				}
				if spoilt.Add(1) > 1 { // only the first of all answers is bad
					answerHit(pc, request)
					return
				}
				pc.Write([]byte(strings.Replace(c.bytes, "ID", request.ID, 1)))
				if c.name == "cut short" {
					pc.Reset()
				}
			}
			harness := newHarness(t, map[string]handler{"s-000000c1": bad, "s-000000c2": bad})
			if result := harness.roundTrip(readFields(key), nil); result.Word != "served" || string(result.Body) != "bytes of "+key {
				t.Errorf("answered %+v", result)
			}
			if n := spoilt.Load(); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}

// TestUnmatchedAnswersAreDropped: a second copy and an unknown id are dropped, and the
// connection is kept.
func TestUnmatchedAnswersAreDropped(t *testing.T) {
	twice := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Stop {
			conn.Hit("ffffffffffffffff", []byte("nobody's"))
			conn.Hit(request.ID, []byte("good"))
			conn.Hit(request.ID, []byte("once more"))
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": twice, "s-000000c2": twice})
	for range 20 {
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" || string(result.Body) != "good" {
			t.Fatalf("%+v", result)
		}
	}
	if n := harness.members["s-000000c1"].Conns() + harness.members["s-000000c2"].Conns(); n > 2 {
		t.Errorf("%d connections for requests one after another", n)
	}
}

// TestErrorsOfOneObjectSpareOthers: a request that two caches answer with an error is ended, and what
// others ask of these caches goes on.
func TestErrorsOfOneObjectSpareOthers(t *testing.T) {
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
			t.Fatalf("%+v", result)
		}
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Fatalf("round %d: %+v", i, result)
		}
	}
}

// TestDiscoveryStreamResumes: what breaks off is asked for again from the last number, repeats and halves
// change nothing, and silence is noticed.
func TestDiscoveryStreamResumes(t *testing.T) {
	harness := newHarness(t, nil)
	purge := func(n uint64) []byte { return testserver.PlatformFrame(n, 4, []byte{0, 17, 0, 0, 1, 0x9a, 0, 0, 0, 0}) }
	harness.waitUntil("the first connection", func() bool { return harness.discoveryConnections.Load() == 1 })
	harness.sendDiscovery(purge(2))
	harness.sendDiscovery(purge(2))
	harness.sendDiscovery(purge(3)[:9])
	harness.sendDiscovery(nil)
	harness.waitUntil("asked again", func() bool { return harness.discoveryConnections.Load() == 2 })
	if n := harness.lastResumed.Load(); n != 2 {
		t.Fatalf("asked from %d, want 2", n)
	}
	harness.sendDiscovery(purge(5)) // 3 and 4 are missing
	harness.waitUntil("asked again after a gap", func() bool { return harness.discoveryConnections.Load() == 3 })
	harness.sendDiscovery([]byte{0xff, 0xff, 0xff, 0xff})
	harness.waitUntil("asked again after a lying length", func() bool { return harness.discoveryConnections.Load() == 4 })
	harness.sendDiscovery(purge(3))
	harness.waitUntil("asked again after silence", func() bool { return harness.discoveryConnections.Load() == 5 })
	if n := harness.lastResumed.Load(); n != 3 {
		t.Fatalf("asked from %d, want 3", n)
	}
}

// record is a member as frames have it.
func endpointRecord(id uint32, address string, state, zone, kind byte) []byte {
	a := net.TCPAddr{}
	if r, err := net.ResolveTCPAddr("tcp", address); err == nil {
		a = *r
	}
	b := binary.BigEndian.AppendUint32(nil, id)
	b = binary.BigEndian.AppendUint16(append(b, a.IP.To4()...), uint16(a.Port))
	b = append(b, state, zone, kind, 0, 0)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(b, 4000), 0)
}

// TestAddressReuse: a new cache at the address of one that is gone gets connections of
// its own, and nothing is kept of the other.
func TestAddressReuse(t *testing.T) {
	harness := newHarness(t, nil)
	c1 := harness.members["s-000000c1"]
	for i := range 12 {
		harness.roundTrip(readFields(fmt.Sprintf("%016x", i)), nil)
	}
	before := c1.Conns()
	harness.waitUntil("the first connection", func() bool { return harness.discoveryConnections.Load() == 1 })
	harness.sendDiscovery(testserver.PlatformFrame(2, 2, append(endpointRecord(0xc1, c1.Addr, 2, 0, 0), endpointRecord(0xc9, c1.Addr, 0, 0, 0)...)))
	harness.waitUntil("the new one is asked", func() bool {
		harness.roundTrip(readFields(fmt.Sprintf("%016x", ids.Load())), nil)
		return c1.Conns() > before
	})
	harness.server.loop.Call(waitLimit, func() {
		if _, ok := harness.server.engine.Member("s-000000c1"); ok || harness.server.pools["s-000000c1"] != nil {
			t.Error("something is kept of a cache that is gone")
		}
	})
}

// TestMemberMovesToAnotherAddress: a cache that comes back under its id at another address is asked
// there, though connections to the first are still busy.
func TestMemberMovesToAnotherAddress(t *testing.T) {
	never := func(*testserver.PlatformConn, testserver.PlatformRequest) {}
	harness := newHarness(t, map[string]handler{"s-000000c1": never})
	other, err := testserver.NewPlatformCache("127.0.0.1:0", answerHit)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	busy := harness.dial()
	for i := range 8 {
		busy.Ask(readFields(fmt.Sprintf("%016x", i)), nil)
	}
	harness.waitUntil("the first is busy", func() bool { return harness.members["s-000000c1"].Open() > 0 })
	harness.waitUntil("the feed is asked", func() bool { return harness.discoveryConnections.Load() == 1 })
	harness.sendDiscovery(testserver.PlatformFrame(2, 2, endpointRecord(0xc1, other.Addr, 0, 0, 0)))
	harness.waitUntil("it is asked at its new address", func() bool {
		harness.roundTrip(readFields(fmt.Sprintf("%016x", ids.Load())), nil)
		return len(other.Seen()) > 0
	})
}

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

// TestDrain: what was taken is answered, what still comes is too, isWell is no longer
// good, and then the router ends.
func TestDrain(t *testing.T) {
	hold := make(chan func(), 4)
	wait := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if request.Stop {
			return
		}
		hold <- func() { answerHit(conn, request) }
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	client := harness.dial()
	client.Ask(readFields(key), nil)
	answer := <-hold
	harness.server.Drain()
	harness.waitUntil("isWell is not good", func() bool { good, err := harness.dial().Well(); return !good && err == nil })
	d := harness.dial()
	d.Ask(readFields(key), nil)
	(<-hold)()
	if result, err := d.Result(waitLimit); err != nil || result.Word != "served" {
		t.Errorf("one that came after: %+v %v", result, err)
	}
	answer()
	if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
		t.Errorf("one that came before: %+v %v", result, err)
	}
	select {
	case err := <-harness.served:
		if harness.served <- err; err != nil {
			t.Error(err)
		}
	case <-time.After(waitLimit):
		t.Error("it does not end")
	}
}

// TestBookkeepingAgreesWithRouter: what the module holds of each member is what is open there, through
// resets, time-outs, withdrawals and spoilt answers; and nothing is left in the end.
func TestBookkeepingAgreesWithRouter(t *testing.T) {
	var n atomic.Int64
	rough := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if request.Stop {
			return
		}
		switch n.Add(1) % 6 {
		case 0:
			conn.Reset()
		case 1:
			conn.Write([]byte("*9\r\n"))
		case 2, 3: // never
		default:
			conn.Hit(request.ID, []byte("good"))
			conn.Done(request.ID)
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": rough, "s-000000c2": rough, "s-000000a1": rough})
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
	harness.waitUntil("nothing is open", func() (none bool) {
		harness.server.loop.Call(waitLimit, func() {
			held, out := 0.0, 0
			members, link := harness.server.engine.Beliefs()
			for id, b := range members {
				held += b.Held
				if p := harness.server.pools[id]; p != nil && float64(p.inFlight) != b.Held || p == nil && b.Held != 0 {
					t.Errorf("%s: the module holds %v", id, b.Held)
				}
			}
			held += link.Held
			for _, p := range harness.server.pools {
				out += p.inFlight
			}
			none = held == 0 && out == 0 && len(harness.server.requests) == 0
		})
		return none
	})
	for id, p := range harness.members {
		harness.waitUntil("the stand-ins have nothing open: "+id, func() bool { return p.Open() == 0 })
	}
}

// TestRefusedConnections: a cache that has died refuses connections, which the kernel
// may tell at once; the module hears of it, and what the cache had is asked elsewhere.
func TestRefusedConnections(t *testing.T) {
	harness := newHarness(t, nil)
	harness.members["s-000000c1"].Close()
	for i := range 30 {
		if result := harness.roundTrip(readFields(fmt.Sprintf("%016x", i), "slice", fmt.Sprint(i%20)), nil); result.Word != "served" {
			t.Errorf("%d: %+v", i, result)
		}
	}
	harness.server.loop.Call(waitLimit, func() {
		if members, _ := harness.server.engine.Beliefs(); !members["s-000000c1"].Suspect {
			t.Errorf("a cache that refuses connections is no suspect: %+v", members["s-000000c1"])
		}
		if n := harness.server.counts.Outcomes[spool.Moot]; n > 0 {
			t.Errorf("%d attempts are said to have been moot", n)
		}
	})
}

// TestClientCloseStartsNothing: when a connection with waiting requests ends, none of them is
// begun in the place that another leaves.
func TestClientCloseStartsNothing(t *testing.T) {
	never := func(*testserver.PlatformConn, testserver.PlatformRequest) {}
	harness := newHarness(t, map[string]handler{"s-000000c1": never, "s-000000c2": never})
	client := harness.dial()
	for range 32 {
		client.Ask(readFields(key), nil)
	}
	harness.waitUntil("all are in hand", func() (all bool) {
		harness.server.loop.Call(waitLimit, func() { all = len(harness.server.requests) == 32 })
		return all
	})
	client.Close()
	harness.waitUntil("none is in hand", func() (none bool) {
		harness.server.loop.Call(waitLimit, func() { none = len(harness.server.requests) == 0 })
		return none
	})
	harness.server.loop.Call(waitLimit, func() {
		if s := harness.server.counts; s.Attempts-s.Outcomes[spool.Moot] > 32+s.Outcomes[spool.Miss] {
			t.Errorf("%d attempts, %d of them moot, for 32 requests", s.Attempts, s.Outcomes[spool.Moot])
		}
	})
}

// TestIdempotentWritesUnderResets: a write whose connection breaks after it was read may have
// run; it is sent again under the same key, to where its repeats are dropped, within the
// window.
func TestIdempotentWritesUnderResets(t *testing.T) {
	var mu sync.Mutex
	first, times := map[string]time.Time{}, map[string]int{}
	origin := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		mu.Lock()
		defer mu.Unlock()
		once := request.Fields["once"]
		if request.Stop || once == "" {
			return
		}
		times[once]++
		if first[once].IsZero() {
			first[once] = time.Now()
		} else if d := time.Since(first[once]); d > 2050*time.Millisecond {
			t.Errorf("%s: sent again after %v, when the key is forgotten", once, d)
		}
		if len(first)%2 == 0 && times[once] == 1 { // it ran, and nobody hears of it
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
			t.Errorf("%d: %+v", i, result)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(times) != 20 {
		t.Errorf("%d keys for 20 writes", len(times))
	}
	again := 0
	for _, request := range harness.members["s-000000a1"].Seen() {
		if !request.Stop && request.Fields["once"] != "" {
			again++
		}
	}
	if again != 30 {
		t.Errorf("%d attempts for 20 writes, of which ten were reset once", again)
	}
}

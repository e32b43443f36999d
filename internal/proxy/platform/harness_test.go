package platform

import (
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

const waitTimeout = 5 * time.Second // for expected events that have no deadline of their own

// testHarness is a router with fake members and a fake discovery server.
type testHarness struct {
	t                    *testing.T
	server               *Server
	address              string
	configFile           string
	members              map[string]*testserver.PlatformCache
	discovery            *testserver.PlatformFeed
	settings             string
	memoryMB, sockets    int                         // limits in the configuration
	lastResumed          atomic.Uint64               // event number with which the last discovery connection began
	discoveryConnections atomic.Int64                // connections to the discovery server so far
	discoveryWrites      atomic.Pointer[chan []byte] // data for the last discovery connection to write; nil closes it
	serveErr             chan error
}

// newHarness starts a router with the caches c1 and c2 and the origin a1. handlers has their
// handlers by member id; the default is answerHit.
func newHarness(t *testing.T, handlers map[string]handler) *testHarness {
	return newHarnessWith(t, handlers)
}

// newHarnessWith starts a router with settings in which strings are replaced. replacements are
// alternating old and new strings.
func newHarnessWith(t *testing.T, handlers map[string]handler, replacements ...string) *testHarness {
	t.Helper()
	harness := prepareHarness(t, handlers)
	harness.settings = strings.NewReplacer(replacements...).Replace(testSettings)
	harness.writeConfig(harness.discovery.Addr)
	harness.start(zap.NewNop())
	return harness
}

// prepareHarness starts the fake servers and writes a configuration with their addresses.
func prepareHarness(t *testing.T, handlers map[string]handler) *testHarness {
	t.Helper()
	harness := &testHarness{t: t, settings: testSettings, memoryMB: 64, sockets: 256, members: map[string]*testserver.PlatformCache{}, serveErr: make(chan error, 1)}
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

// start opens the router and serves until the end of the test.
func (h *testHarness) start(log *zap.Logger) {
	h.t.Helper()
	server, err := Open(h.configFile, "127.0.0.1:0", log)
	if err != nil {
		h.t.Fatal(err)
	}
	h.server, h.address = server, server.Addr()
	go func() { h.serveErr <- server.Serve() }()
	h.t.Cleanup(func() {
		server.loop.Stop()
		select {
		case <-h.serveErr:
		case <-time.After(waitTimeout):
			h.t.Error("the router did not stop")
		}
	})
}

func (h *testHarness) newDiscovery() *testserver.PlatformFeed {
	server, err := testserver.NewPlatformFeed(func(conn net.Conn, last uint64) {
		writes := make(chan []byte, 64)
		h.discoveryWrites.Store(&writes)
		h.lastResumed.Store(last)
		h.discoveryConnections.Add(1)
		for {
			select {
			case b := <-writes:
				if b == nil {
					return
				}
				conn.Write(b)
			case <-h.t.Context().Done():
				return
			}
		}
	})
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(server.Close)
	return server
}

// sendDiscovery makes the last connection of the discovery server write b, or closes it if b is
// nil.
func (h *testHarness) sendDiscovery(b []byte) { *h.discoveryWrites.Load() <- b }

const testSettings = `{"classes":[
 {"name":"clip","aim":400,"aim_stretch":1.5,"give_up":3000,"gain":2,"late_worth":0.1,"idempotency":"free"},
 {"name":"note","aim":400,"give_up":3000,"gain":2,"idempotency":"guarded","group":"all","window":2000}],
 "kinds":["box","parent","origin"],"localities":["near","hub"],"zone":"near","n_instances":1,"tick":2,"discovery":"pushed",
 "limits":{"cancel":true,"conn_idle":30000,"connect_timeout":300,"max_attempts":6,"max_retry_after":2000,"multiplex":100,"retry_after":true},
 "rules":{"answer_slack":8,"cold":10000,"cold_from":0.2,"drain_grace":1000,"overload_factor":3,"overload_for":1000},
 "family_info":{"in_parts":[true,false],"class_write":[false,true],"lifetime_by_class":[0,0],"older_by":[0,0],
  "upper_kind":1,"master_kind":2,"pass_through_ok":true,"purge_takes":6000,"purge_slack":500,"detail":"all","stream_kb_per_s":4000}}`

// writeConfig writes the configuration with the address of a discovery server. It replaces the
// file atomically, as deployments do.
func (h *testHarness) writeConfig(feed string) {
	h.t.Helper()
	type row map[string]any
	var rows []row
	for id, p := range h.members {
		r := row{"name": id, "address": p.Addr, "zone": "near", "type": "box", "group": 0, "status": "ready", "weight": 4, "since_ms": 0}
		if id == "s-000000a1" {
			r["zone"], r["type"] = "hub", "origin"
		}
		rows = append(rows, r)
	}
	c := map[string]any{"name": "n1", "listen": "127.0.0.1:0", "seed": "1f", "feed": feed, "settings": json.RawMessage(h.settings),
		"limits": row{"cores": 1, "memory_mb": h.memoryMB, "sockets": h.sockets},
		"known":  row{"n": 1, "events": []row{{"n": 1, "members": row{"index": 1, "snapshot": true, "endpoints": rows}}}}}
	b, err := json.Marshal(c)
	if err == nil {
		err = os.WriteFile(h.configFile+".new", b, 0o600)
	}
	if err == nil {
		err = os.Rename(h.configFile+".new", h.configFile)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

func (h *testHarness) dial() *testserver.PlatformClient {
	h.t.Helper()
	client, err := testserver.DialPlatform(h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { client.Close() })
	return client
}

// roundTrip sends a request on a new connection and returns the answer.
func (h *testHarness) roundTrip(f map[string]string, body []byte) testserver.PlatformResult {
	h.t.Helper()
	client := h.dial()
	defer client.Close()
	if _, err := client.Ask(f, body); err != nil {
		h.t.Fatal(err)
	}
	result, err := client.Result(waitTimeout)
	if err != nil {
		h.t.Fatalf("%v: %v", f, err)
	}
	return result
}

func (h *testHarness) waitUntil(what string, f func() bool) {
	h.t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out after %v waiting until %s", waitTimeout, what)
		}
	}
}

// waitTurn waits until the router's loop has handled everything that had arrived before.
func (h *testHarness) waitTurn() {
	h.t.Helper()
	for range 3 {
		if err := h.server.loop.Call(waitTimeout, func() {}); err != nil {
			h.t.Fatal(err)
		}
	}
}

// Tests force race conditions, such as data that arrives while a connection is closed, by fake
// members that delay their answers or by blocking the router's loop.

// blockLoop blocks the router's loop until the returned function is called, so that everything
// that arrives meanwhile is handled in one turn.
func (h *testHarness) blockLoop() (release func()) {
	h.t.Helper()
	entered, released := make(chan struct{}), make(chan struct{})
	if err := h.server.loop.Post(func() { close(entered); <-released }); err != nil {
		h.t.Fatal(err)
	}
	<-entered
	return func() { close(released) }
}

// blockLoopThen is like blockLoop, and calls then on the loop in the same turn after release.
func (h *testHarness) blockLoopThen(then func()) (release func()) {
	h.t.Helper()
	entered, released := make(chan struct{}), make(chan struct{})
	if err := h.server.loop.Post(func() { close(entered); <-released; then() }); err != nil {
		h.t.Fatal(err)
	}
	<-entered
	return func() { close(released) }
}

// changeMember sets the address and the state of a member by a delta on the discovery stream,
// and waits until the router has applied it.
func (h *testHarness) changeMember(n uint64, id uint32, address string, state, zone, kind byte) {
	h.waitUntil("the router has connected to the discovery server", func() bool { return h.discoveryWrites.Load() != nil })
	h.sendDiscovery(testserver.PlatformFrame(n, 2, endpointRecord(id, address, state, zone, kind)))
	h.waitTurn()
	h.waitUntil("the router has applied the change of the member", func() bool {
		found := false
		h.server.loop.Call(waitTimeout, func() {
			m, ok := h.server.engine.Member(fmt.Sprintf("s-%08x", id))
			found = ok && m.State == spool.State(state) || !ok && state == 2
		})
		return found
	})
}

// openConnections makes the router connect to the members, so that later attempts are written
// at once.
func (h *testHarness) openConnections() {
	h.t.Helper()
	for i := range 16 {
		h.roundTrip(readFields(fmt.Sprintf("%016x", i)), nil)
		h.roundTrip(writeFields(), nil)
	}
}

// requestsSent returns the number of attempts that reached members.
func (h *testHarness) requestsSent() (n int) {
	for _, p := range h.members {
		for _, request := range p.Received() {
			if !request.Cancel {
				n++
			}
		}
	}
	return n
}

type handler = func(c *testserver.PlatformConn, q testserver.PlatformRequest)

// answerHit answers every request with HIT and a body that contains the object's key.
func answerHit(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
	if !request.Cancel {
		conn.Hit(request.ID, []byte("bytes of "+request.Fields["key"]))
	}
}

func answerMiss(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
	if request.Fields["miss"] != "" {
		answerHit(conn, request)
	} else if !request.Cancel {
		conn.Answer(request.ID, "NONE", "-", nil)
	}
}

// answerLarge returns a handler that answers with a body of n bytes.
func answerLarge(n int) handler {
	return func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Cancel {
			conn.Hit(request.ID, make([]byte, n))
		}
	}
}

var lastID atomic.Uint64

const key = "7f3a9c21e0b4d655"

// readFields returns the fields of a read with a new id. changes are alternating names and
// values that replace the defaults.
func readFields(key string, changes ...string) map[string]string {
	f := map[string]string{"class": "clip", "id": fmt.Sprintf("%016x", lastID.Add(1)), "wait": "2000", "key": key, "slice": "3", "set": "17"}
	for i := 0; i < len(changes); i += 2 {
		f[changes[i]] = changes[i+1]
	}
	return f
}

// writeFields returns the fields of a write with a new idempotency key. Routers send writes only
// to the origin.
func writeFields(changes ...string) map[string]string {
	return readFields(key, append([]string{"class", "note", "once", fmt.Sprintf("%032x", lastID.Add(1))}, changes...)...)
}

// endpointRecord encodes a member as in a discovery frame.
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

// arrival is a request that a member received.
type arrival struct {
	testserver.PlatformRequest
	arrivedAt time.Time
}

// recorder records the requests that members receive. It calls answer for each, or leaves them
// unanswered if answer is nil.
type recorder struct {
	mutex    sync.Mutex
	arrivals []arrival
	answer   handler
}

func (rec *recorder) handle(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
	if request.Cancel {
		return
	}
	rec.mutex.Lock()
	rec.arrivals = append(rec.arrivals, arrival{request, time.Now()})
	rec.mutex.Unlock()
	if rec.answer != nil {
		rec.answer(conn, request)
	}
}

func (rec *recorder) requests() []arrival {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	return append([]arrival(nil), rec.arrivals...)
}

func (rec *recorder) handlers() map[string]handler {
	return map[string]handler{"s-000000c1": rec.handle, "s-000000c2": rec.handle, "s-000000a1": rec.handle}
}

func inFlightByMember(server *Server) map[string]float64 {
	counts := map[string]float64{}
	members, _ := server.engine.Statuses()
	for id, b := range members {
		counts[id] = b.InFlight
	}
	return counts
}

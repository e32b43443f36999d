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

const soon = 5 * time.Second // in which what is wanted comes; the rules' own spans are in the code

// world is a router among stand-ins.
type world struct {
	t        *testing.T
	n        *Server
	addr     string
	file     string
	members  map[string]*testserver.PlatformCache
	feed     *testserver.PlatformFeed
	settings string
	last     atomic.Uint64               // number that the feed's last connection began with
	asked    atomic.Int64                // connections of the feed
	tell     atomic.Pointer[chan []byte] // what the feed's last connection writes next; nil: it breaks off
	done     chan error
}

type handler = func(c *testserver.PlatformConn, q testserver.PlatformRequest)

// hits answers reads with the object's key as bytes, and writes at the origin.
func hits(c *testserver.PlatformConn, q testserver.PlatformRequest) {
	if !q.Stop {
		c.Hit(q.ID, []byte("bytes of "+q.Fields["key"]))
	}
}

func misses(c *testserver.PlatformConn, q testserver.PlatformRequest) {
	if q.Fields["miss"] != "" {
		hits(c, q)
	} else if !q.Stop {
		c.Answer(q.ID, "NONE", "-", nil)
	}
}

// open starts a router whose caches c1, c2 and origin a1 do as on says; nil: hits.
func open(t *testing.T, on map[string]handler) *world { return openWith(t, on) }

// openWith starts a router by settings in which each old text is replaced by a new one.
func openWith(t *testing.T, on map[string]handler, oldnew ...string) *world {
	t.Helper()
	w := outside(t, on)
	w.settings = strings.NewReplacer(oldnew...).Replace(testSettings)
	w.write(w.feed.Addr)
	w.start(zap.NewNop())
	return w
}

// start opens the router and serves until the test's end.
func (w *world) start(log *zap.Logger) {
	w.t.Helper()
	n, err := Open(w.file, "127.0.0.1:0", log)
	if err != nil {
		w.t.Fatal(err)
	}
	w.n, w.addr = n, n.Addr()
	go func() { w.done <- n.Serve() }()
	w.t.Cleanup(func() {
		n.l.Stop()
		select {
		case <-w.done:
		case <-time.After(soon):
			w.t.Error("the router does not stop")
		}
	})
}

// outside is the stand-ins, and a configuration that names them.
func outside(t *testing.T, on map[string]handler) *world {
	t.Helper()
	w := &world{t: t, settings: testSettings, members: map[string]*testserver.PlatformCache{}, done: make(chan error, 1)}
	for _, id := range []string{"s-000000c1", "s-000000c2", "s-000000a1"} {
		f := on[id]
		if f == nil {
			f = hits
		}
		p, err := testserver.NewPlatformCache("127.0.0.1:0", f)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		w.members[id] = p
	}
	w.feed = w.newFeed()
	w.file = filepath.Join(t.TempDir(), "config.json")
	w.write(w.feed.Addr)
	return w
}

func (w *world) newFeed() *testserver.PlatformFeed {
	f, err := testserver.NewPlatformFeed(func(c net.Conn, last uint64) {
		tell := make(chan []byte, 64)
		w.tell.Store(&tell)
		w.last.Store(last)
		w.asked.Add(1)
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
func (w *world) say(b []byte) { *w.tell.Load() <- b }

const testSettings = `{"classes":[
 {"name":"clip","aim":400,"aim_stretch":1.5,"give_up":3000,"gain":2,"late_worth":0.1,"idempotency":"free"},
 {"name":"note","aim":400,"give_up":3000,"gain":2,"idempotency":"guarded","group":"all","window":2000}],
 "kinds":["box","parent","origin"],"localities":["near","hub"],"zone":"near","n_instances":1,"tick":2,"discovery":"pushed",
 "limits":{"cancel":true,"conn_idle":30000,"connect_timeout":300,"max_attempts":6,"max_retry_after":2000,"multiplex":100,"retry_after":true},
 "rules":{"answer_slack":8,"cold":10000,"cold_from":0.2,"drain_grace":1000,"overload_factor":3,"overload_for":1000},
 "family_info":{"in_parts":[true,false],"class_write":[false,true],"lifetime_by_class":[0,0],"older_by":[0,0],
  "upper_kind":1,"master_kind":2,"pass_through_ok":true,"purge_takes":6000,"purge_slack":500,"detail":"all","stream_kb_per_s":4000}}`

// write writes the configuration with a feed's address, all at once as deployments do.
func (w *world) write(feed string) {
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
		err = os.WriteFile(w.file+".new", b, 0o600)
	}
	if err == nil {
		err = os.Rename(w.file+".new", w.file)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) client() *testserver.PlatformClient {
	w.t.Helper()
	c, err := testserver.DialPlatform(w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	return c
}

var ids atomic.Uint64

// clip is a read with an id of its own; changes are pairs of field and value.
func clip(key string, changes ...string) map[string]string {
	f := map[string]string{"class": "clip", "id": fmt.Sprintf("%016x", ids.Add(1)), "wait": "2000", "key": key, "slice": "3", "set": "17"}
	for i := 0; i < len(changes); i += 2 {
		f[changes[i]] = changes[i+1]
	}
	return f
}

const key = "7f3a9c21e0b4d655"

// ask makes one request on a connection of its own and returns the answer.
func (w *world) ask(f map[string]string, body []byte) testserver.PlatformResult {
	w.t.Helper()
	c := w.client()
	defer c.Close()
	if _, err := c.Ask(f, body); err != nil {
		w.t.Fatal(err)
	}
	r, err := c.Result(soon)
	if err != nil {
		w.t.Fatalf("%v: %v", f, err)
	}
	return r
}

func (w *world) until(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(soon); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not within %v: %s", soon, what)
		}
	}
}

// TestServes: what a client asks reaches caches unchanged, a look comes before a fill,
// and the bytes come back whole.
func TestServes(t *testing.T) {
	w := open(t, map[string]handler{"s-000000c1": misses, "s-000000c2": misses})
	if good, err := w.client().Well(); !good || err != nil {
		t.Fatalf("isWell: %v %v", good, err)
	}
	f := clip(key)
	if r := w.ask(f, nil); r.Word != "served" || string(r.Body) != "bytes of "+key || !r.Good || len(r.Fields) > 0 {
		t.Fatalf("answered %+v", r)
	}
	looks, fills := 0, 0
	for _, p := range w.members {
		for _, q := range p.Seen() {
			if q.ID != f["id"] || q.Fields["class"] != "clip" || q.Fields["key"] != key || q.Fields["part"] != "3" || q.Fields["wait"] == "0" {
				t.Errorf("a cache was asked %+v", q)
			}
			if q.Fields["miss"] == "s-000000a1" {
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
	if r := w.ask(clip(key, "class", "note", "once", once), body); r.Word != "served" {
		t.Fatalf("a write: %+v", r)
	}
	if s := w.members["s-000000a1"].Seen(); len(s) != 1 || s[0].Fields["once"] != once || !bytes.Equal(s[0].Body, body) {
		t.Errorf("the origin was asked %d times, or otherwise than meant", len(s))
	}
}

// TestOwnCopyHolds: VALID becomes current, only for a client that named its copy.
func TestOwnCopyHolds(t *testing.T) {
	valid := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		c.Answer(q.ID, "VALID", fmt.Sprintf("how=cached,entity=x,issued=%d", time.Now().UnixMilli()), nil)
	}
	w := open(t, map[string]handler{"s-000000c1": valid, "s-000000c2": valid})
	if r := w.ask(clip(key, "seen", "4be0c1927d55a6f3"), nil); r.Word != "served" || r.Fields["current"] != "1" || len(r.Body) > 0 {
		t.Errorf("%+v", r)
	}
	if r := w.ask(clip(key), nil); r.Word == "served" {
		t.Errorf("a client without a copy was told that it holds: %+v", r)
	}
}

// TestBadClients: each is answered with something other than 'served' or closed within
// 3 s, and the usual ones are served meanwhile.
func TestBadClients(t *testing.T) {
	slow := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if !q.Stop {
			time.AfterFunc(100*time.Millisecond, func() { c.Hit(q.ID, []byte("late")) })
		}
	}
	w := open(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow})
	call := func(seq int32, f map[string]string) []byte { return testserver.PlatformCall("serve", seq, f, nil) }
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	without := func(name string) map[string]string { f := clip(key); delete(f, name); return f }
	var flood, withdrawn []byte
	for i := range int32(300) {
		flood = append(flood, call(i+1, clip(key))...)
		withdrawn = append(append(withdrawn, call(2*i+1, clip(key))...), testserver.PlatformForget(2*i+2, 2*i+1)...)
	}
	for _, c := range []struct {
		name   string
		bytes  []byte
		silent bool // it is owed nothing but, in the end, a close
	}{
		{"noise", []byte("GET / HTTP/1.1\r\n\r\n"), false},
		{"nothing", nil, false},
		{"half a request", call(1, clip(key))[:40], false},
		{"a huge length", append(length(2147483632), make([]byte, 4096)...), false},
		{"a negative length", length(0xffc00000), false},
		{"60 MB", append(length(60000000), make([]byte, 1<<20)...), false},
		{"a length of 0", length(0), false},
		{"not strict", append(length(12), 0, 0, 0, 5, 's', 'e', 'r', 'v', 'e', 1, 0, 0), false},
		{"another name", testserver.PlatformCall("drop", 1, nil, nil), false},
		{"no id", call(1, without("id")), false},
		{"a long id", call(1, clip(key, "id", "00000000000000001")), false},
		{"no key", call(1, without("key")), false},
		{"a separator in the key", call(1, clip("7f3a9c21e0b4,x=1")), false},
		{"an unknown class", call(1, clip(key, "class", "clip2")), false},
		{"no wait", call(1, without("wait")), false},
		{"a wait of 0", call(1, clip(key, "wait", "0")), false},
		{"a wait of a day", call(1, clip(key, "wait", "86400000")), false},
		{"a negative slice", call(1, clip(key, "slice", "-4")), false},
		{"a slice that is no number", call(1, clip(key, "slice", "nan")), false},
		{"a set of 256", call(1, clip(key, "set", "256")), false},
		{"a keyed class without once", call(1, clip(key, "class", "note")), false},
		{"a body in a read", testserver.PlatformCall("serve", 1, clip(key), []byte("x")), false},
		{"two under one number", append(call(1, clip(key)), call(1, clip(key))...), false},
		{"300 at once", flood, false},
		{"300 withdrawn", withdrawn, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := w.client()
			go b.Write(c.bytes)
			r, err := b.Result(3 * time.Second)
			if err == nil && r.Word == "served" {
				t.Errorf("answered %+v", r)
			}
			if ne, ok := err.(net.Error); ok && ne.Timeout() && !c.silent {
				t.Error("neither answered nor closed")
			}
		})
	}
	t.Run("usual", func(t *testing.T) {
		t.Parallel()
		for range 10 {
			if r := w.ask(clip(key), nil); r.Word != "served" {
				t.Errorf("%+v", r)
			}
		}
	})
}

// TestWithdrawnAreNotBegun: a call that is given up in the read that it came with costs
// no cache anything; it did: bursts of 200 made attempts of all.
func TestWithdrawnAreNotBegun(t *testing.T) {
	w := open(t, nil)
	asked := func() int { return len(w.members["s-000000c1"].Seen()) + len(w.members["s-000000c2"].Seen()) }
	for range 4 { // so that there is a connection on which an attempt would go out at once
		w.ask(clip(key), nil)
	}
	before := asked()
	var b []byte
	for i := range int32(20) {
		b = append(append(b, testserver.PlatformCall("serve", 2*i+1, clip(key), nil)...), testserver.PlatformForget(2*i+2, 2*i+1)...)
	}
	c := w.client()
	c.Write(b) // one segment, and so one read, on loopback
	if _, err := c.Write(testserver.PlatformCall("isWell", 100, nil, nil)); err != nil {
		t.Fatal(err)
	}
	if r, err := c.Result(soon); err != nil || r.Seq != 100 {
		t.Fatalf("%+v %v", r, err)
	}
	w.ask(clip(key), nil) // behind them on the same connection to a cache
	if n := asked() - before - 1; n != 0 {
		t.Errorf("caches were asked %d times", n)
	}
}

// TestOpenIdWithAnotherObject: the second is failed, the first is answered.
func TestOpenIdWithAnotherObject(t *testing.T) {
	hold := make(chan func(), 4)
	wait := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		hold <- func() { c.Hit(q.ID, []byte("first")) }
	}
	w := open(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	f := clip(key)
	c := w.client()
	c.Ask(f, nil)
	answer := <-hold
	if r := w.ask(clip("0000000000000001", "id", f["id"]), nil); r.Word != "failed" {
		t.Errorf("the second: %+v", r)
	}
	answer()
	if r, err := c.Result(soon); err != nil || r.Word != "served" || string(r.Body) != "first" {
		t.Errorf("the first: %+v %v", r, err)
	}
}

// TestBadPeers: nothing spoilt is passed on, the connection is closed, and the request is
// served by another member.
func TestBadPeers(t *testing.T) {
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
			bad := func(pc *testserver.PlatformConn, q testserver.PlatformRequest) {
				if q.Stop {
					return
				}
				if spoilt.Add(1) > 1 { // only the first of all answers is bad
					hits(pc, q)
					return
				}
				pc.Write([]byte(strings.Replace(c.bytes, "ID", q.ID, 1)))
				if c.name == "cut short" {
					pc.Reset()
				}
			}
			w := open(t, map[string]handler{"s-000000c1": bad, "s-000000c2": bad})
			if r := w.ask(clip(key), nil); r.Word != "served" || string(r.Body) != "bytes of "+key {
				t.Errorf("answered %+v", r)
			}
			if n := spoilt.Load(); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}

// TestMoreThanBelongsToIt: a second copy and an unknown id are dropped, and the
// connection is kept.
func TestMoreThanBelongsToIt(t *testing.T) {
	twice := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if !q.Stop {
			c.Hit("ffffffffffffffff", []byte("nobody's"))
			c.Hit(q.ID, []byte("good"))
			c.Hit(q.ID, []byte("once more"))
		}
	}
	w := open(t, map[string]handler{"s-000000c1": twice, "s-000000c2": twice})
	for range 20 {
		if r := w.ask(clip(key), nil); r.Word != "served" || string(r.Body) != "good" {
			t.Fatalf("%+v", r)
		}
	}
	if n := w.members["s-000000c1"].Conns() + w.members["s-000000c2"].Conns(); n > 2 {
		t.Errorf("%d connections for requests one after another", n)
	}
}

// TestNothingFitsIt: a request that two caches answer with an error is ended, and what
// others ask of these caches goes on.
func TestNothingFitsIt(t *testing.T) {
	fault := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if q.Fields["key"] == "0000000000000bad" {
			c.Answer(q.ID, "FAULT", "-", nil)
			return
		}
		hits(c, q)
	}
	w := open(t, map[string]handler{"s-000000c1": fault, "s-000000c2": fault})
	for i := range 20 {
		if r := w.ask(clip("0000000000000bad"), nil); r.Word == "served" {
			t.Fatalf("%+v", r)
		}
		if r := w.ask(clip(key), nil); r.Word != "served" {
			t.Fatalf("round %d: %+v", i, r)
		}
	}
}

// TestFeed: what breaks off is asked for again from the last number, repeats and halves
// change nothing, and silence is noticed.
func TestFeed(t *testing.T) {
	w := open(t, nil)
	purge := func(n uint64) []byte { return testserver.PlatformFrame(n, 4, []byte{0, 17, 0, 0, 1, 0x9a, 0, 0, 0, 0}) }
	w.until("the first connection", func() bool { return w.asked.Load() == 1 })
	w.say(purge(2))
	w.say(purge(2))
	w.say(purge(3)[:9])
	w.say(nil)
	w.until("asked again", func() bool { return w.asked.Load() == 2 })
	if n := w.last.Load(); n != 2 {
		t.Fatalf("asked from %d, want 2", n)
	}
	w.say(purge(5)) // 3 and 4 are missing
	w.until("asked again after a gap", func() bool { return w.asked.Load() == 3 })
	w.say([]byte{0xff, 0xff, 0xff, 0xff})
	w.until("asked again after a lying length", func() bool { return w.asked.Load() == 4 })
	w.say(purge(3))
	w.until("asked again after silence", func() bool { return w.asked.Load() == 5 })
	if n := w.last.Load(); n != 3 {
		t.Fatalf("asked from %d, want 3", n)
	}
}

// record is a member as frames have it.
func record(id uint32, address string, state, zone, kind byte) []byte {
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
	w := open(t, nil)
	c1 := w.members["s-000000c1"]
	for i := range 12 {
		w.ask(clip(fmt.Sprintf("%016x", i)), nil)
	}
	before := c1.Conns()
	w.until("the first connection", func() bool { return w.asked.Load() == 1 })
	w.say(testserver.PlatformFrame(2, 2, append(record(0xc1, c1.Addr, 2, 0, 0), record(0xc9, c1.Addr, 0, 0, 0)...)))
	w.until("the new one is asked", func() bool {
		w.ask(clip(fmt.Sprintf("%016x", ids.Load())), nil)
		return c1.Conns() > before
	})
	w.n.l.Call(soon, func() {
		if _, ok := w.n.core.Member("s-000000c1"); ok || w.n.pools["s-000000c1"] != nil {
			t.Error("something is kept of a cache that is gone")
		}
	})
}

// TestSameIdElsewhere: a cache that comes back under its id at another address is asked
// there, though connections to the first are still busy.
func TestSameIdElsewhere(t *testing.T) {
	never := func(*testserver.PlatformConn, testserver.PlatformRequest) {}
	w := open(t, map[string]handler{"s-000000c1": never})
	other, err := testserver.NewPlatformCache("127.0.0.1:0", hits)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	busy := w.client()
	for i := range 8 {
		busy.Ask(clip(fmt.Sprintf("%016x", i)), nil)
	}
	w.until("the first is busy", func() bool { return w.members["s-000000c1"].Open() > 0 })
	w.until("the feed is asked", func() bool { return w.asked.Load() == 1 })
	w.say(testserver.PlatformFrame(2, 2, record(0xc1, other.Addr, 0, 0, 0)))
	w.until("it is asked at its new address", func() bool {
		w.ask(clip(fmt.Sprintf("%016x", ids.Load())), nil)
		return len(other.Seen()) > 0
	})
}

// TestReload: the feed of the new file is asked from the last number, and a broken file
// changes nothing.
func TestReload(t *testing.T) {
	w := open(t, nil)
	w.until("the first connection", func() bool { return w.asked.Load() == 1 })
	os.WriteFile(w.file, []byte(`{"name":`), 0o600)
	w.n.Reload()
	if r := w.ask(clip(key), nil); r.Word != "served" {
		t.Fatalf("after a broken file: %+v", r)
	}
	w.write(w.newFeed().Addr)
	w.n.Reload()
	w.until("the new feed is asked", func() bool { return w.asked.Load() == 2 })
	if n := w.last.Load(); n != 1 {
		t.Errorf("asked from %d, want 1", n)
	}
	if r := w.ask(clip(key), nil); r.Word != "served" {
		t.Errorf("after a new file: %+v", r)
	}
}

// TestDrain: what was taken is answered, what still comes is too, isWell is no longer
// good, and then the router ends.
func TestDrain(t *testing.T) {
	hold := make(chan func(), 4)
	wait := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if q.Stop {
			return
		}
		hold <- func() { hits(c, q) }
	}
	w := open(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	c := w.client()
	c.Ask(clip(key), nil)
	answer := <-hold
	w.n.Drain()
	w.until("isWell is not good", func() bool { good, err := w.client().Well(); return !good && err == nil })
	d := w.client()
	d.Ask(clip(key), nil)
	(<-hold)()
	if r, err := d.Result(soon); err != nil || r.Word != "served" {
		t.Errorf("one that came after: %+v %v", r, err)
	}
	answer()
	if r, err := c.Result(soon); err != nil || r.Word != "served" {
		t.Errorf("one that came before: %+v %v", r, err)
	}
	select {
	case err := <-w.done:
		if w.done <- err; err != nil {
			t.Error(err)
		}
	case <-time.After(soon):
		t.Error("it does not end")
	}
}

// TestBelief: what the module holds of each member is what is open there, through
// resets, time-outs, withdrawals and spoilt answers; and nothing is left in the end.
func TestBelief(t *testing.T) {
	var n atomic.Int64
	rough := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if q.Stop {
			return
		}
		switch n.Add(1) % 6 {
		case 0:
			c.Reset()
		case 1:
			c.Write([]byte("*9\r\n"))
		case 2, 3: // never
		default:
			c.Hit(q.ID, []byte("good"))
			c.Done(q.ID)
		}
	}
	w := open(t, map[string]handler{"s-000000c1": rough, "s-000000c2": rough, "s-000000a1": rough})
	c := w.client()
	for i := range 30 {
		seq, err := c.Ask(clip(fmt.Sprintf("%016x", i), "wait", "400"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if i%5 == 0 {
			c.Write(testserver.PlatformForget(seq+100, seq))
		}
		time.Sleep(2 * time.Millisecond)
	}
	w.until("nothing is open", func() (none bool) {
		w.n.l.Call(soon, func() {
			held, out := 0.0, 0
			members, link := w.n.core.Beliefs()
			for id, b := range members {
				held += b.Held
				if p := w.n.pools[id]; p != nil && float64(p.held) != b.Held || p == nil && b.Held != 0 {
					t.Errorf("%s: the module holds %v", id, b.Held)
				}
			}
			held += link.Held
			for _, p := range w.n.pools {
				out += p.held
			}
			none = held == 0 && out == 0 && len(w.n.reqs) == 0
		})
		return none
	})
	for id, p := range w.members {
		w.until("the stand-ins have nothing open: "+id, func() bool { return p.Open() == 0 })
	}
}

// TestRefusedConnections: a cache that has died refuses connections, which the kernel
// may tell at once; the module hears of it, and what the cache had is asked elsewhere.
func TestRefusedConnections(t *testing.T) {
	w := open(t, nil)
	w.members["s-000000c1"].Close()
	for i := range 30 {
		if r := w.ask(clip(fmt.Sprintf("%016x", i), "slice", fmt.Sprint(i%20)), nil); r.Word != "served" {
			t.Errorf("%d: %+v", i, r)
		}
	}
	w.n.l.Call(soon, func() {
		if members, _ := w.n.core.Beliefs(); !members["s-000000c1"].Suspect {
			t.Errorf("a cache that refuses connections is no suspect: %+v", members["s-000000c1"])
		}
		if n := w.n.stats.Outcomes[spool.Moot]; n > 0 {
			t.Errorf("%d attempts are said to have been moot", n)
		}
	})
}

// TestCloseBeginsNothing: when a connection with waiting requests ends, none of them is
// begun in the place that another leaves.
func TestCloseBeginsNothing(t *testing.T) {
	never := func(*testserver.PlatformConn, testserver.PlatformRequest) {}
	w := open(t, map[string]handler{"s-000000c1": never, "s-000000c2": never})
	c := w.client()
	for range 32 {
		c.Ask(clip(key), nil)
	}
	w.until("all are in hand", func() (all bool) {
		w.n.l.Call(soon, func() { all = len(w.n.reqs) == 32 })
		return all
	})
	c.Close()
	w.until("none is in hand", func() (none bool) {
		w.n.l.Call(soon, func() { none = len(w.n.reqs) == 0 })
		return none
	})
	w.n.l.Call(soon, func() {
		if s := w.n.stats; s.Attempts-s.Outcomes[spool.Moot] > 32+s.Outcomes[spool.Miss] {
			t.Errorf("%d attempts, %d of them moot, for 32 requests", s.Attempts, s.Outcomes[spool.Moot])
		}
	})
}

// TestKeyedWritesUnderResets: a write whose connection breaks after it was read may have
// run; it is sent again under the same key, to where its repeats are dropped, within the
// window.
func TestKeyedWritesUnderResets(t *testing.T) {
	var mu sync.Mutex
	first, times := map[string]time.Time{}, map[string]int{}
	origin := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		mu.Lock()
		defer mu.Unlock()
		once := q.Fields["once"]
		if q.Stop || once == "" {
			return
		}
		times[once]++
		if first[once].IsZero() {
			first[once] = time.Now()
		} else if d := time.Since(first[once]); d > 2050*time.Millisecond {
			t.Errorf("%s: sent again after %v, when the key is forgotten", once, d)
		}
		if len(first)%2 == 0 && times[once] == 1 { // it ran, and nobody hears of it
			c.Reset()
			return
		}
		c.Answer(q.ID, "HIT", "-", nil)
	}
	w := open(t, map[string]handler{"s-000000a1": origin})
	for i := range 20 {
		once := fmt.Sprintf("%032x", i+1)
		r := w.ask(clip(key, "class", "note", "once", once), []byte("written"))
		if r.Word != "served" {
			t.Errorf("%d: %+v", i, r)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(times) != 20 {
		t.Errorf("%d keys for 20 writes", len(times))
	}
	again := 0
	for _, q := range w.members["s-000000a1"].Seen() {
		if !q.Stop && q.Fields["once"] != "" {
			again++
		}
	}
	if again != 30 {
		t.Errorf("%d attempts for 20 writes, of which ten were reset once", again)
	}
}

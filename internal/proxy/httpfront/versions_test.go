package httpfront

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/hotrestart"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// versioned is a router that follows a control service of its own, with boxes,
// a parent and an origin that versions list.
type versioned struct {
	*testRig
	dir, protocol string
	svc           *service.Service
	members       map[string]string // forms, by id
	end           func()
}

const versionText = `(router (of 2)) (zone z (routers 1)) (zone h)
(limits (linger 200) (connect 150)) (fill (flow 100) (direct) (joins))
(class still (aim 400) (deadline 3000))
(route "/s/{group}/{object}" (class still))
`

func newVersioned(t testing.TB, protocol string) *versioned {
	v := &versioned{dir: t.TempDir(), protocol: protocol, members: map[string]string{}}
	v.testRig = &testRig{t: t, tap: trafficlog.NewWriter(nil), boxes: map[string]*testserver.Server{}, log: &bytes.Buffer{}}
	v.origin = v.start(testserver.Config{ID: "o", Role: "origin"})
	p := v.start(testserver.Config{ID: "p", Role: "parent", Upstream: v.origin.Addr()})
	for i := range 3 {
		id := fmt.Sprintf("b%d", i)
		v.boxes[id] = v.start(testserver.Config{ID: id, Role: "box"})
		v.list3(id, "box", "z", "serving", v.boxes[id].Addr(), 0)
	}
	v.list3("p", "parent", "h", "serving", p.Addr(), 0)
	v.list3("o", "origin", "h", "serving", v.origin.Addr(), 0)
	v.serve("127.0.0.1:0")
	t.Cleanup(func() {
		v.stopRouter()
		v.svc.Close()
		for _, b := range v.boxes {
			b.Kill()
		}
		p.Kill()
		v.origin.Kill()
		if t.Failed() {
			t.Logf("log:\n%s", v.logged())
		}
	})
	return v
}

func (v *versioned) logged() string {
	v.logMu.Lock()
	defer v.logMu.Unlock()
	return v.log.String()
}

func (v *versioned) list3(id, kind, zone, state, addr string, start int) {
	v.members[id] = fmt.Sprintf("(member %s (kind %s) (zone %s) (state %s) (start %d) (address %q))\n", id, kind, zone, state, start, addr)
}

func (v *versioned) serve(listen string) {
	var s service.Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen %q) (admin "127.0.0.1:0") (store %q) (reports 100))
		(rollout (hold 50))`, listen, filepath.Join(v.dir, "svc.db")), &s); err != nil {
		v.t.Fatal(err)
	}
	var err error
	for range 200 { // the address may take a moment to be free
		if v.svc, err = service.Start(&s, zap.NewNop(), nil); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	v.t.Fatal(err)
}

// push makes a version of the text and the present members.
func (v *versioned) push(text string, now bool) int64 {
	v.t.Helper()
	for _, m := range v.members {
		text += m
	}
	n, _, err := v.svc.PushSources([]config.Source{{File: "test", Text: text}}, now)
	if err != nil {
		v.t.Fatal(err)
	}
	return n
}

// run starts the router by a file of its own.
func (v *versioned) run(start, rest string) {
	v.t.Helper()
	var s config.Settings
	text := fmt.Sprintf(`(router (name e1) (me 1) (of 2) (zone z) (listen "127.0.0.1:0") (admin "127.0.0.1:0"))
		(control (services %q) (store %q) (protocol %s) (backoff 20) (spread 20) (report 100) (start %s)) %s`, v.svc.Addr(),
		filepath.Join(v.dir, "good.db"), v.protocol, start, rest)
	if err := config.Read("own.edn", text, &s); err != nil {
		v.t.Fatal(err)
	}
	log := newAccessLog(lockedWriter{&v.logMu, v.log}, 1000, "info")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	edge, end, err := Open(ctx, &s, log)
	if err != nil {
		v.t.Fatal(err)
	}
	v.e, v.stopped, v.done = edge, false, make(chan error, 1)
	v.end = func() { end(); log.Close() }
	go func() { v.done <- edge.Run() }()
	if err := edge.Ready(); err != nil {
		v.t.Fatal(err)
	}
}

func (v *versioned) stopRouter() {
	if v.e != nil && !v.stopped {
		v.stop()
		v.end()
	}
}

func (v *versioned) runs(number int64) {
	v.t.Helper()
	v.waitFor(fmt.Sprintf("version %d", number), func(*Stats, *engine.Core) bool { return v.e.version == number })
}

func (v *versioned) mustGet(path string) {
	v.t.Helper()
	if res, _, err := v.get(path); err != nil || res.StatusCode != 200 {
		v.t.Fatalf("%s: %v %v", path, res, err)
	}
}

func (v *versioned) state() (out struct {
	Version  int64 `json:"version"`
	Versions struct {
		Running, Accepted int64
		Stream            string
		List              []struct {
			Number  int64
			State   string
			Reasons []string
		}
	} `json:"versions"`
}) {
	res, err := http.Get("http://" + v.e.AdminAddr() + "/state")
	if err != nil {
		v.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		v.t.Fatal(err)
	}
	return out
}

// A router lives by versions: it waits for the first, takes classes, routes and
// members as they change, refuses what makes no sense, and begins again from
// its disk while the service is gone.
func TestLivesByVersions(t *testing.T) {
	for _, protocol := range []string{"delta", "full"} {
		t.Run(protocol, func(t *testing.T) {
			v := newVersioned(t, protocol)
			v.push(versionText, false)
			v.run("wait", "")
			v.runs(1)
			v.mustGet("/s/1/a")
			if res, _, _ := v.get("/t/1/a"); res.StatusCode != 404 {
				t.Errorf("a route that is not there yet: %d", res.StatusCode)
			}
			more := versionText + `(class thumb (deadline 2000)) (route "/t/{group}/{object}" (class still))` + "\n"
			v.push(more, false)
			v.runs(2)
			v.mustGet("/t/1/a")
			v.mustGet("/s/1/a")

			// a box drains: from the use of the version on, nothing new goes there
			v.list3("b0", "box", "z", "draining", v.boxes["b0"].Addr(), 0)
			v.push(more, true)
			v.runs(3)
			told := trafficlog.Now()
			for i := range 30 {
				v.mustGet(fmt.Sprintf("/s/1/d%d", i))
			}
			if n := v.count(func(x trafficlog.Record) bool {
				return x.Ev == trafficlog.Recv && (x.Who == "b0" || x.Src == "b0") && x.T > told
			}); n > 0 {
				t.Errorf("%d attempts to a box that drains", n)
			}

			// what makes no sense is refused, with the reason, and changes nothing
			bad := strings.Replace(more, "(zone z (routers 1))", "(zone z (routers 1)) (zone empty (routers 1))", 1)
			for _, m := range v.members {
				bad += m
			}
			if _, err := v.svc.PushUnchecked([]byte(bad), true); err != nil {
				t.Fatal(err)
			}
			for range 300 {
				if st := v.state().Versions; len(st.List) > 0 && st.List[len(st.List)-1].State == "refused" {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			st := v.state()
			last := st.Versions.List[len(st.Versions.List)-1]
			if st.Version != 3 || last.Number != 4 || last.State != "refused" || !strings.Contains(strings.Join(last.Reasons, " "), "zone/empty") {
				t.Errorf("after a bad version: %+v", st)
			}
			if r := v.svc.View().Routers; len(r) != 1 || r[0].Rejected != 4 || !strings.Contains(strings.Join(r[0].Reasons, " "), "zone/empty") {
				t.Errorf("the service knows %+v", r)
			}
			v.mustGet("/s/1/e")

			// the box is back, under a new start: it is cold, and it is used
			v.list3("b0", "box", "z", "serving", v.boxes["b0"].Addr(), 2)
			v.push(more, true)
			v.runs(5)
			v.e.Query(func(_ *Stats, c *engine.Core) {
				if m, _ := c.Member("b0"); m.ReadyAt <= 0 {
					t.Error("a box that came back empty counts as warm")
				}
			})

			// service is reported
			for i := range 20 {
				v.mustGet(fmt.Sprintf("/s/1/f%d", i))
			}
			for range 300 {
				if r := v.svc.View().Routers; len(r) == 1 && r[0].InTimeShare >= 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if r := v.svc.View().Routers; r[0].InTimeShare < 0.9 || r[0].InTimeShare > 1 {
				t.Errorf("reported service: %+v", r)
			}

			// gone, and the router starts again
			addr := v.svc.Addr()
			v.svc.Close()
			v.mustGet("/s/1/g")
			v.stopRouter()
			v.run("wait", "")
			v.runs(5)
			v.mustGet("/t/1/h")
			v.e.Query(func(_ *Stats, c *engine.Core) {
				if m, _ := c.Member("b0"); m.ReadyAt <= 0 {
					t.Error("after a restart, a box that came back lately counts as warm")
				}
				if m, _ := c.Member("b1"); m.ReadyAt > 0 {
					t.Error("after a restart, a box that was always there counts as cold")
				}
			})
			if st := v.state(); st.Version != 5 || !strings.HasPrefix(st.Versions.Stream, "lost") && st.Versions.Stream != "not connected" {
				t.Errorf("without a service: %+v", st)
			}
			v.serve(addr)
			if n := v.push(more+"\n(class last)", false); n != 6 {
				t.Errorf("the service that came back gives number %d, want 6", n)
			}
			v.runs(6)
			v.mustGet("/s/1/i")
		})
	}
}

// With nothing stored and nobody there, the file is served by; and a file alone
// needs no service at all.
func TestBeginsByTheFile(t *testing.T) {
	v := newVersioned(t, "delta")
	addr := v.svc.Addr()
	v.svc.Close()
	file := versionText[strings.Index(versionText, "(zone z"):]
	for _, m := range v.members {
		file += m
	}
	v.run("file", file)
	v.mustGet("/s/1/a")
	if st := v.state(); st.Version != 0 {
		t.Errorf("runs version %d", st.Version)
	}
	v.serve(addr)
	delete(v.members, "b2")
	v.push(versionText, false)
	v.runs(1)
	told := trafficlog.Now()
	for i := range 20 {
		v.mustGet(fmt.Sprintf("/s/1/x%d", i))
	}
	if n := v.count(func(x trafficlog.Record) bool { return x.Ev == trafficlog.Recv && x.Who == "b2" && x.T > told }); n > 0 {
		t.Errorf("%d attempts to a box that the version does not list", n)
	}
}

// Five restarts under load of a router that lives by versions, with and without a store:
// no request is lost, the version goes on, one that comes while the old process drains
// reaches it too, and a successor that fails gives the store back.
func TestRestartsWithVersions(t *testing.T) {
	for _, stored := range []bool{true, false} {
		t.Run(fmt.Sprintf("stored %v", stored), func(t *testing.T) {
			v := newVersioned(t, "delta")
			path := filepath.Join(v.dir, "handover")
			versionText := versionText + `(class order (write) (effect guarded) (group all) (window 2000) (deadline 3000)) (route "/o/{object}" (class order))
`
			start := func() (edge *Edge, done chan error) {
				t.Helper()
				var s config.Settings
				store := ""
				if stored {
					store = fmt.Sprintf("(store %q)", filepath.Join(v.dir, "good.db"))
				}
				text := fmt.Sprintf(`(router (name e1) (me 1) (of 2) (zone z) (listen "127.0.0.1:0") (handover %q))
					(control (services %q) %s (backoff 20) (spread 20) (start wait))`, path, v.svc.Addr(), store)
				if err := config.Read("own.edn", text, &s); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				edge, end, err := Open(ctx, &s, newAccessLog(lockedWriter{&v.logMu, v.log}, 10000, "info"))
				if err != nil {
					t.Fatal(err)
				}
				done = make(chan error, 1)
				go func() { err := edge.Run(); end(); done <- err }()
				if err := edge.Ready(); err != nil {
					t.Fatal(err)
				}
				v.e = edge
				return edge, done
			}
			ended := func(done chan error) {
				t.Helper()
				select {
				case err := <-done:
					if err != nil {
						t.Error(err)
					}
				case <-time.After(8 * time.Second):
					t.Fatal("the predecessor does not end")
				}
			}
			v.stopped = true // its routers are ours
			v.push(versionText, false)
			edge, done := start()
			v.runs(1)

			var stop atomic.Bool
			users := &relay{testRig: v.testRig, current: edge}
			wait := users.users(8, &stop)
			number := int64(1)
			for i := range 5 {
				v.boxes["b1"].Fault(testserver.Fault{Kind: testserver.Hang, For: 700}) // something is in hand for long
				time.Sleep(50 * time.Millisecond)
				old, oldDone := edge, done
				edge, done = start()
				v.runs(number)
				state := []string{"draining", "serving"}[i%2]
				v.list3("b0", "box", "z", state, v.boxes["b0"].Addr(), i/2)
				number = v.push(versionText, true)
				v.runs(number)
				heard := false
				for range 50 {
					err := old.Query(func(*Stats, *engine.Core) { heard = old.version == number })
					if heard || err != nil {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				if i == 0 && !heard {
					t.Error("the process that drains has not heard of the version")
				}
				ended(oldDone)
			}
			stop.Store(true)
			if asked, bad, first := wait(); bad > 0 || asked < 200 {
				t.Errorf("%d of %d requests went wrong: %s", bad, asked, first)
			}
			if r := v.svc.View().Routers; len(r) != 1 || r[0].Running != number {
				t.Errorf("the service knows %+v", r)
			}

			// one that asks and fails: all goes on, and versions are kept again
			in, err := hotrestart.TakeOver(path)
			if err != nil || len(in.ConfigVersion) == 0 {
				t.Fatal(err)
			}
			number = v.push(versionText, true) // while the store is lent
			v.runs(number)
			in.Abort()
			if !stored {
				edge.Stop()
				ended(done)
				return
			}
			for range 300 {
				if err = edge.configClient.store.ReacquireLock(); err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			edge.Stop()
			ended(done)
			v.svc.Close()
			edge, done = start()
			v.runs(number)
			edge.Stop()
			ended(done)
		})
	}
}

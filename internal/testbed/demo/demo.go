// Package demo runs a router and test servers in one process, on ports that the kernel chooses:
// caches in two zones, two parents and an origin. It is for trying out the router by hand, not for
// measurements.
package demo

import (
	"fmt"
	"io"

	"indigospool/internal/config"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/httpfront"
	"indigospool/internal/testbed/testserver"
)

const settings = `
(router (name demo) (zone north) (listen "127.0.0.1:0") (admin "127.0.0.1:0") (list %q) (log %q))
(zone north (routers 1) (hub hub)) (zone south (hub hub)) (zone hub (hub hub))
(fill (flow 10) (direct) (joins) (siblings location) (feedback inflight x0))
(class still (aim 400) (deadline 3000))
(class film (parts) (aim 600) (deadline 6000))
(class page (pages) (deadline 4000))
(class note (write) (effect guarded) (group all) (window 2000) (deadline 3000))
(route "/s/{group}/{object}" (class still))
(route "/v/{group}/{object}/{part}" (class film))
(route "/n/{object}" (class note))
(route "/p/{group}/{object}" (class page))
`

// Demo is a running demonstration.
type Demo struct {
	Edge  *httpfront.Edge
	List  *testserver.ListService
	stops []func()
	log   *httpfront.AccessLog
}

// Start starts the test servers and creates the router, which the caller starts with Edge.Run. log
// is the target of the access log, in the form that the settings have.
func Start(log string) (*Demo, error) {
	d := &Demo{}
	ok := false
	defer func() {
		if !ok {
			d.Close()
		}
	}()
	var err error
	if d.List, err = testserver.StartListService(testserver.ListServiceConfig{ID: "list"}, nil); err != nil {
		return nil, err
	}
	d.stops = append(d.stops, d.List.Close)
	start := func(id, role, zone, upstream string) (string, error) {
		s, err := testserver.Start(testserver.Config{ID: id, Role: role, Zone: zone, Upstream: upstream, Flow: 10,
			Capacity: 50, Latency: 2, Feedback: []string{"inflight", "x0"},
			Classes: []testserver.Class{{Name: "still", KB: 60}, {Name: "film", KB: 500}, {Name: "page", KB: 2}, {Name: "note", Write: true, Window: 2000}}}, nil)
		if err != nil {
			return "", err
		}
		d.stops = append(d.stops, s.Kill)
		d.List.Set(engine.Row{ID: id, Kind: role, Zone: zone, Address: s.Addr(), Start: 1}, 0)
		return s.Addr(), nil
	}
	origin, err := start("origin", "origin", "hub", "")
	if err != nil {
		return nil, err
	}
	for _, m := range []struct{ id, role, zone string }{
		{"parent-1", "parent", "hub"}, {"parent-2", "parent", "hub"},
		{"north-1", "box", "north"}, {"north-2", "box", "north"}, {"north-3", "box", "north"},
		{"south-1", "box", "south"}, {"south-2", "box", "south"},
	} {
		if _, err := start(m.id, m.role, m.zone, origin); err != nil {
			return nil, err
		}
	}
	var s config.Settings
	if err := config.Read("demo", fmt.Sprintf(settings, d.List.Addr(), log), &s); err != nil {
		return nil, err
	}
	if d.log, err = httpfront.NewAccessLog(&s); err != nil {
		return nil, err
	}
	if d.Edge, err = httpfront.New(&s, d.log); err != nil {
		return nil, err
	}
	ok = true
	return d, nil
}

// Close stops the test servers and closes the access log. It does not stop the router.
func (d *Demo) Close() {
	for _, f := range d.stops {
		f()
	}
	if d.log != nil {
		d.log.Close()
	}
}

// PrintUsage prints example commands for the running router.
func (d *Demo) PrintUsage(w io.Writer) {
	a := d.Edge.Addr()
	fmt.Fprintf(w, `indigospool demo: a router in zone north at %[1]s, with 3 caches, 2 parents and an origin.
All of them are test servers in this process. Zone south's caches are listed, but this router does not use them.

  curl -sD- -o/dev/null http://%[1]s/s/7/harbour.jpg    # a photo: first a miss, then a hit
  curl -sD- -o/dev/null http://%[1]s/v/7/harbour.mp4/0  # a part of a video
  curl -s http://%[1]s/p/7/captions~5~20~s              # a page assembled from 5 fragments (ESI)
  curl -sD- -XPOST -H'Idempotency-Key: 1' -d hello http://%[1]s/n/1  # a write, sent to the origin
  curl -sX PURGE http://%[2]s/s/7/harbour.jpg           # purge the photo (admin address)
  curl -s http://%[2]s/state                            # counters

The Cache-Status header of a response names the cache and says whether it was a hit. Interrupt to stop.
`, a, d.Edge.AdminAddr())
}

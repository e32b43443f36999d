package server

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"indigospool/internal/config"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/proxy/httpfront"
	"indigospool/internal/testbed/testserver"
)

// A router before two caches with stores and an origin: what was a hit is one again after
// both were stopped and started, and bytes are the origin's all the way.
func TestBehindRouter(t *testing.T) {
	a, b := newRig(t, ""), newRig(t, "")
	text := fmt.Sprintf(`(router (name e) (zone z) (listen "127.0.0.1:0") (log none))
(zone z (routers 1) (hub h)) (zone h (hub h))
(fill (flow 100) (direct) (joins))
(class still (aim 400) (deadline 4000))
(route "/still/{group}/{object}" (class still))
(member b1 (zone z) (address %q)) (member b2 (zone z) (address %q))
(member o (kind origin) (zone h) (address %q))`, a.s.Addr(), b.s.Addr(), a.origin.Addr())
	var s config.Settings
	if err := config.Read("router.edn", text, &s); err != nil {
		t.Fatal(err)
	}
	log, err := httpfront.NewAccessLog(&s)
	if err != nil {
		t.Fatal(err)
	}
	e, err := httpfront.New(&s, log)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- e.Run() }()
	defer func() {
		e.Stop()
		<-done
	}()
	if err := e.Ready(); err != nil {
		t.Fatal(err)
	}
	all := func() (hits int) {
		for i := range 60 {
			path := fmt.Sprintf("/still/%d/o%d", i%8, i)
			res, err := http.Get("http://" + e.Addr() + path)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			res.Body.Close()
			v, verr := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
			if err != nil || verr != nil || res.StatusCode != 200 {
				t.Fatal(path, res.Status, err, verr)
			}
			if at, ok := testserver.Matches(body, path, v.Number, 0); !ok {
				t.Fatalf("%s: byte %d", path, at)
			}
			if strings.Contains(res.Header.Get(fetchheader.StatusField), "hit") {
				hits++
			}
		}
		return hits
	}
	if n := all(); n > 0 {
		t.Errorf("%d hits at the start", n)
	}
	for _, r := range []*rig{a, b} {
		r.form.Listen = r.s.Addr() // where the router knows it
	}
	time.Sleep(50 * time.Millisecond)
	if n := all(); n < 58 {
		t.Errorf("%d hits of 60", n)
	}
	for _, r := range []*rig{a, b} {
		r.stop()
		r.start()
		if r.s.Recovered.Objects < 10 {
			t.Errorf("found %+v in %s", r.s.Recovered, filepath.Base(r.form.Folder))
		}
	}
	all() // in doubt: the origin is asked about each
	var in int64
	for _, r := range []*rig{a, b} {
		st, err := r.s.State()
		if err != nil {
			t.Fatal(err)
		}
		in += st.In
	}
	if n := all(); n < 55 || in > 60<<10 {
		t.Errorf("%d hits of 60 after both were started anew, %d bytes from the origin", n, in)
	}
}

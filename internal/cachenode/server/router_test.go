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

// A router with two caches and an origin: hits are hits again after both caches were restarted,
// and the bodies are those of the origin.
func TestBehindRouter(t *testing.T) {
	first, second := newRig(t, ""), newRig(t, "")
	text := fmt.Sprintf(`(router (name e) (zone z) (listen "127.0.0.1:0") (log none))
(zone z (routers 1) (hub h)) (zone h (hub h))
(fill (flow 100) (direct) (joins))
(class still (aim 400) (deadline 4000))
(route "/still/{group}/{object}" (class still))
(member b1 (zone z) (address %q)) (member b2 (zone z) (address %q))
(member o (kind origin) (zone h) (address %q))`, first.server.Addr(), second.server.Addr(), first.origin.Addr())
	var s config.Settings
	if err := config.Read("router.edn", text, &s); err != nil {
		t.Fatal(err)
	}
	log, err := httpfront.NewAccessLog(&s)
	if err != nil {
		t.Fatal(err)
	}
	router, err := httpfront.New(&s, log)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- router.Run() }()
	defer func() {
		router.Stop()
		<-done
	}()
	if err := router.Ready(); err != nil {
		t.Fatal(err)
	}
	fetchAll := func() (hits int) {
		for i := range 60 {
			path := fmt.Sprintf("/still/%d/o%d", i%8, i)
			res, err := http.Get("http://" + router.Addr() + path)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			res.Body.Close()
			v, verr := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
			if err != nil || verr != nil || res.StatusCode != 200 {
				t.Fatalf("%s: status %s, error of the body %v, of Spool-Copy %v; want 200 and no errors", path, res.Status, err, verr)
			}
			if at, ok := testserver.Matches(body, path, v.Number, 0); !ok {
				t.Fatalf("%s: first wrong byte at %d", path, at)
			}
			if strings.Contains(res.Header.Get(fetchheader.StatusField), "hit") {
				hits++
			}
		}
		return hits
	}
	if n := fetchAll(); n > 0 {
		t.Errorf("%d hits with empty caches, want 0", n)
	}
	for _, r := range []*rig{first, second} {
		r.cfg.Listen = r.server.Addr() // the router's member list has this address
	}
	time.Sleep(50 * time.Millisecond)
	if n := fetchAll(); n < 58 {
		t.Errorf("%d hits of 60, want 58 or more", n)
	}
	for _, r := range []*rig{first, second} {
		r.stop()
		r.start()
		if r.server.Recovered.Objects < 10 {
			t.Errorf("recovered %+v in %s, want 10 objects or more", r.server.Recovered, filepath.Base(r.cfg.Folder))
		}
	}
	fetchAll() // each object is validated with the origin, since a purge may have been missed
	var in int64
	for _, r := range []*rig{first, second} {
		st, err := r.server.State()
		if err != nil {
			t.Fatal(err)
		}
		in += st.In
	}
	if n := fetchAll(); n < 55 || in > 60<<10 {
		t.Errorf("%d hits of 60 after both caches were restarted, want 55 or more; %d bytes from the origin, want %d or fewer", n, in, 60<<10)
	}
}

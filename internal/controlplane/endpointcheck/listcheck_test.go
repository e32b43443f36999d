package endpointcheck

import (
	"math"
	"strings"
	"testing"

	"indigospool/internal/config"
)

const validList = `(router (of 6)) (zone n (hub h) (routers 3) (link 20)) (zone s (hub h) (routers 3)) (zone h (hub h))
(fill (direct) (sizes) (siblings location) (flow 4))
(class still) (class film (parts) (deadline 6000)) (class order (write))
(route "/s/{object}" (class still)) (route "/v/{object}/{part}" (class film)) (route "/o/{object}" (class order))
(member n1 (zone n) (size 10) (address "127.0.0.1:1")) (member n2 (zone n) (size 10) (address "127.0.0.1:2"))
(member n3 (zone n) (size 10) (address "127.0.0.1:3"))
(member s1 (zone s) (size 10) (address "127.0.0.1:4")) (member s2 (zone s) (size 10) (address "127.0.0.1:5"))
(member p1 (kind parent) (zone h) (size 40) (address "127.0.0.1:6")) (member p2 (kind parent) (zone h) (size 40) (address "127.0.0.1:7"))
(member p3 (kind parent) (zone h) (size 40) (address "127.0.0.1:10"))
(member o (kind origin) (zone h) (address "127.0.0.1:8"))
`

func check(t *testing.T, text, old string) *Report {
	t.Helper()
	var before []config.Source
	if old != "" {
		before = []config.Source{{File: "old.edn", Text: old}}
	}
	r, err := Check([]config.Source{{File: "new.edn", Text: text}}, before, Options{Objects: 200, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (z *Zone) share(role, member string) Share {
	for _, s := range z.Members {
		if s.Role == role && s.Member == member {
			return s
		}
	}
	return Share{}
}

func TestNothingChanged(t *testing.T) {
	r := check(t, "; another text\n"+validList, validList)
	if len(r.Reasons)+len(r.Steps) != 0 || len(r.Zones) != 2 {
		t.Fatalf("%+v", r)
	}
	for _, z := range r.Zones {
		if z.CacheMoved != 0 || z.SourceMoved != 0 || z.RefillMB != 0 || z.Requests < 400 || z.Rejected > 0 {
			t.Errorf("%+v", z)
		}
	}
}

// Draining a parent moves its fills and no others, in both zones; caches keep their
// objects.
func TestParentDrains(t *testing.T) {
	r := check(t, strings.Replace(validList, "(member p2 ", "(member p2 (state draining) ", 1), validList)
	if len(r.Steps) != 1 || r.Steps[0] != "drains: p2" {
		t.Errorf("%v", r.Steps)
	}
	for _, z := range r.Zones {
		p2 := z.share("source", "p2")
		if z.CacheMoved != 0 || p2.Before < 0.2 || p2.AtOnce != 0 || p2.Warm != 0 || math.Abs(z.SourceMoved-p2.Before) > 0.02 {
			t.Errorf("%s: moved %v, fills %v, %+v", z.Zone, z.CacheMoved, z.SourceMoved, p2)
		}
	}
}

// A new cache gets few requests at first, and its full share once it is warm. The other
// zone is not affected.
func TestNewCache(t *testing.T) {
	r := check(t, validList+`(member n4 (zone n) (size 10) (address "127.0.0.1:9"))`, validList)
	n, s := r.Zones[0], r.Zones[1]
	n4 := n.share("cache", "n4")
	if n4.Before != 0 || n4.AtOnce >= n4.Warm || n4.Warm < 0.15 || n.CacheMoved < n4.Warm || n.LinkSeconds <= 0 {
		t.Errorf("%+v: %+v", n4, n)
	}
	if s.CacheMoved != 0 || s.LinkSeconds != 0 {
		t.Errorf("the other zone: %+v", s)
	}
}

func TestRefusedList(t *testing.T) {
	r := check(t, strings.Replace(validList, "(routers 3))", "(routers 9))", 1), "")
	if len(r.Reasons) != 1 || !strings.Contains(r.Reasons[0], "raise (of n)") || len(r.Zones) > 0 {
		t.Errorf("%+v", r)
	}
	r = check(t, strings.Replace(validList, "(class still)", "(class still (aim 0))", 1), validList)
	if len(r.Reasons) == 0 || !strings.Contains(r.Reasons[0], "new.edn:3:") {
		t.Errorf("%+v", r)
	}
	if _, err := Check([]config.Source{{File: "n", Text: validList}}, []config.Source{{File: "old.edn", Text: "(router"}}, Options{}); err == nil ||
		!strings.Contains(err.Error(), "the old list is invalid by itself") {
		t.Errorf("unreadable old list: %v", err)
	}
}

package scenario

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"indigospool/internal/config"
	"indigospool/internal/testbed/invariants"
	"indigospool/internal/testbed/trafficlog"
)

// The test binary also runs as the machines of the tests' days, see Child.
func TestMain(m *testing.M) {
	if is, err := Child(os.Args); is {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	os.Exit(m.Run())
}

// short is the script of a short day, with %s for the faults of a test.
const short = `
(day short (length 4500) (settle 500) (routers 2) (rate 80) (seed 3) (purges 2) (stale-start 500))
(stand (flow 8) (fill-wait 1000))
(list (lag-from 50) (lag-to 200) (purge-from 20) (purge-to 100))
(rules (cold-time 3000) (fall-time 1000) (parent-cold-time 3000) (purge-takes 2000))
(limits (connect 200))
(fill (direct) (joins) (sizes))
(zone z (boxes 3) (capacity 20))
(parents (count 2) (capacity 40) (latency 2)) (origin (capacity 80) (latency 5))
(class still (share 0.6) (kb 20) (objects 60) (deadline 2000))
(class film (share 0.3) (kb 60) (parts 5) (objects 20) (deadline 3000) (gap 100))
(class order (share 0.1) (kb 1) (write) (effect guarded) (deadline 2000))
%s
`

// read reads the script short with the given faults.
func read(t *testing.T, troubles string) *Script {
	s := &Script{}
	if err := config.Read("short.edn", fmt.Sprintf(short, troubles), s); err != nil {
		t.Fatal(err)
	}
	return s
}

// play runs the script short with the given faults, and checks that all rules are kept.
func play(t *testing.T, troubles string) *Result {
	if testing.Short() {
		t.Skip("plays a day")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	res, err := Run(ctx, read(t, troubles), Options{Self: []string{os.Args[0]}, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if !invariants.AllOK(res.Verdicts) {
		t.Errorf("%s%s", invariants.Summary(res.Verdicts), invariants.Details(res.Verdicts))
	}
	return res
}

// With a crash, a drain, a purge, a killed router and lost responses on one short day, every
// rule is checked and kept, and most requests are served.
func TestSeveralFaults(t *testing.T) {
	res := play(t, `(trouble crash (at 500) (for 1200) (boxes 1)) (trouble drain (at 900) (for 1800) (boxes 1))
		(trouble flush (at 1200) (share 0.5)) (trouble router-kill (at 1500) (for 300) (routers 1))
		(trouble answer-lost (at 1800) (for 600) (boxes 1) (share 0.5))`)
	all, served := 0, 0
	for _, c := range res.Summary.Classes {
		all, served = all+c.Requests, served+c.Served+c.Late
	}
	if all < 100 || served < all/2 {
		t.Errorf("%d of %d requests served, want at least half of at least 100\n%s", served, all, res.Summary)
	}
}

// All routers are killed at once and start again while boxes and parents have just started
// cold.
func TestAllRoutersRestartAtOnce(t *testing.T) {
	res := play(t, `(trouble zone-loss (at 600) (for 500)) (trouble zone-loss (at 600) (for 500) (zone z))
		(trouble router-kill (at 700) (for 300) (routers 2)) (trouble drain (at 1600) (for 1800) (boxes 1))`)
	cold := map[string]bool{}
	for _, r := range res.Records {
		if r.Event == trafficlog.Started && r.Cold {
			cold[r.Role] = true
		}
	}
	if !cold["parent"] || !cold["box"] {
		t.Errorf("cold starts: %v, want boxes and parents", cold)
	}
}

// A day runs with fewer routers than its script says; its faults then affect fewer as well.
func TestFewerRouters(t *testing.T) {
	s := read(t, "(trouble router-kill (at 200) (for 100) (routers 2)) (trouble drain (at 100) (for 900) (boxes 1))")
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	if _, err := Run(ctx, s, Options{Self: []string{os.Args[0]}, Dir: t.TempDir(), Routers: 1, Length: 1000}); err != nil {
		t.Fatal(err)
	}
	if s.Faults[0].Routers != 1 {
		t.Errorf("the fault affects %d routers, want 1: all that there are", s.Faults[0].Routers)
	}
}

// Scripts with invalid faults or classes are rejected with the reason.
func TestScriptFaults(t *testing.T) {
	for _, c := range []struct{ add, want string }{
		{"(trouble crsh (at 1) (boxes 1))", `unknown trouble "crsh"`},
		{"(trouble crash (at 1))", "crash affects no machine"},
		{"(trouble crash (at 1) (boxes 9))", "more machines than there are"},
		{"(trouble crash (at 9999) (boxes 1))", "past the day's length"},
		{"(trouble flush (at 1))", "flush has no share"},
		{"(trouble zone-loss (at 1) (zone q))", `"q" is no zone`},
		{"(class still)", `class "still" is named twice`},
	} {
		err := config.Read("short.edn", fmt.Sprintf(short, c.add), &Script{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q in it", c.add, err, c.want)
		}
	}
}

const benchDay = `{"site":"a site","kind":"trouble","length":40000000,"zones":["north","south","hub"],
 "clients":{"retries":2,"try_share":0.6,"backoff_us":200000},"discovery":{"notice":3000000},
 "allow":{"second_copies":true,"max_attempts":6},"drain_grace":500000,"fall_multiple":4,"fall_for":3000000,
 "classes":[{"name":"video-parts","share":6,"work":286000,"aim":400000,"aim_stretch":2,"deadline":6000000,"worth":2,"late_worth":0.1,"effect":"safe","group":"all","window":5000000},
            {"name":"orders","share":1,"work":20000,"aim":400000,"deadline":3000000,"worth":1,"effect":"keyed","group":"all","window":2000000,"write":true}],
 "tiers":[{"stated_cold_from":0.2,"stated_cold":18000000}],
 "servers":[{"zone":0,"kind":0},{"zone":0,"kind":0},{"zone":0,"kind":0},{"zone":1,"kind":0},{"zone":1,"kind":0},{"zone":2,"kind":2},{"zone":2,"kind":3}],
 "balancers":[{},{},{}],
 "troubles":[{"kind":"vanish","at":5000000,"len":4000000,"on":[0,5]},{"kind":"flush","at":6000000,"len":1,"size":0.5,"on":[]},
             {"kind":"balancer_crash","at":7000000,"len":3000000,"size":0.4,"on":[0]},{"kind":"earthquake","at":8000000,"len":1,"on":[]}],
 "fam":{"direct":true,"joins":false,"siblings":"location","tells":"hit","groups":32,"purges":0.5,"purge_tell":200000,"purge_done":6000000,
  "purge_grace":300000,"parent_cold":[0.06,22000000],"parent_fall":2,"parent_kind":2,"origin_kind":3,"origin_time":40000,"near":9000,
  "stock":[{"objects":13,"parts":14,"zipf":1.03,"stay":0.92,"gap":700000},{"objects":100,"parts":1,"zipf":0.98,"gap":1}]}}`

// A day generated by the bench is converted to a valid script with the same faults; notes say
// what was scaled or left out.
func TestImport(t *testing.T) {
	text, notes, err := Import([]byte(benchDay), Scale{})
	if err != nil {
		t.Fatal(err)
	}
	s := &Script{}
	if err := config.Read("imported", text, s); err != nil {
		t.Fatal(err)
	}
	if s.Day.Length != 40000 || len(s.Faults) != 3 || s.Faults[0].Boxes != 1 || s.Faults[0].Parents != 1 ||
		s.Faults[2].Routers != 1 || s.Classes[1].Idempotency != "guarded" || !s.Classes[1].Write || s.Classes[0].Parts != 14 {
		t.Errorf("imported day, want another length, number of faults, targets or classes:\n%s", text)
	}
	if all := strings.Join(notes, "\n"); !strings.Contains(all, "can't be played: earthquake") || !strings.Contains(all, "scaled: ") {
		t.Errorf("notes, want the fault earthquake and a scaled size among them:\n%s", all)
	}
	for _, bad := range []string{"", "[]", "{}", `{"classes":[{"name":"a"}]}`} {
		if _, _, err := Import([]byte(bad), Scale{}); err == nil {
			t.Errorf("%q was imported, want an error", bad)
		}
	}
}

// Versions list the members. With good, bad and repeated versions, a killed control service
// and a killed router, the fleet reaches the expected state at each step, and no rule is
// violated.
func TestVersionFaults(t *testing.T) {
	res := play(t, `(control (on) (hold 100) (spread 100) (level 10000))
		(trouble version-good (at 300)) (trouble version-bad (at 1200)) (trouble drain (at 1500) (for 2000) (boxes 1))
		(trouble control-down (at 2000) (for 500)) (trouble router-kill (at 2100) (for 300) (routers 1))
		(trouble crash (at 300) (for 300) (boxes 1)) (trouble version-repeat (at 3200))`)
	if len(res.Steps) != 4 {
		t.Errorf("%d steps, want 4: %+v", len(res.Steps), res.Steps)
	}
	for _, s := range res.Steps {
		if s.Failure != "" {
			t.Errorf("step %s failed: %s", s.Name, s.Failure)
		}
	}
	for _, v := range res.Verdicts {
		if len(v.Violations) > 0 {
			t.Errorf("rule %d: %s", v.Rule, v.Violations[0].Description)
		}
	}
}

// Reading a script rejects faults that do not fit its control service.
func TestVersionScripts(t *testing.T) {
	for troubles, want := range map[string]string{
		`(trouble version-good (at 1))`:                      "version-good without a control service",
		`(control (on)) (trouble list-cut (at 1))`:           "list-cut where settings versions list the members",
		`(control (on)) (trouble zone-loss (zone z) (at 1))`: "zone-loss where settings versions list the members",
		`(control (on) (protocol odd))`:                      `"odd" is not known here`,
	} {
		s := &Script{}
		if err := config.Read("short.edn", fmt.Sprintf(short, troubles), s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q in it", troubles, err, want)
		}
	}
}

// System calls and folders that fail and a wall clock that is set, inside the processes of
// one short day: each fault has an effect, and no rule is violated.
func TestProcessFaultsInDay(t *testing.T) {
	res := play(t, `(control (on) (from-list) (hold 100) (spread 100) (level 10000))
		(trouble syscalls (at 300) (for 1200) (routers 2) (plan "accept:ENFILE:0.5; read:EINTR:0.2; write:short:0.3; connect:EADDRNOTAVAIL:0.5"))
		(trouble clock-step (at 600) (for 1500) (routers 2) (control) (step -3600000))
		(trouble folder-fault (at 700) (for 1500) (routers 2) (control) (errno ENOSPC)) (trouble version-good (at 900))
		(trouble router-kill (at 1100) (for 300) (routers 1)) (trouble drain (at 1500) (for 1800) (boxes 1))
		(trouble crash (at 1000) (for 600) (boxes 1))`)
	if len(res.Injected) != 2 {
		t.Fatalf("counted faults: %+v, want two", res.Injected)
	}
	for _, one := range res.Injected {
		if one.Failed == 0 {
			t.Errorf("fault %s made no call fail, want at least one", one.Fault)
		}
	}
	if !res.OK() {
		t.Errorf("the result is not OK: %+v", res.Steps)
	}
	res.Injected[0].Failed = 0
	if res.OK() {
		t.Error("a day passed although a fault had no effect")
	}
}

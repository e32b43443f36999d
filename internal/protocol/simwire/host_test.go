package simwire

import (
	"bytes"
	"strings"
	"testing"
)

const born = `{"BORN":{"init_seed":7,"boot_info":{"unheard":1,"classes":[{"name":"page","aim":250,"give_up":3000,` +
	`"gain":1,"idempotency":"free"}],"kinds":["box","parent","origin"],"localities":["hub","z"],"zone":"z","tick":2,` +
	`"limits":{"max_attempts":6,"cancel":true},"family_info":{"upper_kind":1,"master_kind":2,"purge_takes":6000}}}}`

const list = `{"ROSTER_CHANGE":{"how":"warm_copy","rev":1,"rows_in":[` +
	`{"cache":"a","area":"z","shape":"box","phase":"SERVING","size":1},` +
	`{"cache":"o","area":"hub","shape":"origin","phase":"SERVING","size":1}]}}`

func batch(clock, inbox string) string {
	return `{"clock":` + clock + `,"groups":[{"i":3,"inbox":[` + inbox + `]}]}` + "\n"
}

func TestServe(t *testing.T) {
	start := batch("1000", born+","+list)
	knock := `{"KNOCK":{"msg_id":"r1","tier_class":"page","item":"c/x","give_up_at":4000,"kb":9,"novel":true}}`
	for _, c := range []struct {
		name, in, out, err string
	}{
		{"an empty batch", `{"clock":1,"groups":[]}` + "\n", `{"groups":[]}`, ""},
		{"empty input", "", "", ""},
		{"a lookup", start + batch("1001", knock), `"cache":"a"`, ""},
		{"a fill after a miss", start + batch("1001", knock) +
			batch("1002", `{"SETTLED":{"msg_id":"r1","attempt":0,"cache":"a","reason":"miss","spent":1}}`),
			`"supplier":"o"`, ""},
		{"not JSON", start + "{\n", "", "line 2: "},
		{"no clock", `{"groups":[]}` + "\n", "", "line 1: no clock"},
		{"the clock goes back", start + batch("999", knock), "", "line 2: clock went backwards from 1000 ms to 999 ms"},
		{"an unknown event", start + batch("1001", `{"SNEEZE":{}}`), "", "SNEEZE: unknown event"},
		{"an unknown reason", start + batch("1001", `{"SETTLED":{"msg_id":"r","reason":"so"}}`), "", `reason "so"`},
		{"two names", start + batch("1001", `{"DESTROY":{},"REMINDER":{}}`), "", "2 names"},
		{"not started", batch("1", knock), "", "not started"},
		{"already stopped", start + batch("1001", `{"DESTROY":{}}`) + batch("1002", knock), "", "not started"},
		{"invalid settings", batch("1", `{"BORN":{"boot_info":{}}}`), "GIVE_IN", ""},
	} {
		var out bytes.Buffer
		err := Serve(strings.NewReader(c.in), &out)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.err)
		}
		if !strings.Contains(out.String(), c.out) {
			t.Errorf("%s: %s lacks %s", c.name, out.String(), c.out)
		}
	}
}

// TestPanicIsReported checks that a panic of the module is reported on the wire.
func TestPanicIsReported(t *testing.T) {
	h := host{}
	acts, err := h.handleEvent(1, nil)
	if err != nil || acts != nil {
		t.Fatalf("%v %v", acts, err)
	}
	h.routers = nil // the assignment of the new router panics
	reply, err := h.handleBatch([]byte(batch("1", born)))
	if err != nil || !strings.Contains(string(reply), "GIVE_IN") || !strings.Contains(string(reply), "panic") {
		t.Errorf("%s %v", reply, err)
	}
}

package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"

	"pgregory.net/rapid"
)

const validSettings = `; an edge
(router (name e1) (zone z1) (listen "127.0.0.1:0"))
(zone z1 (hub h)) (zone h (hub h))
(class still (aim 400) (deadline 3000.5))
(class film (parts) (aim 300))
(route "/s/{group}/{object}" (class still))
(route "/v/{group}/{object}/{part}" (class film) (methods GET HEAD))
(member box-1 (zone z1) (address "127.0.0.1:1"))
`

func TestRead(t *testing.T) {
	var s Settings
	if err := Read("a.edn", validSettings, &s); err != nil {
		t.Fatal(err)
	}
	if s.Router.Name != "e1" || s.Classes[0].Deadline != 3000.5 || !s.Classes[1].InParts ||
		s.Limits.ConnectTimeout != 500 || s.Rules.DrainGrace != 500 || len(s.Routes[1].Methods) != 2 || s.Members[0].Kind != "box" {
		t.Fatalf("the settings were not read as written: %+v", s)
	}
	if p := s.Members[0].Place.Pos; p.Line != 8 || p.Col != 1 {
		t.Fatalf("the member is at %v, want line 8, column 1", p)
	}
}

// TestFaults checks the position and the text of faults, and that all are reported at once.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", "(aim 400)", "(aym 400)", `a.edn:4:15: class: unknown key "aym"; did you mean aim?`},
		{"bounds", "(aim 400)", "(aim 0)", "a.edn:4:19: class/aim: 0 is too small; it must be 1 or more"},
		{"type", "(aim 400)", "(aim soon)", "a.edn:4:19: class/aim: soon is not a number"},
		{"unit", "(aim 400)", "(aim 400ms)", "a.edn:4:19: 400ms is not a number, a word or a string"},
		{"twice", "(aim 400)", "(aim 400) (aim 500)", "a.edn:4:25: class/aim: given twice, first at 4:19; keep one"},
		{"past deadline", "(aim 400)", "(aim 4000)", "a.edn:4:19: class/aim: aim 4000 is past the deadline 3000.5"},
		{"no such class", "(class film) (methods", "(class fil) (methods", `a.edn:7:44: route/class: class "fil" is not given`},
		{"two values", "(aim 400)", "(aim 1 2)", "a.edn:4:14: class/aim: 2 values given"},
		{"no zone", "(zone z1) (listen", "(zone z9) (listen", `a.edn:2:25: router/zone: "z9" is no zone`},
		{"not closed", "(address \"127.0.0.1:1\"))", "(address \"127.0.0.1:1\")", "a.edn:8:1: a list is never closed"},
		{"closes nothing", "(zone h (hub h))", "(zone h (hub h)))", `a.edn:3:35: ')' closes nothing`},
		{"string open", `"127.0.0.1:1"`, `"127.0.0.1:1`, "a.edn:8:34: a string is never closed"},
		{"address", `"127.0.0.1:1"`, `here`, `a.edn:8:34: member/address: "here" is not an address`},
		{"missing", "(zone z1) (listen", "(listen", "a.edn:2:1: router/zone: the router's zone is not given; add (zone name) to (router ...)"},
		{"big", "(aim 400)", "(aim 1e9999999M)", "a.edn:4:19: 1e9999999M: numbers with the suffix M or N are not supported"},
		{"map", "(aim 400)", "{aim 400}", "a.edn:4:14: '{' is not allowed in settings"},
		{"admin", "(listen", "(admin \"0.0.0.0:1\") (listen", "is not a loopback address"},
		{"pattern", "{group}/{object}/{part}", "x{object}/{part}", `segment "x{object}" is neither text nor one {name}`},
		{"no name", "(class film ", "(class ", "a.edn:5:1: class: no name given"},
	} {
		var s Settings
		err := Read("a.edn", strings.Replace(validSettings, c.old, c.new, 1), &s)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got\n%v\nwant\n%s", c.name, err, c.want)
		}
	}
	var s Settings
	err := Read("a.edn", "(router (zone z) (me x) (of 0))\n(clas a)\n(zone)", &s)
	var faults Faults
	if !errors.As(err, &faults) || len(faults) != 4 {
		t.Fatalf("want four faults, got:\n%v", err)
	}
}

// TestFaultsArePrintable checks that faults quote invalid input escaped and truncated, so that it
// cannot control a terminal.
func TestFaultsArePrintable(t *testing.T) {
	for _, src := range []string{"(router (zone z)) (cl\x1b[31mass \xff)", "\x00\x01\x02\xfe", "(router (zone \"a\x07\") (me \x1b]0;x))", "(" + strings.Repeat("k", 5000) + " 1)",
		"(router (zone z) (me " + strings.Repeat("9", 4000) + "x))", "(router " + strings.Repeat("w", 3000) + ")", "(router (zone z)) (class \u202eevil (aim 0))"} {
		var s Settings
		err := Read("a.edn", src, &s)
		if err == nil {
			t.Errorf("%.40q is accepted", src)
			continue
		}
		for _, line := range strings.Split(err.Error(), "\n") {
			if len(line) > 900 || strings.ContainsFunc(line, func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }) {
				t.Errorf("%.40q: the fault has %d bytes or characters that cannot be printed: %.200q", src, len(line), line)
			}
		}
	}
	if got := Printable("a\n\x1b\xffé\u202e"); got != `a\n\x1b\xffé\u202e` {
		t.Errorf("Printable: got %s, want control characters escaped", got)
	}
}

// TestWrongFileKind checks that a file of another kind is reported in one line that names its
// readers.
func TestWrongFileKind(t *testing.T) {
	var s Settings
	for src, want := range map[string]string{"(load x (targets a))\n(class a (path b))": "this file is a load: spool-load reads it; expected: settings of a router",
		"(day x)": "spool-scenario run plays it", "(service (name a))": "spool-control", "(stand (flow 4)) (machine a)": "spool-testserver"} {
		err := Read("a.edn", src, &s)
		if err == nil || strings.Count(err.Error(), "\n") > 0 || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want one line with %q", src, err, want)
		}
	}
}

func TestReadFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "x.edn")
	var s Settings
	if err := ReadFile(name, &s); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("a file that does not exist: error %v, want ErrNotExist", err)
	}
	os.WriteFile(name, []byte(validSettings), 0o600)
	if err := ReadFile(name, &s); err != nil {
		t.Fatal(err)
	}
}

// withoutPlaces returns settings without the positions of their forms.
func withoutPlaces(s Settings) Settings {
	s.Router.Place, s.Limits.Place, s.Rules.Place, s.Fill.Place, s.Control.Place, s.Pages.Place = Place{}, Place{}, Place{}, Place{}, Place{}, Place{}
	for i := range s.Zones {
		s.Zones[i].Place = Place{}
	}
	for i := range s.Classes {
		s.Classes[i].Place = Place{}
	}
	for i := range s.Routes {
		s.Routes[i].Place = Place{}
	}
	for i := range s.Members {
		s.Members[i].Place = Place{}
	}
	return s
}

// TestPrintRoundTrip checks that the canonical form reads back as the same settings and is stable.
func TestPrintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Settings
		if err := Read("a.edn", validSettings, &s); err != nil {
			t.Fatal(err)
		}
		s.Router.Name = rapid.String().Draw(t, "name")
		s.Router.Index = rapid.IntRange(0, 3).Draw(t, "me")
		s.Router.Routers = 4
		s.Classes[0].PriorityWeight = rapid.Float64Range(0, 1e6).Draw(t, "worth")
		s.Rules.WarmUpInitialShare = rapid.Float64Range(0, 1).Draw(t, "cold")
		s.Limits.HedgedRequests = rapid.Bool().Draw(t, "copies")
		s.Fill.LoadMetrics = rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,5}`), 1, 3).Draw(t, "feedback")
		text := Print(&s)
		var back Settings
		if err := Read("b.edn", text, &back); err != nil {
			t.Fatalf("%v in:\n%s", err, text)
		}
		if a, b := withoutPlaces(s), withoutPlaces(back); !reflect.DeepEqual(a, b) {
			t.Fatalf("printed\n%s\nread back as\n%+v\nwant\n%+v", text, b, a)
		}
		if again := Print(&back); again != text {
			t.Fatalf("second print:\n%s\nfirst print:\n%s", again, text)
		}
	})
}

func FuzzSettings(f *testing.F) {
	f.Add(validSettings)
	f.Add("(router (zone \"a\\\"b\")) #{1} [ ( ;x\n")
	f.Fuzz(func(t *testing.T, src string) {
		var s Settings
		err := Read("f.edn", src, &s)
		var faults Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error of type %T, want Faults: %v", err, err)
		}
		for _, fault := range faults {
			if fault.Pos.Line < 1 || fault.Pos.Col < 1 || fault.What == "" {
				t.Fatalf("fault without position or text: %+v", fault)
			}
		}
		if err == nil {
			var again Settings
			if err := Read("g.edn", Print(&s), &again); err != nil {
				t.Fatalf("the canonical form is rejected: %v\n%s", err, Print(&s))
			}
		}
	})
}

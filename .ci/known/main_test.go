package main

import (
	"io"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

func TestEvaluate(t *testing.T) {
	ev := func(action, test string) string {
		return `{"Action":"` + action + `","Package":"p","Test":"` + test + `"}` + "\n"
	}
	for _, c := range []struct {
		name, events, red string
		good              bool
	}{
		{"all pass", ev("pass", "TestA") + ev("pass", ""), "", true},
		{"one fails", ev("fail", "TestA") + ev("fail", ""), "", false},
		{"a listed test fails", ev("fail", "TestA/x") + ev("fail", "TestA") + ev("fail", ""), "TestA, slow, 28", true},
		{"a listed test passes", ev("pass", "TestA") + ev("pass", ""), "TestA, slow, 28", true},
		{"another fails too", ev("fail", "TestA") + ev("fail", "TestB") + ev("fail", ""), "TestA, slow, 28", false},
		{"a listed test is not run", ev("pass", "TestB") + ev("pass", ""), "TestA, slow, 28", false},
		{"a package does not build", ev("fail", ""), "", false},
		{"a package fails although its tests pass", ev("pass", "TestB") + ev("fail", ""), "TestA, slow, 28", false},
	} {
		known, err := parseList(c.red)
		if err != nil {
			t.Fatal(err)
		}
		if err := evaluate(strings.NewReader(c.events), known, io.Discard); (err == nil) != c.good {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := parseList("TestA, a, 1\nTestB, b, 2\n\nTestC, c, 3\nTestD, d, 4\n"); err == nil {
		t.Error("a list of four tests was accepted")
	}
	if _, err := parseList("TestA"); err == nil {
		t.Error("a line without cause and issue was accepted")
	}
}

const knownCommand = "command: bin/spool-scenario run examples/bad-day.edn; seed 7; rule 2 broken at 67 ms; issue 31"

// TestCommand checks that a command's line is read and printed together with a test's, that
// evaluate does not expect a test for it, and that it excuses no failing test.
func TestCommand(t *testing.T) {
	known, err := parseList("TestA, slow, 28\n" + knownCommand + "\n")
	if err != nil {
		t.Fatal(err)
	}
	if want := (knownFailures{map[string]string{"TestA": "slow, 28"}, []string{strings.TrimPrefix(knownCommand, "command: ")}}); !reflect.DeepEqual(known, want) {
		t.Errorf("got %+v, want %+v", known, want)
	}
	const failed = `{"Action":"fail","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	var out strings.Builder
	if err := evaluate(strings.NewReader(failed), known, &out); err != nil {
		t.Error(err)
	}
	want := "known red: TestA: fail (slow, 28)\n" +
		"known red command: bin/spool-scenario run examples/bad-day.edn; seed 7; rule 2 broken at 67 ms; issue 31\n"
	if out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
	if known, err = parseList(knownCommand); err != nil {
		t.Fatal(err)
	}
	if err := evaluate(strings.NewReader(failed), known, io.Discard); err == nil {
		t.Error("a failing test was tolerated although only a command is listed")
	}
}

func TestCommandFields(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"command:", "has no command, no seed, no what was seen, no issue;"},
		{"command: seed 7; rule 2 broken; issue 31", "has no command;"},
		{"command: ; seed 7; rule 2 broken; issue 31", "has no command;"},
		{"command: c; rule 2 broken; issue 31", "has no seed;"},
		{"command: c; seed ; rule 2 broken; issue 31", "has no seed;"},
		{"command: c; 7; rule 2 broken; issue 31", "has no seed;"},
		{"command: c; seed 7; issue 31", "has no what was seen;"},
		{"command: c; seed 7; ; issue 31", "has no what was seen;"},
		{"command: c; seed 7; rule 2 broken", "has no issue;"},
		{"command: c; seed 7; rule 2 broken; issue", "has no issue;"},
		{"command: c; seed 7; rule 2 broken; 31", "has no issue;"},
		{"command: c; issue 31; rule 2 broken; seed 7", "has no seed, no issue;"},
		{"command: c; seed 7; rule 2 broken; rule 3 too; issue 31", "has 5 fields, want 4;"},
		{"command: c; seed 7; rule 2 broken; issue 31; and more", "has 5 fields, want 4;"},
	} {
		_, err := parseList("TestA, slow, 28\n" + c.line)
		if err == nil {
			t.Errorf("%q was accepted", c.line)
		} else if !strings.Contains(err.Error(), strconv.Quote(c.line)) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %q, want the line and %q", c.line, err, c.want)
		}
	}
}

// TestBound checks that the limit applies to tests and commands together.
func TestBound(t *testing.T) {
	const three = "TestA, a, 1\n" + knownCommand + "\n\nTestB, b, 2\n"
	if _, err := parseList(three); err != nil {
		t.Error(err)
	}
	for _, fourth := range []string{"TestC, c, 3", knownCommand} {
		if _, err := parseList(three + fourth); err == nil || !strings.Contains(err.Error(), "more than 3") {
			t.Errorf("a fourth line %q: %v", fourth, err)
		}
	}
}

package main

import (
	"io"
	"strings"
	"testing"
)

func TestJudge(t *testing.T) {
	ev := func(action, test string) string {
		return `{"Action":"` + action + `","Package":"p","Test":"` + test + `"}` + "\n"
	}
	for _, c := range []struct {
		name, events, red string
		good              bool
	}{
		{"all pass", ev("pass", "TestA") + ev("pass", ""), "", true},
		{"one fails", ev("fail", "TestA") + ev("fail", ""), "", false},
		{"a known red fails", ev("fail", "TestA/x") + ev("fail", "TestA") + ev("fail", ""), "TestA, slow, 28", true},
		{"a known red passes", ev("pass", "TestA") + ev("pass", ""), "TestA, slow, 28", true},
		{"another fails too", ev("fail", "TestA") + ev("fail", "TestB") + ev("fail", ""), "TestA, slow, 28", false},
		{"a known red is not there", ev("pass", "TestB") + ev("pass", ""), "TestA, slow, 28", false},
		{"a package does not build", ev("fail", ""), "", false},
		{"a package ends by itself", ev("pass", "TestB") + ev("fail", ""), "TestA, slow, 28", false},
	} {
		red, err := list(c.red)
		if err != nil {
			t.Fatal(err)
		}
		if err := judge(strings.NewReader(c.events), red, io.Discard); (err == nil) != c.good {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := list("TestA, a, 1\nTestB, b, 2\n\nTestC, c, 3\nTestD, d, 4\n"); err == nil {
		t.Error("four are taken")
	}
	if _, err := list("TestA"); err == nil {
		t.Error("a line without cause and issue is taken")
	}
}

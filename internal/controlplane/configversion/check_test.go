package configversion

import (
	"slices"
	"strings"
	"testing"
)

// Each rejection names the path and the remedy; a good version follows a bad one.
func TestSemanticChecks(t *testing.T) {
	for _, row := range []struct {
		name string
		body []byte
		want string // of a reason; empty: accepted
	}{
		{"no cache left", body("ddd", "ssss", ""), "zone/z: none of its 3 caches is serving"},
		{"no parent serves", body("sss", "dddd", ""), "every parent is a fill source that takes nothing: p0 is draining"},
		{"parents change too fast", body("sss", "s-ss----ssss", ""), "parents come or go at once"},
		{"caches go too fast", body("--s", "ssss", ""), ""},
		{"unknown class", replaceInValid("(class c))", "(class d))"), `class "d" is not given`},
		{"negative capacity", replaceInValid("(state serving)", "(state serving) (size -1)"), "member/size: "},
		{"absurd capacity", replaceInValid("(state serving)", "(state serving) (size 1e9)"), "member/b0/size: capacity 1e+09"},
		{"loosened", body("sss", "ssss", "(rules (drain-grace 5000))"), "rules/drain-grace: loosened from 500 to 5000"},
		{"drained source", body("ssd", "ssss", ""), ""},
		{"drained source named", []byte(strings.Replace(string(body("ssd", "ssss", "")), "(member b0", "(member b0 (fill-from b2)", 1)), `member/b0/fill-from: source "b2" is draining`},
		{"not settings", []byte("(router"), "a list is never closed"},
		{"absurd link", replaceInValid("(hub h))", "(hub h) (link 1e9))"), "zone/z/link: link of 1e+09 KB a ms"},
		{"no cache listed", body("", "ssss", ""), "zone/z: no cache is listed there, though it has routers"},
		{"unlisted source named", replaceInValid("(member b0", "(member b0 (fill-from b9)"), `source "b9" is not listed`},
		{"a thousand times the capacity", body("sss", "ssss", "(rules (fall-factor 6000) (loosen true))"), "rules: a cold member could be given"},
		{"copies gone before purges are heeded", body("sss", "ssss", "(rules (purge-takes 100) (loosen true))"), "rules/purge-takes: copies are gone 100 ms"},
		{"loosened on purpose", body("sss", "ssss", "(rules (drain-grace 5000) (loosen true))"), ""},
		{"no parents any more", body("sss", "", ""), "4 of 4 parents come or go at once"},
		{"routers", replaceInValid("(of 4)", "(of 2)"), "the zones have 4 routers, there are 2"},
	} {
		t.Run(row.name, func(t *testing.T) {
			test := newMachineTest(t).offer("a", New(1, validBody)).wantRunning(1)
			test.offer("a", New(2, row.body))
			if row.want == "" {
				if !hasAction[Ack](test, nil) {
					t.Errorf("rejected: %+v", test.actions)
				}
				return
			}
			isWanted := func(reason Reason) bool {
				return strings.Contains(reason.String(), row.want) && reason.Remedy != ""
			}
			if !hasAction(test, func(nack Nack) bool { return slices.ContainsFunc(nack.Reasons, isWanted) }) {
				t.Errorf("want %q and a remedy, got %+v", row.want, test.actions)
			}
			test.wantRunning(1).offer("a", New(3, body("ssss", "ssss", ""))).wantAccepted(3).advance(2000).wantRunning(3)
		})
	}
}

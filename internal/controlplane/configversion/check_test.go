package configversion

import (
	"slices"
	"strings"
	"testing"
)

// Each rejection names the path and a remedy, and a valid version is accepted after it.
func TestSemanticChecks(t *testing.T) {
	for _, row := range []struct {
		name string
		body []byte
		want string // of a reason; empty: accepted
	}{
		{"no cache left", body("ddd", "ssss", ""), "zone/z: none of its 3 caches is serving"},
		{"no parent serves", body("sss", "dddd", ""), "no listed parent is serving: p0 is draining"},
		{"too many parents change at once", body("sss", "s-ss----ssss", ""), "parents are added or removed at once"},
		{"caches removed within the limit", body("--s", "ssss", ""), ""},
		{"unknown class", replaceInValid("(class c))", "(class d))"), `class "d" is not given`},
		{"negative capacity", replaceInValid("(state serving)", "(state serving) (size -1)"), "member/size: "},
		{"capacity above the limit", replaceInValid("(state serving)", "(state serving) (size 1e9)"), "member/b0/size: capacity 1e+09"},
		{"loosened rule", body("sss", "ssss", "(rules (drain-grace 5000))"), "rules/drain-grace: loosened from 500 to 5000"},
		{"drained source", body("ssd", "ssss", ""), ""},
		{"drained source named", []byte(strings.Replace(string(body("ssd", "ssss", "")), "(member b0", "(member b0 (fill-from b2)", 1)), `member/b0/fill-from: source "b2" is draining`},
		{"not settings", []byte("(router"), "a list is never closed"},
		{"link above the limit", replaceInValid("(hub h))", "(hub h) (link 1e9))"), "zone/z/link: link of 1e+09 KB per ms"},
		{"no cache listed", body("", "ssss", ""), "zone/z: no cache is listed there, though it has routers"},
		{"unlisted source named", replaceInValid("(member b0", "(member b0 (fill-from b9)"), `source "b9" is not listed`},
		{"a thousand times the capacity", body("sss", "ssss", "(rules (fall-factor 6000) (loosen true))"), "rules: a cold member could receive"},
		{"purge time below its slack", body("sss", "ssss", "(rules (purge-takes 100) (loosen true))"), "rules/purge-takes: purged copies are gone after 100 ms"},
		{"loosening allowed", body("sss", "ssss", "(rules (drain-grace 5000) (loosen true))"), ""},
		{"all parents removed", body("sss", "", ""), "4 of 4 parents are added or removed at once"},
		{"routers", replaceInValid("(of 4)", "(of 2)"), "the zones have 4 routers, but the total is 2"},
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

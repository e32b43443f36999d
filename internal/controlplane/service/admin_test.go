package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// What operators ask for, and what they are told where it can't be.
func TestAdminRequests(t *testing.T) {
	dir := t.TempDir()
	s, err := startService(dir, "(max-bytes 100000)", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := startRouter(t, false, "r", 1, nil, s.Addr())
	push := func(path, text string, want int) (p PushResult) {
		t.Helper()
		code, b := adminRequest(t, s, "POST", path, text)
		if err := json.Unmarshal(b, &p); err != nil || code != want {
			t.Fatalf("%s: %d %s", path, code, b)
		}
		return p
	}
	eventually(t, "the stream", func() bool { return len(s.View().Routers) == 1 })
	if p := push("/push?now&name=a.edn", string(settingsText(3, "")), 200); p.Number != 1 || !p.Created {
		t.Errorf("%+v", p)
	}
	if p := push("/push", "; the same again\n"+string(settingsText(3, "")), 200); p.Number != 1 || p.Created {
		t.Errorf("the same content: %+v", p)
	}
	p := push("/push?name=b.edn", string(settingsText(3, "(zone y (routers 1))\n(limits (held 0))")), 422)
	if len(p.Reasons) != 1 || !strings.Contains(p.Reasons[0], "b.edn:3:") {
		t.Errorf("a fault: %+v", p)
	}
	if p = push("/push", string(settingsText(3, "(zone y (routers 1))")), 422); len(p.Reasons) != 1 || !strings.Contains(p.Reasons[0], "zone/y") {
		t.Errorf("no sense: %+v", p)
	}
	push("/push", strings.Repeat(" ", 100001), 413)
	if p = push("/push?now", string(settingsText(4, "")), 200); p.Number != 2 {
		t.Errorf("%+v", p)
	}
	if p = push("/push?now&unchecked", "(oops", 200); p.Number != 3 {
		t.Errorf("%+v", p)
	}
	eventually(t, "the refusal", func() bool { r := s.View().Routers[0]; return r.Rejected == 3 && r.Running == 2 })
	if p = push("/rollback?to=1&now", "", 200); p.Number != 4 {
		t.Errorf("%+v", p)
	}
	eventually(t, "the old content", allRunning([]*testRouter{r}, 4))
	push("/rollback?to=99", "", 404)
	push("/rollback", "", 400)
	if code, b := adminRequest(t, s, "GET", "/version?number=4", ""); code != 200 || !bytes.Equal(b, canonical(t, 3, "")) {
		t.Errorf("version 4: %d %s", code, b)
	}
	var list []VersionView
	if code, b := adminRequest(t, s, "GET", "/versions", ""); code != 200 || json.Unmarshal(b, &list) != nil || len(list) != 4 {
		t.Errorf("versions: %d %s", code, b)
	}
	for i := range 9 {
		push("/push", string(settingsText(3, fmt.Sprintf("(limits (held %d))", 100+i))), 200)
	}
	if list, err := s.store.History(time.Now()); err != nil || len(list) > 6 || list[0].Version.Number != 4 && s.View().Base == 4 {
		t.Errorf("%d versions are kept, the first of them %d: %v", len(list), list[0].Version.Number, err)
	}
	push("/halt", "", 200)
	if v := s.View(); v.Next != 0 || v.Halted == "" && v.Last == 13 && v.Base != 13 {
		t.Errorf("after a halt: %+v", v)
	}
}

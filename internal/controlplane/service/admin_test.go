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

// Operators' requests succeed, or fail with the right status and reasons.
func TestAdminRequests(t *testing.T) {
	dir := t.TempDir()
	service, err := startService(dir, "(max-bytes 100000)", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	router := startRouter(t, false, "r", 1, nil, service.Addr())
	push := func(path, text string, want int) (result PushResult) {
		t.Helper()
		code, body := adminRequest(t, service, "POST", path, text)
		if err := json.Unmarshal(body, &result); err != nil || code != want {
			t.Fatalf("%s: %d %s, want %d and JSON", path, code, body, want)
		}
		return result
	}
	waitFor(t, "the stream", func() bool { return len(service.View().Routers) == 1 })
	if result := push("/push?now&name=a.edn", string(settingsText(3, "")), 200); result.Number != 1 || !result.Created {
		t.Errorf("first push: %+v, want number 1, created", result)
	}
	if result := push("/push", "; the same again\n"+string(settingsText(3, "")), 200); result.Number != 1 || result.Created {
		t.Errorf("push of the same content: %+v, want number 1, not created", result)
	}
	result := push("/push?name=b.edn", string(settingsText(3, "(zone y (routers 1))\n(limits (held 0))")), 422)
	if len(result.Reasons) != 1 || !strings.Contains(result.Reasons[0], "b.edn:3:") {
		t.Errorf("settings with a fault: %+v, want one reason, with b.edn:3:", result)
	}
	if result = push("/push", string(settingsText(3, "(zone y (routers 1))")), 422); len(result.Reasons) != 1 || !strings.Contains(result.Reasons[0], "zone/y") {
		t.Errorf("settings that fail a check: %+v, want one reason, with zone/y", result)
	}
	push("/push", strings.Repeat(" ", 100001), 413)
	if result = push("/push?now", string(settingsText(4, "")), 200); result.Number != 2 {
		t.Errorf("push of changed content: %+v, want number 2", result)
	}
	if result = push("/push?now&unchecked", "(oops", 200); result.Number != 3 {
		t.Errorf("unchecked push: %+v, want number 3", result)
	}
	waitFor(t, "the rejection of version 3", func() bool { router := service.View().Routers[0]; return router.Rejected == 3 && router.Running == 2 })
	if result = push("/rollback?to=1&now", "", 200); result.Number != 4 {
		t.Errorf("rollback: %+v, want number 4", result)
	}
	waitFor(t, "the content of version 1 as version 4", allRunning([]*testRouter{router}, 4))
	push("/rollback?to=99", "", 404)
	push("/rollback", "", 400)
	if code, body := adminRequest(t, service, "GET", "/version?number=4", ""); code != 200 || !bytes.Equal(body, canonical(t, 3, "")) {
		t.Errorf("version 4: %d %s, want 200 and the content of version 1", code, body)
	}
	var versions []VersionView
	if code, body := adminRequest(t, service, "GET", "/versions", ""); code != 200 || json.Unmarshal(body, &versions) != nil || len(versions) != 4 {
		t.Errorf("versions: %d %s, want 200 and 4 versions", code, body)
	}
	for i := range 9 {
		push("/push", string(settingsText(3, fmt.Sprintf("(limits (held %d))", 100+i))), 200)
	}
	if versions, err := service.store.History(time.Now()); err != nil || len(versions) > 6 || versions[0].Version.Number != 4 && service.View().Base == 4 {
		t.Errorf("%d versions are stored, the first of them %d: %v; want at most 6, and 4 as the first while it is the base", len(versions), versions[0].Version.Number, err)
	}
	push("/halt", "", 200)
	if view := service.View(); view.Next != 0 || view.Halted == "" && view.Last == 13 && view.Base != 13 {
		t.Errorf("after a halt: %+v, want Next 0, and Halted unless the rollout of version 13 was complete", view)
	}
}

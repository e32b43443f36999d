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
			t.Fatalf("%s: %d %s", path, code, body)
		}
		return result
	}
	waitFor(t, "the stream", func() bool { return len(service.View().Routers) == 1 })
	if result := push("/push?now&name=a.edn", string(settingsText(3, "")), 200); result.Number != 1 || !result.Created {
		t.Errorf("%+v", result)
	}
	if result := push("/push", "; the same again\n"+string(settingsText(3, "")), 200); result.Number != 1 || result.Created {
		t.Errorf("the same content: %+v", result)
	}
	result := push("/push?name=b.edn", string(settingsText(3, "(zone y (routers 1))\n(limits (held 0))")), 422)
	if len(result.Reasons) != 1 || !strings.Contains(result.Reasons[0], "b.edn:3:") {
		t.Errorf("settings with a fault: %+v", result)
	}
	if result = push("/push", string(settingsText(3, "(zone y (routers 1))")), 422); len(result.Reasons) != 1 || !strings.Contains(result.Reasons[0], "zone/y") {
		t.Errorf("settings that fail a check: %+v", result)
	}
	push("/push", strings.Repeat(" ", 100001), 413)
	if result = push("/push?now", string(settingsText(4, "")), 200); result.Number != 2 {
		t.Errorf("%+v", result)
	}
	if result = push("/push?now&unchecked", "(oops", 200); result.Number != 3 {
		t.Errorf("%+v", result)
	}
	waitFor(t, "the rejection", func() bool { router := service.View().Routers[0]; return router.Rejected == 3 && router.Running == 2 })
	if result = push("/rollback?to=1&now", "", 200); result.Number != 4 {
		t.Errorf("%+v", result)
	}
	waitFor(t, "the old content", allRunning([]*testRouter{router}, 4))
	push("/rollback?to=99", "", 404)
	push("/rollback", "", 400)
	if code, body := adminRequest(t, service, "GET", "/version?number=4", ""); code != 200 || !bytes.Equal(body, canonical(t, 3, "")) {
		t.Errorf("version 4: %d %s", code, body)
	}
	var versions []VersionView
	if code, body := adminRequest(t, service, "GET", "/versions", ""); code != 200 || json.Unmarshal(body, &versions) != nil || len(versions) != 4 {
		t.Errorf("versions: %d %s", code, body)
	}
	for i := range 9 {
		push("/push", string(settingsText(3, fmt.Sprintf("(limits (held %d))", 100+i))), 200)
	}
	if versions, err := service.store.History(time.Now()); err != nil || len(versions) > 6 || versions[0].Version.Number != 4 && service.View().Base == 4 {
		t.Errorf("%d versions are stored, the first of them %d: %v", len(versions), versions[0].Version.Number, err)
	}
	push("/halt", "", 200)
	if view := service.View(); view.Next != 0 || view.Halted == "" && view.Last == 13 && view.Base != 13 {
		t.Errorf("after a halt: %+v", view)
	}
}

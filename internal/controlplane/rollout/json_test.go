package rollout

import (
	"encoding/json"
	"testing"
)

// Operators and older clients rely on these keys of a router's status.
func TestRouterStatusJSON(t *testing.T) {
	text, err := json.Marshal(RouterStatus{"r1", true, 4, 5, []string{"its disk is full"}, 0.5})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Router":"r1","Joined":true,"Running":4,"Refused":5,"Reasons":["its disk is full"],"Served":0.5}`
	if string(text) != want {
		t.Errorf("%s, want %s", text, want)
	}
}

package platform

import (
	"testing"
	"time"

	"indigospool/internal/testbed/testserver"
)

// TestMemberMovesDuringDial checks that a request for a member that has moved is not sent to its
// former address: another process may listen there now.
func TestMemberMovesDuringDial(t *testing.T) {
	t.Parallel()
	slow := newSlowMember(t)
	moved, err := testserver.NewPlatformCache("127.0.0.1:0", answerHit)
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	harness := newHarnessWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`)
	harness.changeMember(2, 0xd1, slow.address, 0, 0, 0)
	harness.changeMember(3, 0xc1, harness.members["s-000000c1"].Addr, 1, 0, 0)
	harness.changeMember(4, 0xc2, harness.members["s-000000c2"].Addr, 1, 0, 0)
	slow.fillBacklog(t)
	client := harness.dial()
	client.Ask(readFields(key), nil)
	harness.waitTurn()
	harness.changeMember(5, 0xd1, moved.Addr, 0, 0, 0)
	if n := slow.countRequests(t, 1500*time.Millisecond); n != 0 {
		t.Errorf("%d attempts arrived at the former address, want 0", n)
	}
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" || len(moved.Received()) == 0 {
		t.Errorf("answer %+v, error %v, %d requests at the new address; want served, from there", result, err, len(moved.Received()))
	}
}

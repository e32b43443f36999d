package configversion

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// The status shown to operators follows the machine's versions.
func TestStatusFollowsVersions(t *testing.T) {
	test := newMachineTest(t)
	if age := test.machine.Age(1000); age != 0 || test.machine.Accepted().Number != 0 || test.machine.LeaseHolder() != "" {
		t.Errorf("before the first version: age %v, accepted %d", age, test.machine.Accepted().Number)
	}
	test.offer("a", New(1, validBody)).offer("a", New(2, body("ssss", "ssss", "")))
	test.offer("a", New(3, []byte("(oops")))
	if test.machine.Accepted().Number != 2 || test.machine.LeaseHolder() != "a" {
		t.Errorf("accepted %d, by %q", test.machine.Accepted().Number, test.machine.LeaseHolder())
	}
	var states []string
	for _, record := range test.machine.Records() {
		states = append(states, record.State.String())
	}
	if want := []string{"running", "accepted", "refused"}; !slices.Equal(states, want) {
		t.Errorf("states %v, want %v", states, want)
	}
	test.advance(2000).wantRunning(2)
	if first := test.machine.Records()[0]; first.State.String() != "superseded" || first.ChangedAt != 2000 {
		t.Errorf("%+v", first)
	}
	if age := test.machine.Age(test.now); age != 2000 || test.machine.Accepted().Number != 2 {
		t.Errorf("age %v ms, accepted %d", age, test.machine.Accepted().Number)
	}
}

// Above the limit the oldest records are removed, but not that of the running version.
func TestRecordsAreLimited(t *testing.T) {
	test := &machineTest{t: t, machine: NewMachine(MachineSettings{MaxRecords: 3, MaxBytes: len(validBody) + 1000}, 1)}
	test.offer("a", New(1, validBody))
	for number := int64(2); number <= 6; number++ {
		test.offer("a", New(number, []byte(strings.Repeat(" ", len(validBody)+1001)))).wantRejected("bytes, above the limit of")
	}
	var numbers []int64
	for _, record := range test.machine.Records() {
		numbers = append(numbers, record.Number)
	}
	if want := []int64{1, 5, 6}; !slices.Equal(numbers, want) {
		t.Errorf("records of %v, want %v", numbers, want)
	}
}

// A hot restart passes the version to the successor in this form.
func TestVersionJSON(t *testing.T) {
	text, err := json.Marshal(Version{Number: 7, Sum: "ab", Body: []byte("(x)")})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Number":7,"Sum":"ab","Body":"KHgp"}`; string(text) != want {
		t.Errorf("%s, want %s", text, want)
	}
}

func TestDeltaKindNames(t *testing.T) {
	for kind, want := range map[DeltaKind]string{DeltaDrains: "drains", DeltaStarts: "starts", DeltaChanges: "changes", DeltaRemovals: "removals"} {
		if got := kind.String(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

package store

import (
	"encoding/json"
	"testing"
)

// The JSON keys of Stats and Recovered are fixed by struct tags: monitoring reads them from GET
// /-/state, so renaming a Go field must not change them.
func TestStatePageKeys(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"stats", Stats{Stored: 1, Refused: 2, Hits: 3, Misses: 4, Purged: 5, Corrupt: 6, Evicted: 7, Rewritten: 8, WrittenBytes: 9, BodyBytes: 10},
			`{"Kept":1,"Refused":2,"Found":3,"Missed":4,"Void":5,"Damaged":6,"Evicted":7,"Moved":8,"Written":9,"Bodies":10}`},
		{"recovered", Recovered{Objects: 1, Bytes: 2, Purges: 3, CorruptEntries: 4, Quarantined: nil, DiscardReason: "why"},
			`{"Copies":1,"Bytes":2,"Purges":3,"Damaged":4,"Aside":null,"Cold":"why"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.value)
			if err != nil || string(got) != c.want {
				t.Errorf("got %s, error %v; want %s", got, err, c.want)
			}
		})
	}
}

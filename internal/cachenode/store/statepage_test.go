package store

import (
	"encoding/json"
	"testing"
)

// The keys on the state page of a cache don't depend on the names of the fields.
func TestStatePageKeys(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"stats", Stats{1, 2, 3, 4, 5, 6, 7, 8, 9, 10},
			`{"Kept":1,"Refused":2,"Found":3,"Missed":4,"Void":5,"Damaged":6,"Evicted":7,"Moved":8,"Written":9,"Bodies":10}`},
		{"recovered", Recovered{1, 2, 3, 4, nil, "why"},
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

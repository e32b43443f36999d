package thriftrpc

import (
	"testing"

	spool "indigospool"
)

func TestRequestBounds(t *testing.T) {
	classes := map[string]*spool.Class{"r": {Deadline: 1000}, "w": {Deadline: 1000, Idempotency: spool.IdempotentByKey, Write: true}}
	ask := func(class, wait, slice, set, once string, body int) error {
		call := Call{Fields: map[string]string{"id": "9b1f03aa5c7e2d41", "key": "9b1f03aa5c7e2d41", "class": class, "wait": wait,
			"slice": slice, "set": set, "once": once}, Body: make([]byte, body)}
		_, err := ParseRequest(&call, func(n string) *spool.Class { return classes[n] })
		return err
	}
	once := "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	for _, test := range []struct {
		class, wait, slice, set, once string
		body                          int
		good                          bool
	}{
		{"r", "1", "0", "0", "", 0, true}, {"r", "1000", "19", "255", "", 0, true}, {"w", "1000", "0", "0", once, MaxWriteBytes, true},
		{"r", "0", "0", "0", "", 0, false}, {"r", "1002", "0", "0", "", 0, false}, {"r", "+5", "0", "0", "", 0, false},
		{"r", "1e3", "0", "0", "", 0, false}, {"r", "99999999999999999999", "0", "0", "", 0, false},
		{"r", "5", "65537", "0", "", 0, false}, {"r", "5", "0", "256", "", 0, false}, {"r", "5", "0", "0", once, 0, false},
		{"r", "5", "0", "0", "", 1, false}, {"w", "5", "0", "0", once, MaxWriteBytes + 1, false}, {"w", "5", "0", "0", "", 0, false},
		{"x", "5", "0", "0", "", 0, false},
	} {
		if err := ask(test.class, test.wait, test.slice, test.set, test.once, test.body); (err == nil) != test.good {
			t.Errorf("%+v: %v", test, err)
		}
	}
}

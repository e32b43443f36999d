package discovery

import (
	"testing"
)

func TestDecodeKnown(t *testing.T) {
	const doc = `{"n":3,"events":[{"n":1,"members":{"index":7,"endpoints":[{"name":"s-00c41f7a","address":"10.1.0.9:5050","zone":"a",
	 "type":"box","group":2,"status":"ready","weight":4,"since_ms":0}]}},{"n":2,"purge":{"key":"7f3a9c21e0b4d655","at":9}},{"n":3,"purge":{"group":17,"at":8}}]}`
	decoder, events := newDecoder(), 0
	count := func(e Event) {
		if events++; e.Number == 1 && (e.Kind != Snapshot || e.Endpoints[0].Weight != 4) || e.Number == 2 && e.Object == "" || e.Number == 3 && e.Group != 17 {
			t.Errorf("%+v", e)
		}
	}
	for range 2 { // the second time there are no new events
		if err := decoder.DecodeKnown([]byte(doc), count); err != nil || events != 3 || decoder.LastNumber != 3 {
			t.Fatalf("%v, %d events, last %d", err, events, decoder.LastNumber)
		}
	}
	for _, bad := range []string{"", "[]", `{"n":9,"events":[{"n":8,"purge":{"group":1}},{"n":9}]}`,
		`{"n":9,"events":[{"n":9,"members":{"endpoints":[{"name":"a b","address":"10.1.0.9:5050","status":"ready"}]}}]}`,
		`{"n":9,"events":[{"n":9,"members":{"endpoints":[{"name":"a","address":"there","status":"ready"}]}}]}`} {
		if err := decoder.DecodeKnown([]byte(bad), func(e Event) { t.Errorf("%s: delivered %+v", bad, e) }); err == nil || decoder.LastNumber != 3 {
			t.Errorf("%s: accepted, or the last event is %d instead of 3", bad, decoder.LastNumber)
		}
	}
}

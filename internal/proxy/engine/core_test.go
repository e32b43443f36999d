package engine

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/protocol/http1"
)

const testSettings = `
(router (zone z) (deadline-header "X-Within"))
(fill (range-kb 64))
(class still (deadline 3000)) (class film (parts) (deadline 6000))
(class order (write) (effect guarded) (group all) (window 2000))
(route "/s/{group}/{object}" (class still))
(route "/v/{group}/{object}/{part}" (class film) (kb 640))
(route "/r/{object}" (class film) (ranges))
(route "/o/{object}" (class order))
(route "/x/*" (class still))
(member b1 (zone z) (address "127.0.0.1:1"))
(member b2 (zone z) (address "127.0.0.1:2"))
`

func newCore(t testing.TB) *Core {
	var s config.Settings
	if err := config.Read("t.edn", testSettings, &s); err != nil {
		t.Fatal(err)
	}
	c, err := New(&s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func head(t testing.TB, c *Core, msg string) *http1.Head {
	var h http1.Head
	if n, err := c.Parse([]byte(msg+"Host: h\r\n\r\n"), &h); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	return &h
}

// TestClassify checks how paths, methods and header fields are converted into requests or
// rejected.
func TestClassify(t *testing.T) {
	c := newCore(t)
	for _, k := range []struct {
		msg    string
		err    error
		class  string
		object string
		part   int
		group  int
		kb     float64
		within float64
	}{
		{"GET /s/7/a.jpg HTTP/1.1\r\n", nil, "still", "/s/7/a.jpg", 0, 7, 0, 3000},
		{"GET /s/7/a.jpg?w=2 HTTP/1.1\r\nX-Within: 250\r\n", nil, "still", "/s/7/a.jpg", 0, 7, 0, 250},
		{"GET /s/7/a.jpg HTTP/1.1\r\nX-Within: 99999\r\n", nil, "still", "/s/7/a.jpg", 0, 7, 0, 3000},
		{"GET /s/7/a.jpg HTTP/1.1\r\nX-Within: -1\r\n", ErrDeadline, "", "", 0, 0, 0, 0},
		{"HEAD http://h/v/3/f/12 HTTP/1.1\r\nSpool-KB: 12.5\r\n", nil, "film", "/v/3/f", 12, 3, 12.5, 6000},
		{"GET /v/3/f/12 HTTP/1.1\r\n", nil, "film", "/v/3/f", 12, 3, 640, 6000},
		{"GET /v/3/f/x HTTP/1.1\r\n", ErrPart, "", "", 0, 0, 0, 0},
		{"GET /v/3/f/ HTTP/1.1\r\n", ErrNoRoute, "", "", 0, 0, 0, 0},
		{"GET /v/3/f/1/2 HTTP/1.1\r\n", ErrNoRoute, "", "", 0, 0, 0, 0},
		{"GET /r/f HTTP/1.1\r\nRange: bytes=131072-196607\r\n", nil, "film", "/r/f", 2, -1, 0, 6000},
		{"GET /r/f HTTP/1.1\r\nRange: bytes=1-2\r\n", ErrRange, "", "", 0, 0, 0, 0},
		{"GET /r/f HTTP/1.1\r\nRange: bytes=-2\r\n", ErrRange, "", "", 0, 0, 0, 0},
		{"POST /o/1 HTTP/1.1\r\nIdempotency-Key: k\r\n", nil, "order", "/o/1", 0, -1, 0, 3000},
		{"POST /o/1 HTTP/1.1\r\n", ErrIdempotencyKey, "", "", 0, 0, 0, 0},
		{"GET /o/1 HTTP/1.1\r\n", ErrMethod, "", "", 0, 0, 0, 0},
		{"DELETE /s/7/a HTTP/1.1\r\n", ErrMethod, "", "", 0, 0, 0, 0},
		{"GET /x/a/b/c HTTP/1.1\r\n", nil, "still", "/x/a/b/c", 0, -1, 0, 3000},
		{"GET / HTTP/1.1\r\n", ErrNoRoute, "", "", 0, 0, 0, 0},
	} {
		q, err := c.Classify("r", 1000, head(t, c, k.msg))
		if err != k.err {
			t.Errorf("%q: %v, want %v", k.msg, err, k.err)
			continue
		}
		if err == nil && (q.Class != k.class || q.Object != k.object || q.Part != k.part || q.Group != k.group ||
			q.KB != k.kb || q.Deadline != 1000+k.within || q.Write != strings.HasPrefix(k.msg, "POST")) {
			t.Errorf("%q: %+v, want %+v", k.msg, q, k)
		}
	}
}

// TestMemberStarts guards against a member that counts as restarted each time its uptime is
// reported: two reports of one start number with different uptimes keep the first ReadyAt, and
// only another number is a new start. It also checks updates that are outdated or follow a gap,
// and members missing from a snapshot.
func TestMemberStarts(t *testing.T) {
	c := newCore(t)
	apply := func(now float64, line string) ApplyResult {
		n, err := ParseUpdate([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		return c.Apply(now, n)
	}
	row := func(a ApplyResult) spool.Member { return a.Events[0].(spool.Members).Rows[0] }
	if m := row(apply(1000, `{"rev":1,"how":"full","members":[{"id":"b","start":1}]}`)); m.ReadyAt != 0 {
		t.Fatalf("a member without an uptime is ready at %v, want 0", m.ReadyAt)
	}
	first := row(apply(5000, `{"rev":2,"how":"delta","members":[{"id":"b","start":2,"up_ms":300}]}`))
	if first.ReadyAt != 4700 {
		t.Fatalf("a new start is ready at %v, want 4700", first.ReadyAt)
	}
	if again := row(apply(6000, `{"rev":3,"how":"full","members":[{"id":"b","start":2,"up_ms":1290}]}`)); again.ReadyAt != 4700 {
		t.Fatalf("the same start, reported again, is ready at %v, want 4700", again.ReadyAt)
	}
	if a := apply(6000, `{"rev":2,"how":"full","members":[{"id":"b","start":1}],"purge":{"object":"o"}}`); !a.Outdated || len(a.Events) != 1 {
		t.Fatalf("an outdated snapshot with a purge gave %+v, want only the purge", a)
	}
	if a := apply(6000, `{"rev":7,"how":"delta","members":[{"id":"c"}]}`); !a.Gap || len(a.Events) != 0 {
		t.Fatalf("a delta after a gap gave %+v, want no events", a)
	}
	if a := apply(7000, `{"rev":8,"how":"full","members":[]}`); len(a.Events) != 1 {
		t.Fatalf("an empty snapshot gave %+v, want one event", a)
	}
	if m, _ := c.Member("b"); m.State != spool.Removed {
		t.Fatalf("a member missing from a snapshot is in state %v, want removed", m.State)
	}
}

// TestParseUpdateInvalid checks that ParseUpdate rejects malformed lines, unknown values,
// duplicates, negative numbers and control characters.
func TestParseUpdateInvalid(t *testing.T) {
	for _, line := range []string{``, `{"rev":1`, `[]`, `{"rev":1}`, `{"rev":1,"how":"some","members":[]}`,
		`{"rev":1,"members":[{"id":"a"}]}`, `{"rev":1,"how":"full","members":[{"zone":"a"}]}`,
		`{"rev":1,"how":"full","members":[{"id":"a"},{"id":"a"}]}`,
		`{"rev":1,"how":"full","members":[{"id":"a","state":"up"}]}`,
		`{"rev":1,"how":"full","members":[{"id":"a","up_ms":-4}]}`,
		`{"rev":1,"how":"full","members":[{"id":"a\n"}]}`, `{"rev":1,"how":"full","members":[{"id":"a","zone":"\u001b[31m"}]}`, `{"rev":1,"purge":{"age_ms":-1}}`} {
		if n, err := ParseUpdate([]byte(line)); err == nil {
			t.Errorf("%s was accepted as %+v", line, n)
		}
	}
}

// TestSendHasAddress checks that a request leads to a Send to a listed cache, and that the Core
// knows the cache's address.
func TestSendHasAddress(t *testing.T) {
	c := newCore(t)
	for _, ev := range c.Apply(1, UpdateFromSettings(c.Settings)).Events {
		c.Handle(1, ev, nil)
	}
	q, err := c.Classify("r1", 1, head(t, c, "GET /s/7/a.jpg HTTP/1.1\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range c.Handle(1, q, nil) {
		if s, ok := a.(spool.Send); ok {
			if c.Address(s.Cache) == "" {
				t.Fatalf("no address for %q", s.Cache)
			}
			return
		}
	}
	t.Fatal("the module sent no attempt")
}

// TestClockSteps checks that each request gets exactly one final action when the caller's clock
// steps forward or back by up to an hour: the module's own time only goes forward.
func TestClockSteps(t *testing.T) {
	c := newCore(t)
	timers := map[int64]float64{}
	finals := map[string]int{}
	record := func(acts []spool.Action, now float64) {
		for _, a := range acts {
			switch a := a.(type) {
			case spool.Wake:
				timers[a.Token] = now + a.In
			case spool.Refuse:
				finals[a.ID]++
			case spool.Fail:
				finals[a.ID]++
			}
		}
	}
	now := 1000.0
	for _, ev := range c.Apply(now, UpdateFromSettings(c.Settings)).Events {
		record(c.Handle(now, ev, nil), now)
	}
	ids := 0
	for _, step := range []float64{0, -900, 50, 3_600_000, -3_600_000, 20, 5000, 5000, 5000} {
		now += step
		ids++
		q, err := c.Classify("r"+string(rune('0'+ids)), now, head(t, c, "GET /s/7/a.jpg HTTP/1.1\r\n"))
		if err != nil {
			t.Fatal(err)
		}
		record(c.Handle(now, q, nil), now)
		for token, due := range timers {
			if due <= now {
				delete(timers, token)
				record(c.Handle(now, spool.Timer{Token: token}, nil), now)
			}
		}
	}
	for round := 0; len(finals) < ids && round < 1000; round++ {
		for token, due := range timers {
			now = max(now, due)
			delete(timers, token)
			record(c.Handle(now, spool.Timer{Token: token}, nil), now)
		}
	}
	if len(finals) != ids {
		t.Fatalf("%d of %d requests have a final action: %v", len(finals), ids, finals)
	}
	for id, n := range finals {
		if n != 1 {
			t.Errorf("%s has %d final actions", id, n)
		}
	}
}

// TestChangeSettings checks that new routes replace the old ones, that invalid settings change
// nothing, and that members of a configuration version are applied with its number.
func TestChangeSettings(t *testing.T) {
	c := newCore(t)
	for _, ev := range c.Apply(10, UpdateFromSettings(c.Settings)).Events {
		c.Handle(10, ev, nil)
	}
	next := &config.Settings{}
	if err := config.Read("n.edn", strings.Replace(testSettings, `"/x/*"`, `"/y/*"`, 1), next); err != nil {
		t.Fatal(err)
	}
	if _, err := c.ChangeSettings(20, next, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Classify("q", 30, head(t, c, "GET /y/a HTTP/1.1\r\n")); err != nil {
		t.Errorf("a path of the new route: %v", err)
	}
	if _, err := c.Classify("q", 30, head(t, c, "GET /x/a HTTP/1.1\r\n")); err != ErrNoRoute {
		t.Errorf("a path of the old route: %v, want ErrNoRoute", err)
	}
	bad := *next
	bad.Classes = nil
	if _, err := c.ChangeSettings(40, &bad, nil); err == nil || len(c.Settings.Classes) == 0 {
		t.Errorf("settings without a class: %v, want an error and the old settings", err)
	}
	for _, ev := range c.Apply(50, UpdateFromVersion(7, []config.Member{{ID: "b3", Zone: "z", Kind: "box", State: "serving"}}, true)).Events {
		c.Handle(50, ev, nil)
	}
	if m, ok := c.Member("b3"); !ok || m.ReadyAt <= 0 || c.Rev() != 7 {
		t.Errorf("a member of version 7 that has just started: %+v, list revision %d", m, c.Rev())
	}
}

// TestHTTPRequestRoundTrip checks that Classify converts the result of HTTPRequest into the same
// request, for random requests of every route, and that a request to which no route leads is an
// error.
func TestHTTPRequestRoundTrip(t *testing.T) {
	c := newCore(t)
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/s/%d/a%d", "/v/%d/f%d/PART", "/r/x%d%d", "/o/y%d%d", "/x/%d/%d/z"}).Draw(t, "path")
		path = fmt.Sprintf(path, rapid.IntRange(0, 99).Draw(t, "group"), rapid.IntRange(0, 9).Draw(t, "object"))
		part := rapid.IntRange(0, 70000).Draw(t, "part")
		msg := "GET "
		if path[1] == 'o' {
			msg = "POST "
		}
		msg += strings.Replace(path, "PART", fmt.Sprint(part), 1) + " HTTP/1.1\r\nIdempotency-Key: k\r\n"
		if path[1] == 'r' {
			msg += fmt.Sprintf("Range: bytes=%d-\r\n", part*65536)
		}
		if within := rapid.IntRange(0, 9000).Draw(t, "within"); within > 0 {
			msg += fmt.Sprintf("X-Within: %d\r\n", within)
		}
		if kb := rapid.IntRange(0, 900).Draw(t, "kb"); kb > 0 {
			msg += fmt.Sprintf("Spool-KB: %d\r\n", kb)
		}
		if rapid.Bool().Draw(t, "retry") {
			msg += "Spool-Retry: 1\r\n"
		}
		var h http1.Head
		if n, err := c.Parse([]byte(msg+"Host: h\r\n\r\n"), &h); n == 0 || err != nil {
			t.Fatal(n, err)
		}
		q, err := c.Classify("q", 1000, &h)
		if err != nil {
			t.Fatal(msg, err)
		}
		request, err := c.HTTPRequest(1000, &q)
		if err != nil {
			t.Fatal(msg, err)
		}
		again := request.Method + " " + request.Path + " HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
		for _, f := range request.Fields {
			again += f[0] + ": " + f[1] + "\r\n"
		}
		var h2 http1.Head
		if n, err := c.Parse([]byte(again+"\r\n"), &h2); n == 0 || err != nil {
			t.Fatal(again, n, err)
		}
		if q2, err := c.Classify("q", 1000, &h2); err != nil || q2 != q {
			t.Fatalf("%q became %q, which is classified as %+v, want %+v (error: %v)", msg, again, q2, q, err)
		}
	})
	for _, q := range []spool.Request{{Class: "still", Object: "/nowhere/1"}, {Class: "none", Object: "/s/1/a"}, {Class: "still", Object: "/s/1/a b", Group: 1}} {
		if got, err := c.HTTPRequest(1, &q); err == nil {
			t.Errorf("%+v became %+v, want an error", q, got)
		}
	}
}

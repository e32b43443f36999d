package hotrestart

import (
	"strings"
	"testing"
	"time"
)

// Each kind of message has a name of its own in errors.
func TestMessageKindString(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range []messageKind{messageHello, messageRefuse, messageSockets, messageLearnedState, messageClients,
		messageConfigVersion, messageComplete, messageReady, messageNote, messageConnections} {
		name := kind.String()
		if seen[name] || strings.HasPrefix(name, "unknown") {
			t.Errorf("kind %q is called %q", byte(kind), name)
		}
		seen[name] = true
	}
	if got := messageKind('?').String(); got != `unknown kind '?'` {
		t.Errorf("a kind that is none is called %s", got)
	}
}

// A successor's notes reach the predecessor in their order, as JSON; one that can't be
// encoded is an error, and the connection goes on.
func TestSuccessorSendsNotes(t *testing.T) {
	p := newPredecessor(t, 5*time.Second)
	successor, err := TakeOver(p.path)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Abort()
	if err := successor.Ready(func(int) {}, func([]byte) {}, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := successor.SendNote(func() {}); err == nil || !strings.Contains(err.Error(), "encode a note") {
		t.Errorf("a note that is no JSON: %v", err)
	}
	for _, note := range []string{"first", "second"} {
		if err := successor.SendNote(note); err != nil {
			t.Fatal(err)
		}
	}
	p.await("notes", func() bool { return len(p.notes) == 2 })
	if p.notes[0] != `"first"` || p.notes[1] != `"second"` {
		t.Errorf("notes %v", p.notes)
	}
}

package hotrestart

import (
	"strings"
	"testing"
	"time"
)

// TestMessageKindString checks that each kind of message has a different name.
func TestMessageKindString(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range []messageKind{messageHello, messageRefuse, messageSockets, messageLearnedState, messageClients,
		messageConfigVersion, messageComplete, messageReady, messageNote, messageConnections} {
		name := kind.String()
		if seen[name] || strings.HasPrefix(name, "unknown") {
			t.Errorf("kind %q has the name %q", byte(kind), name)
		}
		seen[name] = true
	}
	if got := messageKind('?').String(); got != `unknown kind '?'` {
		t.Errorf("an unknown kind has the name %s", got)
	}
}

// TestSuccessorSendsNotes checks that the predecessor receives a successor's notes in order, as
// JSON, and that a note which cannot be encoded is an error that does not end the connection.
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
		t.Errorf("a note that cannot be encoded: %v", err)
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

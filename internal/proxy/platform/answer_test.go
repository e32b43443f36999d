package platform

import (
	"testing"

	spool "indigospool"
	"indigospool/internal/protocol/discovery"
)

// TestAnswerWords checks the results for the words of answers, the notes for their 'how' fields
// and the names of member states, and that unknown ones are not recognized.
func TestAnswerWords(t *testing.T) {
	for word, want := range map[string]spool.Result{"HIT": spool.OK, "VALID": spool.OK, "NONE": spool.Miss,
		"SHED": spool.Rejected, "FAULT": spool.Errored, "LATE": spool.NotSent} {
		if got, known := resultOf([]byte(word)); got != want || !known {
			t.Errorf("%s: result %d, known %v; want %d", word, got, known, want)
		}
	}
	for _, word := range []string{"", "HOT", "hit"} {
		if _, known := resultOf([]byte(word)); known {
			t.Errorf("the word %q is accepted, want it to be unknown", word)
		}
	}
	for how, want := range map[string]spool.Note{"cached": spool.NoteHit, "fetched": spool.NoteFilled,
		"fetched_root": spool.NoteFilledByOrigin, "merged": spool.NoteJoined, "past_fresh": spool.NoteStale,
		"up_refused": spool.NoteSourceRejected, "up_lost": spool.NoteSourceUnreachable, "up_empty": spool.NoteSourceMiss,
		"fills_full": spool.NoteNoCapacity, "root_failed": spool.NoteOriginFailed, "": spool.NoteNone, "other": spool.NoteNone} {
		if got := noteOf([]byte(how)); got != want {
			t.Errorf("%q: note %d, want %d", how, got, want)
		}
	}
	for state, want := range map[discovery.State]string{discovery.Ready: "serving", discovery.Draining: "draining",
		discovery.Removed: "removed", discovery.Removed + 1: ""} {
		if got := memberState(state); got != want {
			t.Errorf("%v: state %q, want %q", state, got, want)
		}
	}
}

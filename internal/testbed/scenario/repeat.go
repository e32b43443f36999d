package scenario

import "math"

// minRepeatTimeMS is the least time, in ms, that a repeated write asks for: with less
// left of its window it is not worth sending.
const minRepeatTimeMS = 100

// writeTries is what a client knows of the tries of one write, and whether that lets
// it try once more without a risk that the effect happens twice.
type writeTries struct {
	dropWindow     float64 // for how long, ms, a repeat is surely dropped; 0: no promise of that
	firstUncertain float64 // when the first try that may have run was asked; +Inf: none
}

// newWriteTries is the state before the first try of a write of a class. The slack, in
// ms, is kept free at the end of the class's window for what the client does not see:
// how long its repeat takes from the router to the origin.
func newWriteTries(class *Class, slack float64) *writeTries {
	tries := &writeTries{firstUncertain: math.Inf(1)}
	if class.Idempotency == "guarded" && class.KeyScope == "all" {
		tries.dropWindow = max(class.KeyWindow-slack, 0)
	}
	return tries
}

// add notes the outcome of a try that was asked at a time. A 503 is the router's
// promise that a repeat is harmless, but of this try only; a try that nobody took ran
// nowhere; any other may have run.
func (tries *writeTries) add(asked float64, outcome response) {
	if outcome.status != 503 && outcome.err != outcomeUnreached {
		tries.firstUncertain = min(tries.firstUncertain, asked)
	}
}

// limit is until when the next try may run: for ever where none before it may have
// run, else until its repeat is no longer surely dropped.
func (tries *writeTries) limit() float64 { return tries.firstUncertain + tries.dropWindow }

// repeatable reports whether a try that is asked at a time is surely harmless.
func (tries *writeTries) repeatable(at float64) bool { return at+minRepeatTimeMS <= tries.limit() }

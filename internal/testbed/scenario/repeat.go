package scenario

import "math"

// minRepeatTimeMS is the minimum time that must remain of the window for a client to repeat a
// write.
const minRepeatTimeMS = 100

// writeTries holds the outcomes of a client's tries of one write. It decides whether the
// client can repeat the write without a risk that it takes effect twice.
type writeTries struct {
	dropWindow     float64 // time in ms for which all servers certainly drop repeats; 0: none
	firstUncertain float64 // start of the first try that may have been executed; +Inf: none
}

// newWriteTries returns the state before the first try of a write. The window is shortened
// by slack, in ms, to allow for the time that a repeat takes from the router to the origin.
func newWriteTries(class *Class, slack float64) *writeTries {
	tries := &writeTries{firstUncertain: math.Inf(1)}
	if class.Idempotency == "guarded" && class.KeyScope == "all" {
		tries.dropWindow = max(class.KeyWindow-slack, 0)
	}
	return tries
}

// add records the outcome of a try that was sent at a time. A 503 is the router's promise
// that repeating this try is safe; it says nothing of earlier ones. A try that no router
// accepted was not executed. Any other try may have been.
func (tries *writeTries) add(sentAt float64, outcome response) {
	if outcome.status != 503 && outcome.err != outcomeUnreached {
		tries.firstUncertain = min(tries.firstUncertain, sentAt)
	}
}

// limit returns the latest deadline of the next try: none if no earlier try may have been
// executed, otherwise the time until which servers certainly drop the repeat.
func (tries *writeTries) limit() float64 { return tries.firstUncertain + tries.dropWindow }

// repeatable reports whether a try that is sent at a time is certainly safe.
func (tries *writeTries) repeatable(at float64) bool { return at+minRepeatTimeMS <= tries.limit() }

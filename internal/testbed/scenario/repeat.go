package scenario

import "math"

// minRepeatTimeMS is the time that must remain until writeTries.limit for a client to repeat a
// write.
const minRepeatTimeMS = 100

// writeTries summarizes the outcomes of a client's tries of one write. It decides whether the
// client can repeat the write without a risk that it takes effect twice. Servers that
// deduplicate writes recognize a repeat by its idempotency key and discard it, but only for
// the class's KeyWindow after a try was sent.
type writeTries struct {
	dropWindow     float64 // time in ms after a try was sent for which every server certainly discards repeats; 0: none
	firstUncertain float64 // time at which the first try that may have been executed was sent; +Inf: none
}

// newWriteTries returns the state before the first try of a write. Every server discards
// repeats only if the class has idempotency keys (guarded) and all servers share them (scope
// all). The window is shortened by slack, in ms, to allow for the time that a repeat takes
// from the router to the origin.
func newWriteTries(class *Class, slack float64) *writeTries {
	tries := &writeTries{firstUncertain: math.Inf(1)}
	if class.Idempotency == "guarded" && class.KeyScope == "all" {
		tries.dropWindow = max(class.KeyWindow-slack, 0)
	}
	return tries
}

// add records the outcome of a try that was sent at time sentAt. A router answers 503 only if
// this try was not executed, which does not tell whether an earlier one was. A try that no
// router accepted was not executed either. Any other try may have been executed.
func (tries *writeTries) add(sentAt float64, outcome response) {
	if outcome.status != 503 && outcome.err != outcomeUnreached {
		tries.firstUncertain = min(tries.firstUncertain, sentAt)
	}
}

// limit returns the latest deadline that the next try may have, in ms of trafficlog.Now. It is
// +Inf if no recorded try may have been executed, and otherwise the end of the period in which
// every server discards a repeat.
func (tries *writeTries) limit() float64 { return tries.firstUncertain + tries.dropWindow }

// repeatable reports whether the write certainly does not take effect twice if the next try is
// sent at time at.
func (tries *writeTries) repeatable(at float64) bool { return at+minRepeatTimeMS <= tries.limit() }

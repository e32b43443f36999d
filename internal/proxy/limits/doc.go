// Package limits decides what a router does under load that the decision module
// can't see: sockets, bytes and its own loop's time. Which peer is cut off for being
// slow (flow.go), whose turn it is to move bytes (drr.go), how many requests may be in
// hand (admission.go), which repeats are turned away and when clients may come again
// (retries.go), whose addresses have wasted their places (standing.go), and who goes
// first when memory runs out (memory.go).
//
// It does no I/O and has no clock: times come from the caller, in milliseconds, and
// chance from a seed. It never chooses a cache, a source or a retry of an attempt:
// those are the module's. internal/proxy/httpfront carries out what it decides;
// docs/limits.md weighs the options.
package limits

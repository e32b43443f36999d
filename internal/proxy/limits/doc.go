// Package limits decides what a router does under load that the decision module cannot see:
// sockets, bytes and the time of its own loop.
//
//   - flow.go, massslowness.go: which peer is cut off because it is slow
//   - drr.go: whose turn it is to move bytes
//   - admission.go: how many requests may be in flight
//   - retrybudget.go, jitter.go, readpause.go: which of clients' retries are rejected, when
//     rejected clients are asked to come again, and when they are read again
//   - reputation.go: which client addresses have wasted the capacity that they were given
//   - budget.go, shedding.go, unread.go: memory, the process's and the kernel's, and which
//     requests and connections are given up when it runs out
//   - quota.go, clientactivity.go: descriptors, and which connections are closed to have some
//   - backoff.go: when this router asks a lost service again
//   - cause.go: the reasons for all that, as logs and counters name them
//
// It owns the state of these limits and nothing else: it does no I/O and has no clock. Times
// come from the caller, in milliseconds on any clock that runs evenly, and chance comes from a
// seed. It never chooses a cache, a source or a retry of an attempt: the decision module does.
// Nothing in it may be used by several goroutines at a time.
//
// Where to go next: internal/proxy/httpfront (guard.go) and internal/proxy/platform carry out
// what it decides; docs/limits.md weighs the options.
package limits

// Package limits protects a router from overload of the resources that the decision module
// does not see: connections, bytes, memory and the time of the router's event loop.
//
//   - flow.go, massslowness.go: which peers are disconnected because they are slow
//   - drr.go: in which order connections move bytes
//   - admission.go: how many requests may be in flight
//   - retrybudget.go, jitter.go, readpause.go: which retries of clients are rejected, when
//     rejected clients are told to retry, and when their connections are read again
//   - reputation.go: which client addresses have wasted the capacity given to them
//   - budget.go, shedding.go, unread.go: memory of the process and of the kernel, and which
//     requests and connections are shed when it runs out
//   - quota.go, clientactivity.go: file descriptors, and which connections are closed to free
//     some
//   - backoff.go: when this router reconnects to a lost service
//   - cause.go: the causes of these actions, as logs and counters name them
//
// The package only keeps the state of these limits: it does no I/O and has no clock. Times come
// from the caller, in milliseconds on any clock that runs evenly, and random numbers from a
// seed. The package never chooses a cache, a source or a retry of an attempt; the decision
// module does. Its types are not safe for concurrent use.
//
// Where to go next: internal/proxy/httpfront (guard.go) and internal/proxy/platform act on
// these decisions; docs/limits.md compares the options.
package limits

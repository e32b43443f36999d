// Package eventloop implements an event loop on Linux's epoll: readiness of file descriptors,
// timers, and calls posted from other goroutines. Accept, connect, read and write go through it,
// so that one place classifies their errors: Retryable (the call can be made again later),
// Broken (the connection has ended) and IsLocalShortage (this machine lacks a resource, and the
// peer is not at fault). Tests and fault injection make these calls fail by Intercept.
//
// A Loop owns its epoll descriptor, its timers and its queue of posted calls. Callers own their
// sockets, and close them; the loop never reads or writes a socket except when a caller does so
// through it.
//
// One goroutine, locked to its thread, runs a Loop. Only Post, Call and Stop may be called from
// other goroutines. The loop runs in turns: each waits for events, calls the handlers, then the
// posted calls, the timers that are due, and the function set by AfterEachTurn. Handling an
// event allocates nothing. Times are readings of the system's monotonic clock in milliseconds,
// so that the times of processes on one machine are comparable.
//
// Where to go next: loop.go (turns and watched descriptors), timer.go, post.go, io.go (Read and
// Write, and retries after errors), listener.go and dial.go (connections), and errors.go.
// Connections on top of it are in internal/proxy/httpfront, internal/proxy/platform and
// internal/cachenode/server.
package eventloop

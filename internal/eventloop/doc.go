// Package eventloop is an event loop on Linux's epoll: readiness of file descriptors, timers,
// and calls posted from other threads. Accept, connect, read and write go through it, so that
// one place decides what their errors mean: Later (make the call again later), Broken (the
// connection has ended) or IsLocalShortage (this machine lacks something, and the peer is not
// to blame). Tests and fault injection have any of these calls fail by Intercept.
//
// It owns the epoll descriptor, the timers and the queue of posted calls. Sockets stay their
// callers' to close, and what is read and written is theirs too: the loop never reads or
// writes a socket of its own accord.
//
// One goroutine, locked to its thread, runs a Loop, and everything but Post, Call and Stop
// belongs to that goroutine. It runs in turns: each waits for readiness, hands it to the
// handlers, runs posted calls, then timers that are due, then AfterEachTurn's function. The
// path of an event allocates nothing. Times are readings of the system's monotonic clock in
// milliseconds, so that records of processes on one machine can be compared.
//
// Where to go next: loop.go (the turn and the watched descriptors), timer.go, post.go, io.go
// (Read and Write, and what follows their errors), listener.go and dial.go (connections), and
// errors.go. Connections on top of it are in internal/proxy/httpfront, internal/proxy/platform
// and internal/cachenode/server.
package eventloop

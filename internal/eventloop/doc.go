// Package loop is an event loop on Linux's epoll: readiness of descriptors,
// timers, and calls posted from other threads. One goroutine, locked to its
// thread, runs it; everything but Post and Stop belongs to that goroutine.
//
// Handlers make their system calls on sockets through it, so that one place decides which
// errors are for later (Later), end a connection (Broken) or are this machine's own
// (IsLocalShortage), and tests can have any call fail (Intercept). It never reads or writes a
// descriptor of its own accord and never allocates on the path of an event. The clock is
// the system's monotonic one, in milliseconds, so that records of processes on one machine
// can be set side by side. Connections on top of it are in internal/proxy/httpfront.
package eventloop

// Package hotrestart passes a router's sockets and learned state to the process that replaces
// it, over a Unix socket (SCM_RIGHTS, see unix(7)), so that a restart closes no connection and
// loses no learned state. Envoy calls this a hot restart.
//
// The predecessor listens (Listen, predecessor.go). A successor connects (TakeOver,
// successor.go) and receives the listening sockets, the learned state and the configuration
// version in use. When it calls Ready, the predecessor begins to drain and passes on its
// clients' connections, each between two requests (Sender, sender.go). Until then the
// predecessor serves as before, and it continues to do so if the successor fails. The messages
// are in protocol.go.
//
// The package owns the Unix socket and the goroutines that read and write it. It does not take
// part in routing: the event loop queues descriptors here, and gets callbacks. Package
// learnedstate encodes the state; package httpfront uses both sides.
package hotrestart

// Package hotrestart passes a router's sockets and learned state to the process that
// replaces it, over a Unix socket (SCM_RIGHTS, see unix(7)), so that a restart closes no
// connection and forgets nothing. It is what Envoy calls a hot restart.
//
// The predecessor listens (Listen, predecessor.go). A successor connects (TakeOver,
// successor.go) and is given the listening sockets, the learned state and the
// configuration version in force. Once it has called Ready, the predecessor drains and
// passes on the clients' connections, each between two requests (Sender, sender.go).
// Until then the predecessor serves as before, and goes on if the successor fails.
// The messages of both are in protocol.go.
//
// The package owns the Unix socket and the goroutines that read and write it. It decides
// nothing about routing: an event loop only queues descriptors here, and is called back.
// Package learnedstate encodes the state; package httpfront takes part on both sides.
package hotrestart

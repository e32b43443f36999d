// Package handover passes a router's sockets, and what it has learned, to the
// process that takes over from it, over a Unix socket (SCM_RIGHTS, see unix(7)): the
// listening sockets first, then a memory as bytes, and, once the successor serves,
// clients' connections between requests.
//
// It decides nothing of a router's. It belongs to goroutines of its own: an event
// loop only queues descriptors, and is called back where something has come. The
// predecessor goes on as before until the successor has said that it serves.
package hotrestart

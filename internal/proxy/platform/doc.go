// Package platform is the router's front end on the platform. Clients send requests over
// Thrift; caches, parents and the origin are reached over RESP; the discovery stream carries
// the endpoint list and purges.
//
// It owns the sockets, the requests in flight, the connection pools and the configuration
// file. It makes no routing decisions: messages that it reads become events for
// indigospool.Router, and the actions that the router returns become messages. Everything
// runs on one event loop. The package writes no files and listens at one address.
//
// Where to go next:
//   - client_input.go: reading requests from clients; client_output.go: writing answers
//   - dispatch.go: passing events to the router and executing its actions
//   - attempt.go, pool.go, connection.go, answer.go: one attempt at a member, in this order
//   - discovery_stream.go, discovery_events.go: the endpoint list and purges
//   - reload.go, drain.go: SIGHUP and SIGTERM
//   - docs/platform.md: the protocol and its edge cases
package platform

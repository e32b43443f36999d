// Package platform is the front end of the router on the platform. Clients send requests by
// Thrift, caches, parents and the origin are reached by RESP, and the discovery stream
// carries the endpoint list and purges.
//
// It owns sockets, requests in flight, connection pools and the configuration file. It
// decides nothing about routing: what it reads becomes events of indigospool.Router, and
// the actions that come back become bytes. All of it runs on one event loop; it writes no
// files and listens at one address.
//
// Where to go next:
//   - client_input.go: a client's bytes become requests; client_output.go: answers
//   - dispatch.go: events to the router, and its actions
//   - attempt.go, pool.go, connection.go, answer.go: one attempt at a member, in this order
//   - discovery_stream.go, discovery_events.go: the endpoint list and purges
//   - reload.go, drain.go: SIGHUP and SIGTERM
//   - docs/platform.md: the protocol, and what happens at each of its edges
package platform

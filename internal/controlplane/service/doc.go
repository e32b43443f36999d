// Package service implements the control service and the router's client of it: the
// channel over which routers receive numbered versions of their settings. The channel
// is xDS aggregated discovery over gRPC, in both protocol variants, with a resource
// type of its own ([SettingsType]).
//
// The package handles the gRPC streams, the service's persistent state, the folder of
// settings that a service watches, and the listener for operators. Decisions are made
// elsewhere, without I/O: the stages of a rollout in internal/controlplane/rollout, and
// which version a router accepts and when it runs it in
// internal/controlplane/configversion. The stores on disk are in
// internal/controlplane/configstore.
//
// Where to go next:
//
//   - [Server] (server.go) is the service; stream.go serves one router's stream, and
//     storefault.go handles the time while the state can't be persisted;
//   - [Service] (service.go) is a Server as spool-control runs it, with statestore.go,
//     folder.go, admin.go (operators' requests) and settings.go (its settings file);
//   - [Agent] (agent.go) is the router's side: agentstream.go follows one service, and
//     agentstore.go stores versions before they are acknowledged;
//   - sotw.go and delta.go are the state-of-the-world and the incremental protocol on
//     both sides, resource.go has their common parts, and snapshots.go and pieces.go the
//     content that the incremental protocol sends;
//   - loadreport.go is Envoy's load reporting on both sides.
//
// The goroutines of this package run outside the routers' event loops and don't handle
// requests: an agent passes a version to its router through a callback, which posts it
// to the event loop.
package service

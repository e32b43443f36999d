// Package service is the control service and a router's side of it: the channel by
// which routers receive numbered versions of their settings. The channel is xDS's
// aggregated discovery over gRPC, in both of its protocols, with a resource type of
// our own ([SettingsType]).
//
// It owns the gRPC streams, the service's persisted state, the folder of settings
// that a service watches, and the listener for operators. Decisions are made without
// I/O elsewhere: a service's, on the stages of a rollout, in
// internal/controlplane/rollout; a router's, on which version it accepts and when it
// runs it, in internal/controlplane/configversion. Stores on disk are
// internal/controlplane/configstore.
//
// Where to go next:
//
//   - [Server] (server.go) is the service; stream.go serves one router's stream, and
//     storefault.go says what happens while its state can't be persisted;
//   - [Service] (service.go) is a Server as spool-control runs it, with statestore.go,
//     folder.go, admin.go (operators' requests) and settings.go (its settings file);
//   - [Agent] (agent.go) is a router's side: agentstream.go follows one service,
//     agentstore.go stores versions before they are acknowledged;
//   - sotw.go and delta.go are the state-of-the-world and the incremental protocol of
//     both sides, resource.go their common parts, snapshots.go and pieces.go what the
//     incremental protocol sends;
//   - loadreport.go is Envoy's load reporting of both sides.
//
// Goroutines of this package run beside the routers' event loops and never touch a
// request: an agent hands a version to its router by a callback, which posts it.
package service

// Package compat tests that the current code reads the files that earlier versions of the programs
// wrote: a cache's store, a router's configuration store, a control service's store, a decision
// journal and a snapshot of learned state. The files are under testdata. The package has no code
// but tests.
//
// A folder of testdata is named after the commit whose code wrote it, and its want.json describes
// the contents. The folders must not change: when a format on disk changes, a new folder is added.
// The formats are defined by internal/cachenode/store, internal/controlplane/configstore,
// internal/decisionlog/journal and internal/proxy/learnedstate.
package compat

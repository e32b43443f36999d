// Package compat holds what earlier versions of the programs have stored, as files under
// testdata, and tests that read them with the code as it is: a cache's store, a router's
// store of configurations, a control service's store, a journal of decisions and a
// snapshot of learned state. It has no code of its own.
//
// A folder of testdata is named for the commit whose code wrote it; want.json in it says
// what was written. The folders stay as they are: where a form on disk changes, a new one
// is added beside them. Where to go next: internal/cachenode/store,
// internal/controlplane/configstore, internal/decisionlog/journal and
// internal/proxy/learnedstate, which own the forms.
package compat

package service

import (
	"errors"
	"fmt"
	"time"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// pendingVersion is a version that could not be stored yet. The service gets no reply
// to it until it is stored or rejected.
type pendingVersion struct {
	version configversion.Version
	since   time.Time
}

// restore starts with the last good version, if it can be read.
func (a *Agent) restore() {
	found := configversion.Restored{Err: configstore.ErrNoVersion}
	if a.cfg.Store != nil {
		found = a.cfg.Store.Restored(time.Now())
	}
	var fault *configstore.FaultError
	a.restoring = errors.As(found.Err, &fault)
	if a.restoring {
		a.cfg.Warn(fmt.Sprintf("the last good configuration can't be read for now; retrying: %v", fault))
	}
	empty := errors.Is(found.Err, configstore.ErrNoVersion)
	switch {
	case (a.restoring || empty) && a.cfg.Initial.Number > 0:
		a.handle(configversion.Restored{Version: a.cfg.Initial})
	case !a.restoring && !empty:
		a.handle(found)
	}
}

// storeVersion stores a version and returns the resulting events. If that fails, it is
// retried later and there is no event until then. But a router without a running
// version does not wait for its disk: it runs the version, and acknowledges it once it
// is stored.
func (a *Agent) storeVersion(version configversion.Version) []configversion.Event {
	if a.cfg.Store == nil {
		return []configversion.Event{configversion.Stored{Number: version.Number}}
	}
	a.pending = nil // superseded by this version
	err := a.cfg.Store.Put(version, time.Now())
	if err == nil {
		return a.versionStored(version)
	}
	a.cfg.Warn(fmt.Sprintf("configuration %d can't be stored for now; retrying: %v", version.Number, err))
	select {
	case a.storeFailed <- struct{}{}:
	default:
	}
	if a.machine.Accepted().Number == 0 {
		a.unstored = version
		return []configversion.Event{configversion.Stored{Number: version.Number}}
	}
	a.pending = &pendingVersion{version, time.Now()}
	return nil
}

// versionStored returns the events that result from storing a version. If the store
// could not be read until now, it may contain a newer version that was acknowledged
// before.
func (a *Agent) versionStored(version configversion.Version) []configversion.Event {
	a.pending, a.unstored = nil, configversion.Version{}
	stored := []configversion.Event{configversion.Stored{Number: version.Number}}
	if !a.restoring {
		return stored
	}
	a.restoring = false
	last, _, err := a.cfg.Store.Last()
	if err != nil || last.Number <= version.Number {
		return stored
	}
	err = fmt.Errorf("control: number %d is older than %d, which was accepted", version.Number, last.Number)
	return []configversion.Event{configversion.Stored{Number: version.Number, Err: err}, a.cfg.Store.Restored(time.Now())}
}

// acknowledge acknowledges a version, unless it runs without being stored.
func (a *Agent) acknowledge(number int64) {
	if number != a.unstored.Number {
		a.reply(number, nil)
	}
}

// acknowledgedNumber returns the highest acknowledged number.
func (a *Agent) acknowledgedNumber() int64 {
	if a.unstored.Number > 0 {
		return 0
	}
	return a.machine.HighestAccepted()
}

// retryStoreLoop retries failed reads and writes of the store with backoff, until the
// agent is closed.
func (a *Agent) retryStoreLoop() {
	delay := firstRetryDelay
	for {
		select {
		case <-a.storeFailed:
			delay = firstRetryDelay
			continue
		case <-time.After(delay):
		case <-a.ctx.Done():
			return
		}
		delay = min(2*delay, maxRetryDelay)
		if a.retryStore() {
			delay = maxRetryDelay
		}
	}
}

// retryStore retries what failed, and reports whether nothing is left to retry.
func (a *Agent) retryStore() (done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.pending != nil:
		return a.retryPending()
	case a.unstored.Number > 0:
		return a.retryUnstored()
	case a.restoring:
		return a.retryRestore()
	}
	_, fault := a.cfg.Store.Fault()
	return fault == nil || a.cfg.Store.Recover() == nil
}

// retryPending retries to store the pending version, and rejects it after
// AgentConfig.StoreTimeout.
func (a *Agent) retryPending() (done bool) {
	version, since := a.pending.version, a.pending.since
	err := a.cfg.Store.Put(version, time.Now())
	if err == nil {
		a.handleLocked(a.versionStored(version)...)
		return true
	}
	if time.Since(since) >= a.cfg.StoreTimeout {
		a.pending = nil
		a.handleLocked(configversion.Stored{Number: version.Number, Err: err})
	}
	return false
}

// retryUnstored retries to store the version that runs without being stored, and then
// acknowledges it.
func (a *Agent) retryUnstored() (done bool) {
	version := a.unstored
	if a.cfg.Store.Put(version, time.Now()) != nil {
		return false
	}
	a.unstored, a.restoring = configversion.Version{}, false
	if _, offered := a.nonces[version.Number]; offered {
		a.reply(version.Number, nil)
	}
	return true
}

// retryRestore retries to read the last good version.
func (a *Agent) retryRestore() (done bool) {
	if a.cfg.Store.Recover() != nil {
		return false
	}
	found := a.cfg.Store.Restored(time.Now())
	var fault *configstore.FaultError
	if errors.As(found.Err, &fault) {
		return false
	}
	a.restoring = false
	if !errors.Is(found.Err, configstore.ErrNoVersion) {
		a.handleLocked(found)
	}
	return true
}

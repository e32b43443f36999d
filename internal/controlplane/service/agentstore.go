package service

import (
	"errors"
	"fmt"
	"time"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// pendingVersion is a version that could not be stored yet, and to which nothing is
// replied until it is.
type pendingVersion struct {
	version configversion.Version
	since   time.Time
}

// restore begins with the last good version, as far as it can be read for now.
func (a *Agent) restore() {
	found := configversion.Restored{Err: configstore.ErrNoVersion}
	if a.cfg.Store != nil {
		found = a.cfg.Store.Restored(time.Now())
	}
	var fault *configstore.FaultError
	a.restoring = errors.As(found.Err, &fault)
	if a.restoring {
		a.cfg.Warn(fmt.Sprintf("the last good configuration can't be read for now, and is tried again: %v", fault))
	}
	empty := errors.Is(found.Err, configstore.ErrNoVersion)
	switch {
	case (a.restoring || empty) && a.cfg.Initial.Number > 0:
		a.handle(configversion.Restored{Version: a.cfg.Initial})
	case !a.restoring && !empty:
		a.handle(found)
	}
}

// storeVersion stores a version, and returns the machine's events of that. Where it
// fails it is tried again, and there is no event until then; but a router that has
// nothing to run does not wait for its disk: it runs the version, and acknowledges it
// once it is stored.
func (a *Agent) storeVersion(version configversion.Version) []configversion.Event {
	if a.cfg.Store == nil {
		return []configversion.Event{configversion.Stored{Number: version.Number}}
	}
	a.pending = nil // an older one is superseded
	err := a.cfg.Store.Put(version, time.Now())
	if err == nil {
		return a.versionStored(version)
	}
	a.cfg.Warn(fmt.Sprintf("configuration %d can't be stored for now, and is tried again: %v", version.Number, err))
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

// versionStored returns the machine's events of a version that was stored. Where the
// store could not be read until now, it may have a newer one, which was acknowledged.
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

// acknowledge acknowledges a version, unless it is used without being stored.
func (a *Agent) acknowledge(number int64) {
	if number != a.unstored.Number {
		a.reply(number, nil)
	}
}

// acknowledgedNumber is the highest number that was acknowledged.
func (a *Agent) acknowledgedNumber() int64 {
	if a.unstored.Number > 0 {
		return 0
	}
	return a.machine.HighestAccepted()
}

// retryStoreLoop tries again what the store could not take or give, with backoff, until
// the agent is closed.
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

// retryStore reports whether nothing is left to be tried again.
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

// retryPending tries again to store the version that waits for it. After
// AgentConfig.StoreTimeout the version is rejected.
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

// retryUnstored tries again to store the version that is used without being stored, and
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

// retryRestore tries again to read the last good version.
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

package service

import (
	"errors"
	"fmt"
	"time"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// pendingVersion is a version that could not be stored yet, and of which nothing is said
// until it is.
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
	if a.restoring = errors.As(found.Err, &fault); a.restoring {
		a.cfg.Warn(fmt.Sprintf("the last good configuration can't be read for now, and is tried again: %v", fault))
	}
	switch {
	case (a.restoring || errors.Is(found.Err, configstore.ErrNoVersion)) && a.cfg.Initial.Number > 0:
		a.handle(configversion.Restored{Version: a.cfg.Initial})
	case !a.restoring && !errors.Is(found.Err, configstore.ErrNoVersion):
		a.handle(found)
	}
}

// storeVersion stores a version, and is what the machine hears of it. Where that fails it is
// tried again, and nothing is heard until then; but a router that has nothing to run
// does not wait for its disk: it runs the version, and acknowledges it once it is
// stored.
func (a *Agent) storeVersion(v configversion.Version) []configversion.Event {
	if a.cfg.Store == nil {
		return []configversion.Event{configversion.Stored{Number: v.Number}}
	}
	a.pending = nil // an older one is superseded
	err := a.cfg.Store.Put(v, time.Now())
	if err == nil {
		return a.versionStored(v)
	}
	a.cfg.Warn(fmt.Sprintf("configuration %d can't be stored for now, and is tried again: %v", v.Number, err))
	select {
	case a.storeFailed <- struct{}{}:
	default:
	}
	if a.machine.Accepted().Number == 0 {
		a.unstored = v
		return []configversion.Event{configversion.Stored{Number: v.Number}}
	}
	a.pending = &pendingVersion{v, time.Now()}
	return nil
}

// versionStored is what the machine hears of a version that was stored. Where the store
// could not be read until now, it may hold a newer one, which was acknowledged.
func (a *Agent) versionStored(v configversion.Version) []configversion.Event {
	a.pending, a.unstored = nil, configversion.Version{}
	if !a.restoring {
		return []configversion.Event{configversion.Stored{Number: v.Number}}
	}
	a.restoring = false
	last, _, err := a.cfg.Store.Last()
	if err != nil || last.Number <= v.Number {
		return []configversion.Event{configversion.Stored{Number: v.Number}}
	}
	err = fmt.Errorf("control: number %d is older than %d, which was accepted", v.Number, last.Number)
	return []configversion.Event{configversion.Stored{Number: v.Number, Err: err}, a.cfg.Store.Restored(time.Now())}
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

// retryStoreLoop tries again what the store could not take or give, with backoff.
func (a *Agent) retryStoreLoop() {
	defer a.workers.Done()
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
func (a *Agent) retryStore() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.pending != nil:
		v, since := a.pending.version, a.pending.since
		err := a.cfg.Store.Put(v, time.Now())
		if err == nil {
			a.handleLocked(a.versionStored(v)...)
			return true
		}
		if time.Since(since) >= a.cfg.StoreTimeout {
			a.pending = nil
			a.handleLocked(configversion.Stored{Number: v.Number, Err: err})
		}
		return false
	case a.unstored.Number > 0:
		v := a.unstored
		if a.cfg.Store.Put(v, time.Now()) != nil {
			return false
		}
		a.unstored, a.restoring = configversion.Version{}, false
		if _, offered := a.nonces[v.Number]; offered {
			a.reply(v.Number, nil)
		}
		return true
	case a.restoring:
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
	_, fault := a.cfg.Store.Fault()
	return fault == nil || a.cfg.Store.Recover() == nil
}

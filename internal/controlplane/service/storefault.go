package service

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

// PersistError reports that a service's state can't be persisted, so that nothing is
// offered or accepted. The service retries by itself.
type PersistError struct {
	Since  time.Time
	Queued bool // the request is accepted, and is executed once the state is persisted
	Err    error
}

// Error returns a message with the start, the cause and the effect on the request.
func (e *PersistError) Error() string {
	then := "nothing is accepted or offered until it succeeds; retry later"
	if e.Queued {
		then = "the request is executed once it succeeds, and is lost if the service ends before"
	}
	return fmt.Sprintf("control: persisting the state has failed since %s, for %v: %v; %s", e.Since.UTC().Format(time.TimeOnly),
		time.Since(e.Since).Round(time.Millisecond), e.Err, then)
}

// Unwrap returns the store's error.
func (e *PersistError) Unwrap() error { return e.Err }

// GRPCStatus returns the status that ends a router's stream: Unavailable, so that the
// router reconnects.
func (e *PersistError) GRPCStatus() *status.Status { return status.New(codes.Unavailable, e.Error()) }

// Delays between attempts to persist a state or to store a version. They double from the
// first to the maximum.
const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// persistFault is what a server defers while its state can't be persisted. Meanwhile
// the rollout's clock is paused, because routers can't reply to versions that are not
// sent.
type persistFault struct {
	since           time.Time
	err             error
	rolloutTime     configversion.Millis // time at which the rollout's clock was paused
	retryAt         time.Time
	backoff         time.Duration
	deferredActions []any // actions after the failed Persist
	deferredEvents  []any // events of streams, for the rollout
}

// suspend records that the state could not be persisted, and defers the actions that
// follow.
func (s *Server) suspend(err error, actions []any) {
	deferred := slices.DeleteFunc(slices.Clone(actions), func(action any) bool {
		_, isPersist := action.(rollout.Persist)
		return isPersist // recovery persists the complete state before the other actions
	})
	now := time.Now()
	s.persistFault = &persistFault{
		since:           now,
		err:             err,
		rolloutTime:     s.rolloutNow(),
		retryAt:         now.Add(firstRetryDelay),
		backoff:         firstRetryDelay,
		deferredActions: deferred,
	}
	s.recordEvent("persisting the state failed; nothing is offered until it succeeds: %v", err)
}

// persistError returns a *PersistError while the state can't be persisted, and otherwise
// nil. queued is PersistError.Queued.
func (s *Server) persistError(queued bool) error {
	if s.persistFault == nil {
		return nil
	}
	return &PersistError{Since: s.persistFault.since, Queued: queued, Err: s.persistFault.err}
}

// deferEvent queues an event for the rollout until the state is persisted again. The
// end of a stream is always queued, since each stream ends only once. Load reports are
// only counts, and ticks are irrelevant while time is paused: both are dropped.
func (s *Server) deferEvent(event any) {
	events := &s.persistFault.deferredEvents
	switch event.(type) {
	case rollout.Disconnected:
		*events = append(*events, event)
	case rollout.Acked, rollout.Nacked:
		if len(*events) < 4*s.cfg.MaxStreams { // bounds memory: routers may send any number of replies
			*events = append(*events, event)
		}
	}
}

// retryPersist tries again to persist the rollout's current state. When that succeeds,
// it processes everything deferred.
func (s *Server) retryPersist() {
	fault := s.persistFault
	if time.Now().Before(fault.retryAt) {
		return
	}
	state := s.rollout.State()
	if err := s.cfg.Store.Save(state); err != nil {
		fault.err = err
		fault.backoff = min(2*fault.backoff, maxRetryDelay)
		fault.retryAt = time.Now().Add(fault.backoff)
		return
	}
	s.persisted = state
	s.persistFault = nil
	s.pausedFor = s.uptime() - fault.rolloutTime
	s.recordEvent("the state is persisted again after %v", time.Since(fault.since).Round(time.Millisecond))
	s.execute(fault.deferredActions)
	for _, event := range fault.deferredEvents {
		s.handleLocked(event)
	}
}

// rolloutNow returns the time of the rollout's clock, which is paused during faults.
func (s *Server) rolloutNow() configversion.Millis { return s.uptime() - s.pausedFor }

func (s *Server) uptime() configversion.Millis { return millisSince(s.started) }

func millisSince(t time.Time) configversion.Millis {
	return float64(time.Since(t).Microseconds()) / 1000
}

// recoverStore retries to read and rewrite a store's file after each fault, until the context
// ends.
func recoverStore(ctx context.Context, store *configstore.Store) {
	for delay := firstRetryDelay; ; {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		_, fault := store.Fault()
		if fault == nil || store.Recover() == nil {
			delay = maxRetryDelay
			continue
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

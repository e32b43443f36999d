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

// PersistError says that a service's state can't be persisted for now, so that nothing
// is offered or accepted. The service recovers by itself.
type PersistError struct {
	Since  time.Time
	Queued bool // what was asked for is accepted, and is carried out once the state is persisted
	Err    error
}

// Error says since when, why, and what becomes of the request.
func (e *PersistError) Error() string {
	then := "nothing is taken in or offered until it can; try again"
	if e.Queued {
		then = "what was asked for is carried out once it can, and is lost if the service ends before"
	}
	return fmt.Sprintf("control: the state can't be kept since %s, for %v: %v; %s", e.Since.UTC().Format(time.TimeOnly),
		time.Since(e.Since).Round(time.Millisecond), e.Err, then)
}

// Unwrap returns the store's error.
func (e *PersistError) Unwrap() error { return e.Err }

// GRPCStatus is what a router's stream ends with: unavailable, which has it come back.
func (e *PersistError) GRPCStatus() *status.Status { return status.New(codes.Unavailable, e.Error()) }

// Delays between attempts to persist a state, or to store a version: they double from
// the first to the longest.
const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// persistFault is what a server defers while its state can't be persisted. The rollout's
// clock is paused meanwhile: nobody can answer what is not sent.
type persistFault struct {
	since           time.Time
	err             error
	rolloutTime     configversion.Millis // at which the rollout's clock is paused
	retryAt         time.Time
	backoff         time.Duration
	deferredActions []any // actions that follow the failed Persist
	deferredEvents  []any // of streams, for the rollout
}

// suspend books that the state could not be persisted, and defers the actions that
// follow.
func (s *Server) suspend(err error, actions []any) {
	deferred := slices.DeleteFunc(slices.Clone(actions), func(action any) bool {
		_, isPersist := action.(rollout.Persist)
		return isPersist // the complete state is persisted before the others
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
	s.recordEvent("the state can't be kept, and nothing is offered until it can: %v", err)
}

// persistError is why nothing is accepted, nil where all is well. queued says that the
// request is among what is deferred.
func (s *Server) persistError(queued bool) error {
	if s.persistFault == nil {
		return nil
	}
	return &PersistError{Since: s.persistFault.since, Queued: queued, Err: s.persistFault.err}
}

// deferEvent has the rollout handle an event once the state is persisted again. Each
// stream ends once, so its end is always deferred; load reports are only counts, and
// time is paused: both are dropped.
func (s *Server) deferEvent(event any) {
	events := &s.persistFault.deferredEvents
	switch event.(type) {
	case rollout.Disconnected:
		*events = append(*events, event)
	case rollout.Acked, rollout.Nacked:
		if len(*events) < 4*s.cfg.MaxStreams { // routers may answer without end
			*events = append(*events, event)
		}
	}
}

// retryPersist tries again to persist the state, the whole of what the rollout says
// now, and then does what was deferred.
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
	s.recordEvent("the state is kept again after %v", time.Since(fault.since).Round(time.Millisecond))
	s.execute(fault.deferredActions)
	for _, event := range fault.deferredEvents {
		s.handleLocked(event)
	}
}

// rolloutNow is the time of the rollout's clock, which is paused during faults.
func (s *Server) rolloutNow() configversion.Millis { return s.uptime() - s.pausedFor }

func (s *Server) uptime() configversion.Millis { return millisSince(s.started) }

func millisSince(t time.Time) configversion.Millis {
	return float64(time.Since(t).Microseconds()) / 1000
}

// recoverStore tries, after a fault of a store's file, to have it written anew, until the
// context ends.
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

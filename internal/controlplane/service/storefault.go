package service

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

// A PersistError says that a service's state can't be kept for now, so that nothing
// is offered or taken in. The service comes back by itself.
type PersistError struct {
	Since  time.Time
	Queued bool // what was asked for is taken in, and is carried out once the state is kept
	Err    error
}

func (u *PersistError) Error() string {
	then := "nothing is taken in or offered until it can; try again"
	if u.Queued {
		then = "what was asked for is carried out once it can, and is lost if the service ends before"
	}
	return fmt.Sprintf("control: the state can't be kept since %s, for %v: %v; %s", u.Since.UTC().Format(time.TimeOnly),
		time.Since(u.Since).Round(time.Millisecond), u.Err, then)
}

func (u *PersistError) Unwrap() error { return u.Err }

// GRPCStatus is what a router's stream ends with.
func (u *PersistError) GRPCStatus() *status.Status { return status.New(codes.Unavailable, u.Error()) }

const (
	firstRetryDelay = 50 * time.Millisecond // of keeping the state, or a version
	maxRetryDelay   = 2 * time.Second
)

// persistFault is what a server holds back while its state can't be kept. The rollout's
// clock stands meanwhile: nobody can answer what is not sent.
type persistFault struct {
	since           time.Time
	err             error
	rolloutTime     configversion.Millis // at which the rollout's clock stands
	retryAt         time.Time            // when keeping is tried next
	backoff         time.Duration
	deferredActions []any // actions that follow the one of keeping
	deferredEvents  []any // of streams, for the rollout
}

// suspend books that the state could not be kept, and holds back what follows.
func (s *Server) suspend(err error, deferred []any) {
	deferred = slices.DeleteFunc(slices.Clone(deferred), func(action any) bool {
		_, keeps := action.(rollout.Persist)
		return keeps // the whole state is kept before the others
	})
	now := time.Now()
	s.persistFault = &persistFault{since: now, err: err, rolloutTime: s.rolloutNow(), backoff: firstRetryDelay, retryAt: now.Add(firstRetryDelay), deferredActions: deferred}
	s.recordEvent("the state can't be kept, and nothing is offered until it can: %v", err)
}

// persistError is why nothing is taken in, nil where all is well.
func (s *Server) persistError(queued bool) error {
	if s.persistFault == nil {
		return nil
	}
	return &PersistError{s.persistFault.since, queued, s.persistFault.err}
}

// deferEvent has the rollout hear of an event once the state is kept again. Streams end
// once each; reports are only counts, and time stands still.
func (s *Server) deferEvent(ev any) {
	events := &s.persistFault.deferredEvents
	switch ev.(type) {
	case rollout.Disconnected:
		*events = append(*events, ev)
	case rollout.Acked, rollout.Nacked:
		if len(*events) < 4*s.cfg.MaxStreams {
			*events = append(*events, ev)
		}
	}
}

// retryPersist tries again to keep the state, the whole of what the rollout says now,
// and then does what was held back.
func (s *Server) retryPersist() {
	u := s.persistFault
	if time.Now().Before(u.retryAt) {
		return
	}
	state := s.rollout.State()
	if err := s.cfg.Store.Save(state); err != nil {
		u.err, u.backoff = err, min(2*u.backoff, maxRetryDelay)
		u.retryAt = time.Now().Add(u.backoff)
		return
	}
	s.persisted, s.persistFault = state, nil
	s.pausedFor = now() - u.rolloutTime
	s.recordEvent("the state is kept again after %v", time.Since(u.since).Round(time.Millisecond))
	s.execute(u.deferredActions)
	for _, ev := range u.deferredEvents {
		s.handleLocked(ev)
	}
}

// rolloutNow is the time of the rollout.
func (s *Server) rolloutNow() configversion.Millis { return now() - s.pausedFor }

// renewStore tries, after a fault of a store's file, to have it written anew, until
// done is closed.
func renewStore(store *configstore.Store, done <-chan struct{}) {
	for wait := firstRetryDelay; ; {
		select {
		case <-time.After(wait):
		case <-done:
			return
		}
		if _, fault := store.Fault(); fault == nil || store.Recover() == nil {
			wait = maxRetryDelay
			continue
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

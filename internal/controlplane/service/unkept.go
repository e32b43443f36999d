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

// An PersistError says that a service's state can't be kept for now, so that nothing
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
	firstRetry = 50 * time.Millisecond // of keeping the state, or a version
	lastRetry  = 2 * time.Second
)

// unkept is what a server holds back while its state can't be kept. The rollout's
// clock stands meanwhile: nobody can answer what is not sent.
type unkept struct {
	since  time.Time
	err    error
	clock  configversion.Millis // at which the rollout's clock stands
	retry  time.Time            // when keeping is tried next
	wait   time.Duration
	held   []any // actions that follow the one of keeping
	events []any // of streams, for the rollout
}

// bar books that the state could not be kept, and holds back what follows.
func (s *Server) bar(err error, held []any) {
	held = slices.DeleteFunc(slices.Clone(held), func(action any) bool {
		_, keeps := action.(rollout.Persist)
		return keeps // the whole state is kept before the others
	})
	began := time.Now()
	s.unkept = &unkept{since: began, err: err, clock: s.clock(), wait: firstRetry, retry: began.Add(firstRetry), held: held}
	s.note("the state can't be kept, and nothing is offered until it can: %v", err)
}

// refusal is why nothing is taken in, nil where all is well.
func (s *Server) refusal(taken bool) error {
	if s.unkept == nil {
		return nil
	}
	return &PersistError{s.unkept.since, taken, s.unkept.err}
}

// putOff has the rollout hear of an event once the state is kept again. Streams end
// once each; reports are only counts, and time stands still.
func (s *Server) putOff(ev any) {
	events := &s.unkept.events
	switch ev.(type) {
	case rollout.Disconnected:
		*events = append(*events, ev)
	case rollout.Acked, rollout.Nacked:
		if len(*events) < 4*s.cfg.MaxStreams {
			*events = append(*events, ev)
		}
	}
}

// retryKeep tries again to keep the state, the whole of what the rollout says now,
// and then does what was held back.
func (s *Server) retryKeep() {
	u := s.unkept
	if time.Now().Before(u.retry) {
		return
	}
	state := s.rollout.State()
	if err := s.cfg.Store.Save(state); err != nil {
		u.err, u.wait = err, min(2*u.wait, lastRetry)
		u.retry = time.Now().Add(u.wait)
		return
	}
	s.kept, s.unkept = state, nil
	s.stood = now() - u.clock
	s.note("the state is kept again after %v", time.Since(u.since).Round(time.Millisecond))
	s.carryOut(u.held)
	for _, ev := range u.events {
		s.tellLocked(ev)
	}
}

// clock is the time of the rollout.
func (s *Server) clock() configversion.Millis { return now() - s.stood }

// renewStore tries, after a fault of a store's file, to have it written anew, until
// done is closed.
func renewStore(store *configstore.Store, done <-chan struct{}) {
	for wait := firstRetry; ; {
		select {
		case <-time.After(wait):
		case <-done:
			return
		}
		if _, fault := store.Fault(); fault == nil || store.Recover() == nil {
			wait = lastRetry
			continue
		}
		wait = min(2*wait, lastRetry)
	}
}

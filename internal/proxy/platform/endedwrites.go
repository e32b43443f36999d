package platform

import (
	spool "indigospool"
)

const (
	// endedWriteTime is how long the id of a write is remembered after its end, in ms.
	endedWriteTime = 10000

	// maxEndedWrites limits the number of ids that are remembered.
	maxEndedWrites = 4096
)

// endedWrites remembers the ids of writes that have ended and may have been executed. The protocol
// requires a new id for each request: a write that comes again under its id is not executed again.
type endedWrites struct {
	ended []endedWrite // in the order of their end
	ids   map[string]bool
}

type endedWrite struct {
	id    string
	until float64
}

func newEndedWrites() endedWrites { return endedWrites{ids: map[string]bool{}} }

// add remembers an id. Above the limit the oldest id is forgotten.
func (w *endedWrites) add(now float64, id string) {
	w.expire(now)
	if w.ids[id] {
		return
	}
	if len(w.ended) >= maxEndedWrites {
		w.forgetOldest()
	}
	w.ids[id] = true
	w.ended = append(w.ended, endedWrite{id, now + endedWriteTime})
}

// contains reports whether an id is remembered.
func (w *endedWrites) contains(now float64, id string) bool {
	w.expire(now)
	return w.ids[id]
}

func (w *endedWrites) expire(now float64) {
	for len(w.ended) > 0 && w.ended[0].until <= now {
		w.forgetOldest()
	}
}

func (w *endedWrites) forgetOldest() {
	delete(w.ids, w.ended[0].id)
	w.ended = w.ended[1:]
}

// mayHaveEffects reports whether the request may have been executed, with effects that a repeat would
// have again.
func (r *request) mayHaveEffects() bool {
	return r.write && r.sent && r.idempotency != spool.Idempotent
}

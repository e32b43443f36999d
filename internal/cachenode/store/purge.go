package store

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Scope is what a purge names.
type Scope uint8

// The scopes.
const (
	ByObject Scope = iota + 1 // all copies of an object: Text
	ByGroup                   // of a group: Group
	ByTag                     // that carry a tag: Text
	ByPrefix                  // whose key begins so: Text
	byHash                    // of an object, by its hash: Text, 8 bytes
	byNumber                  // of nothing: it says only that numbers went so far
)

// Purge voids copies. Number is the store's own, in the order in which it took them.
// With a Version, copies of that and later ones of the origin's are good, whenever they
// were fetched, and all earlier ones void; with none, all whose fill began before it.
type Purge struct {
	Number  uint64
	Scope   Scope
	Text    string
	Group   int32
	Version int64
}

func (w *Purge) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, w.Number)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.Version))
	b = append(b, byte(w.Scope))
	b = binary.LittleEndian.AppendUint32(b, uint32(w.Group))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(w.Text)))
	return append(b, w.Text...)
}

func readPurge(b []byte) (w Purge, ok bool) {
	if len(b) < 23 {
		return w, false
	}
	n := int(binary.LittleEndian.Uint16(b[21:]))
	if len(b) < 23+n {
		return w, false
	}
	return Purge{Number: binary.LittleEndian.Uint64(b), Version: int64(binary.LittleEndian.Uint64(b[8:])), Scope: Scope(b[16]),
		Group: int32(binary.LittleEndian.Uint32(b[17:])), Text: string(b[23 : 23+n])}, true
}

// floor is what of an object, group or tag is void.
type watermark struct {
	unversioned uint64 // of the last purge without a version: what began before it is void
	versioned   uint64 // of the last with one: so is what began before it and has none
	version     int64  // and what has an older one, whenever it began
}

func (f watermark) with(w *Purge) watermark {
	if w.Version <= 0 {
		f.unversioned = max(f.unversioned, w.Number)
		return f
	}
	f.versioned, f.version = max(f.versioned, w.Number), max(f.version, w.Version)
	return f
}

// voids reports whether a floor voids a copy.
func (f watermark) covers(since uint64, version int64) bool {
	if since < f.unversioned {
		return true
	}
	if version > 0 {
		return version < f.version
	}
	return since < f.versioned
}

// apply has a purge hold from now on.
func (s *Store) applyPurge(w Purge) {
	switch w.Scope {
	case ByObject:
		h := xxhash.Sum64String(w.Text)
		s.objectPurges[h] = s.objectPurges[h].with(&w)
	case ByGroup:
		s.groupPurges[w.Group] = s.groupPurges[w.Group].with(&w)
	case byHash:
		if len(w.Text) == 8 {
			h := binary.LittleEndian.Uint64([]byte(w.Text))
			s.objectPurges[h] = s.objectPurges[h].with(&w)
		}
	case ByTag, ByPrefix:
		for i := range s.purgeRules {
			if r := &s.purgeRules[i]; r.Scope == w.Scope && r.Text == w.Text && (r.Version > 0) == (w.Version > 0) {
				r.Number, r.Version = max(r.Number, w.Number), max(r.Version, w.Version)
				return
			}
		}
		s.purgeRules = append(s.purgeRules, w)
		if w.Version <= 0 {
			s.unversionedRules++
		}
	}
}

// void reports whether a purge voids a copy.
func (s *Store) purged(since uint64, m *Meta) bool {
	if f, ok := s.objectPurges[xxhash.Sum64String(m.Object)]; ok && f.covers(since, m.Version) {
		return true
	}
	if f, ok := s.groupPurges[m.Group]; ok && f.covers(since, m.Version) {
		return true
	}
	for i := range s.purgeRules {
		w := &s.purgeRules[i]
		f := watermark{}.with(w)
		if f.covers(since, m.Version) && (w.Scope == ByPrefix && strings.HasPrefix(m.Key, w.Text) || w.Scope == ByTag && slices.Contains(m.Tags, w.Text)) {
			return true
		}
	}
	return false
}

// holding is the purges that have to last: those that may void what is here, or what
// is being fetched.
func (s *Store) lastingPurges() []Purge {
	list := []Purge{{Number: s.lastPurge, Scope: byNumber}}
	add := func(f watermark, w Purge) {
		if w.Number = f.unversioned; w.Number > 0 {
			list = append(list, w)
		}
		if w.Number, w.Version = f.versioned, f.version; w.Version > 0 {
			list = append(list, w)
		}
	}
	for h, f := range s.objectPurges {
		add(f, Purge{Scope: byHash, Text: string(binary.LittleEndian.AppendUint64(nil, h))})
	}
	for g, f := range s.groupPurges {
		add(f, Purge{Scope: ByGroup, Group: g})
	}
	return append(list, s.purgeRules...)
}

// settleAt is how many purges by tag and prefix without a version there may be before they
// are settled.
func (s *Store) settleThreshold() int { return max(s.options.MaxPurgeRules, s.settlePostponed) }

// settle looks through all copies for those that purges by tag or prefix void, and
// forgets these purges. Those with a version stay: older ones may still come. False: some
// copies can't be read for now, and the purges are kept for them; at four times as many
// purges, these copies are given up.
func (s *Store) settleRules() bool {
	var void []uint64
	unreadable := 0
	for i := range s.slots {
		p := &s.slots[i]
		if !p.live() {
			continue
		}
		m, err := s.readMeta(s.segments[p.segment], p)
		if err != nil && !errors.Is(err, ErrCorrupt) {
			unreadable++
		}
		if err != nil || s.purged(p.sincePurge, m) {
			void = append(void, p.keyHash)
		}
	}
	if unreadable > 0 && s.unversionedRules < 4*s.options.MaxPurgeRules {
		s.settlePostponed = min(2*s.unversionedRules, 4*s.options.MaxPurgeRules)
		return false
	}
	s.settlePostponed = 0
	for _, h := range void {
		s.removePlace(h)
		s.Stats.Purged++
	}
	// what is left was looked at; a fill that is under way was not, and is not kept
	for i := range s.slots {
		if s.slots[i].live() {
			s.slots[i].sincePurge = s.lastPurge
		}
	}
	s.fillBarrier = s.lastPurge
	s.purgeRules, s.unversionedRules = slices.DeleteFunc(s.purgeRules, func(w Purge) bool { return w.Version <= 0 }), 0
	for h, f := range s.objectPurges {
		if f.unversioned = 0; f.version == 0 {
			delete(s.objectPurges, h)
		} else {
			s.objectPurges[h] = f
		}
	}
	for g, f := range s.groupPurges {
		if f.unversioned = 0; f.version == 0 {
			delete(s.groupPurges, g)
		} else {
			s.groupPurges[g] = f
		}
	}
	return true
}

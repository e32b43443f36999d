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
type floor struct {
	plain   uint64 // of the last purge without a version: what began before it is void
	number  uint64 // of the last with one: so is what began before it and has none
	version int64  // and what has an older one, whenever it began
}

func (f floor) with(w *Purge) floor {
	if w.Version <= 0 {
		f.plain = max(f.plain, w.Number)
		return f
	}
	f.number, f.version = max(f.number, w.Number), max(f.version, w.Version)
	return f
}

// voids reports whether a floor voids a copy.
func (f floor) voids(since uint64, version int64) bool {
	if since < f.plain {
		return true
	}
	if version > 0 {
		return version < f.version
	}
	return since < f.number
}

// apply has a purge hold from now on.
func (s *Store) apply(w Purge) {
	switch w.Scope {
	case ByObject:
		h := xxhash.Sum64String(w.Text)
		s.objects[h] = s.objects[h].with(&w)
	case ByGroup:
		s.groups[w.Group] = s.groups[w.Group].with(&w)
	case byHash:
		if len(w.Text) == 8 {
			h := binary.LittleEndian.Uint64([]byte(w.Text))
			s.objects[h] = s.objects[h].with(&w)
		}
	case ByTag, ByPrefix:
		for i := range s.rules {
			if r := &s.rules[i]; r.Scope == w.Scope && r.Text == w.Text && (r.Version > 0) == (w.Version > 0) {
				r.Number, r.Version = max(r.Number, w.Number), max(r.Version, w.Version)
				return
			}
		}
		s.rules = append(s.rules, w)
		if w.Version <= 0 {
			s.plain++
		}
	}
}

// void reports whether a purge voids a copy.
func (s *Store) void(since uint64, m *Meta) bool {
	if f, ok := s.objects[xxhash.Sum64String(m.Object)]; ok && f.voids(since, m.Version) {
		return true
	}
	if f, ok := s.groups[m.Group]; ok && f.voids(since, m.Version) {
		return true
	}
	for i := range s.rules {
		w := &s.rules[i]
		f := floor{}.with(w)
		if f.voids(since, m.Version) && (w.Scope == ByPrefix && strings.HasPrefix(m.Key, w.Text) || w.Scope == ByTag && slices.Contains(m.Tags, w.Text)) {
			return true
		}
	}
	return false
}

// holding is the purges that have to last: those that may void what is here, or what
// is being fetched.
func (s *Store) holding() []Purge {
	list := []Purge{{Number: s.number, Scope: byNumber}}
	add := func(f floor, w Purge) {
		if w.Number = f.plain; w.Number > 0 {
			list = append(list, w)
		}
		if w.Number, w.Version = f.number, f.version; w.Version > 0 {
			list = append(list, w)
		}
	}
	for h, f := range s.objects {
		add(f, Purge{Scope: byHash, Text: string(binary.LittleEndian.AppendUint64(nil, h))})
	}
	for g, f := range s.groups {
		add(f, Purge{Scope: ByGroup, Group: g})
	}
	return append(list, s.rules...)
}

// settleAt is how many purges by tag and prefix without a version there may be before they
// are settled.
func (s *Store) settleAt() int { return max(s.s.MaxPurgeRules, s.postponed) }

// settle looks through all copies for those that purges by tag or prefix void, and
// forgets these purges. Those with a version stay: older ones may still come. False: some
// copies can't be read for now, and the purges are kept for them; at four times as many
// purges, these copies are given up.
func (s *Store) settle() bool {
	var void []uint64
	unreadable := 0
	for i := range s.slots {
		p := &s.slots[i]
		if !p.live() {
			continue
		}
		m, err := s.readMeta(s.segs[p.seg], p)
		if err != nil && !errors.Is(err, ErrCorrupt) {
			unreadable++
		}
		if err != nil || s.void(p.since, m) {
			void = append(void, p.hash)
		}
	}
	if unreadable > 0 && s.plain < 4*s.s.MaxPurgeRules {
		s.postponed = min(2*s.plain, 4*s.s.MaxPurgeRules)
		return false
	}
	s.postponed = 0
	for _, h := range void {
		s.unput(h)
		s.Stats.Purged++
	}
	// what is left was looked at; a fill that is under way was not, and is not kept
	for i := range s.slots {
		if s.slots[i].live() {
			s.slots[i].since = s.number
		}
	}
	s.barrier = s.number
	s.rules, s.plain = slices.DeleteFunc(s.rules, func(w Purge) bool { return w.Version <= 0 }), 0
	for h, f := range s.objects {
		if f.plain = 0; f.version == 0 {
			delete(s.objects, h)
		} else {
			s.objects[h] = f
		}
	}
	for g, f := range s.groups {
		if f.plain = 0; f.version == 0 {
			delete(s.groups, g)
		} else {
			s.groups[g] = f
		}
	}
	return true
}

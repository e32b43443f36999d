package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Scope says how a purge selects objects.
type Scope uint8

// The scopes.
const (
	ByObject Scope = iota + 1 // all variants of the object named by Text
	ByGroup                   // the objects of Group
	ByTag                     // the objects with the tag Text
	ByPrefix                  // the objects whose key begins with Text
	byHash                    // the object with a hash of its name, 8 bytes in Text; only in checkpoints
	byNumber                  // no object: records the last purge number; only in checkpoints
)

// String returns the name of the scope for errors.
func (s Scope) String() string {
	switch s {
	case ByObject:
		return "object"
	case ByGroup:
		return "group"
	case ByTag:
		return "tag"
	case ByPrefix:
		return "prefix"
	case byHash:
		return "hash"
	case byNumber:
		return "number"
	}
	return fmt.Sprintf("Scope(%d)", uint8(s))
}

// maxPurgeText is the longest Purge.Text, in bytes.
const maxPurgeText = 4096

// Purge is an invalidation of objects. A purge without a Version covers the selected objects whose
// fill began before it, or that were generated before it if Options.AgeClock is set. A purge with a
// Version covers the selected objects of earlier versions, whenever they were fetched; objects
// without a version it covers like a purge without one.
type Purge struct {
	Number  uint64 // assigned by the store, in the order of the purges
	Scope   Scope
	Text    string
	Group   int32
	Version int64 // stated by the origin; 0: none
}

// purgeHeaderLen is the length of an encoded purge without Text, which follows.
const purgeHeaderLen = 23

// appendTo appends the encoding of the purge on disk.
func (p *Purge) appendTo(data []byte) []byte {
	data = binary.LittleEndian.AppendUint64(data, p.Number)
	data = binary.LittleEndian.AppendUint64(data, uint64(p.Version))
	data = append(data, byte(p.Scope))
	data = binary.LittleEndian.AppendUint32(data, uint32(p.Group))
	data = binary.LittleEndian.AppendUint16(data, uint16(len(p.Text)))
	return append(data, p.Text...)
}

func readPurge(data []byte) (purge Purge, ok bool) {
	if len(data) < purgeHeaderLen {
		return Purge{}, false
	}
	textLen := int(binary.LittleEndian.Uint16(data[21:]))
	if len(data) < purgeHeaderLen+textLen {
		return Purge{}, false
	}
	return Purge{
		Number:  binary.LittleEndian.Uint64(data),
		Version: int64(binary.LittleEndian.Uint64(data[8:])),
		Scope:   Scope(data[16]),
		Group:   int32(binary.LittleEndian.Uint32(data[17:])),
		Text:    string(data[purgeHeaderLen : purgeHeaderLen+textLen]),
	}, true
}

// watermark combines all purges of an object, a group or a rule.
type watermark struct {
	unversioned uint64 // number of the last purge without a version: covers objects whose fill began before it
	versioned   uint64 // number of the last purge with a version: covers objects without one whose fill began before it
	version     int64  // latest version of a purge: covers objects of earlier versions
}

// with returns the watermark that includes another purge.
func (m watermark) with(purge *Purge) watermark {
	if purge.Version <= 0 {
		m.unversioned = max(m.unversioned, purge.Number)
		return m
	}
	m.versioned = max(m.versioned, purge.Number)
	m.version = max(m.version, purge.Version)
	return m
}

// covers reports whether the purges cover an object of a version, 0 for none, whose fill began
// after the purge number since.
func (m watermark) covers(since uint64, version int64) bool {
	if since < m.unversioned {
		return true
	}
	if version > 0 {
		return version < m.version
	}
	return since < m.versioned
}

// applyPurge adds a purge to those that lookups check.
func (s *Store) applyPurge(purge Purge) {
	switch purge.Scope {
	case ByObject:
		hash := xxhash.Sum64String(purge.Text)
		s.objectPurges[hash] = s.objectPurges[hash].with(&purge)
	case ByGroup:
		s.groupPurges[purge.Group] = s.groupPurges[purge.Group].with(&purge)
	case byHash:
		if len(purge.Text) == 8 {
			hash := binary.LittleEndian.Uint64([]byte(purge.Text))
			s.objectPurges[hash] = s.objectPurges[hash].with(&purge)
		}
	case ByTag, ByPrefix:
		s.applyRule(purge)
	}
}

// applyRule adds a purge by tag or prefix to the rules, or merges it into the rule for the same
// text.
func (s *Store) applyRule(purge Purge) {
	for i := range s.purgeRules {
		rule := &s.purgeRules[i]
		if rule.Scope == purge.Scope && rule.Text == purge.Text && (rule.Version > 0) == (purge.Version > 0) {
			rule.Number = max(rule.Number, purge.Number)
			rule.Version = max(rule.Version, purge.Version)
			return
		}
	}
	s.purgeRules = append(s.purgeRules, purge)
	if purge.Version <= 0 {
		s.unversionedRules++
	}
}

// matches reports whether a purge by tag or prefix selects an object.
func (p *Purge) matches(meta *Meta) bool {
	switch p.Scope {
	case ByPrefix:
		return strings.HasPrefix(meta.Key, p.Text)
	case ByTag:
		return slices.Contains(meta.Tags, p.Text)
	}
	return false
}

// purged reports whether a purge covers an object whose fill began after the purge number since.
func (s *Store) purged(since uint64, meta *Meta) bool {
	if mark, ok := s.objectPurges[xxhash.Sum64String(meta.Object)]; ok && mark.covers(since, meta.Version) {
		return true
	}
	if mark, ok := s.groupPurges[meta.Group]; ok && mark.covers(since, meta.Version) {
		return true
	}
	for i := range s.purgeRules {
		rule := &s.purgeRules[i]
		if (watermark{}).with(rule).covers(since, meta.Version) && rule.matches(meta) {
			return true
		}
	}
	return false
}

// activePurges returns the purges that a checkpoint must contain, since they may cover a stored
// object or one that is being fetched.
func (s *Store) activePurges() []Purge {
	list := []Purge{{Number: s.lastPurge, Scope: byNumber}}
	add := func(mark watermark, purge Purge) {
		if mark.unversioned > 0 {
			purge.Number = mark.unversioned
			list = append(list, purge)
		}
		if mark.version > 0 {
			purge.Number, purge.Version = mark.versioned, mark.version
			list = append(list, purge)
		}
	}
	for hash, mark := range s.objectPurges {
		add(mark, Purge{Scope: byHash, Text: string(binary.LittleEndian.AppendUint64(nil, hash))})
	}
	for group, mark := range s.groupPurges {
		add(mark, Purge{Scope: ByGroup, Group: group})
	}
	return append(list, s.purgeRules...)
}

// retireThreshold returns the number of rules without a version above which they are retired.
func (s *Store) retireThreshold() int { return max(s.options.MaxPurgeRules, s.retirePostponed) }

// retireUnversionedRules drops all objects that a purge covers and discards the purges without a
// version, so that lookups need not check them. Purges with a version are kept, since objects of
// earlier versions may still be fetched. If the heads of some objects can't be read now, it
// returns false and keeps the rules for them, unless there are four times MaxPurgeRules: then it
// drops these objects.
func (s *Store) retireUnversionedRules() bool {
	covered, unreadable := s.coveredObjects()
	if unreadable > 0 && s.unversionedRules < 4*s.options.MaxPurgeRules {
		s.retirePostponed = min(2*s.unversionedRules, 4*s.options.MaxPurgeRules)
		return false
	}
	s.retirePostponed = 0
	for _, keyHash := range covered {
		s.removeLocation(keyHash)
		s.Stats.Purged++
	}
	// No purge so far covers the remaining objects. Fills in flight were not checked, so they must
	// not be committed.
	for i := range s.slots {
		if s.slots[i].live() {
			s.slots[i].sincePurge = s.lastPurge
		}
	}
	s.fillBarrier = s.lastPurge
	s.purgeRules = slices.DeleteFunc(s.purgeRules, func(rule Purge) bool { return rule.Version <= 0 })
	s.unversionedRules = 0
	forgetUnversioned(s.objectPurges)
	forgetUnversioned(s.groupPurges)
	return true
}

// coveredObjects returns the key hashes of all objects that a purge covers or whose head can't be
// read, and the number of heads that can't be read now but are not corrupt.
func (s *Store) coveredObjects() (covered []uint64, unreadable int) {
	for i := range s.slots {
		loc := &s.slots[i]
		if !loc.live() {
			continue
		}
		meta, err := s.readHead(s.segments[loc.segment], loc)
		if err != nil && !errors.Is(err, ErrCorrupt) {
			unreadable++
		}
		if err != nil || s.purged(loc.sincePurge, meta) {
			covered = append(covered, loc.keyHash)
		}
	}
	return covered, unreadable
}

// forgetUnversioned discards the purges without a version.
func forgetUnversioned[K comparable](marks map[K]watermark) {
	for key, mark := range marks {
		if mark.version == 0 {
			delete(marks, key)
			continue
		}
		mark.unversioned = 0
		marks[key] = mark
	}
}

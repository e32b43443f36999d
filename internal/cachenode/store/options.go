package store

import (
	"time"
)

// Sync is when what was written is made to last.
type Sync uint8

// The policies. Purges last before they are acknowledged under each of them, and nothing
// that did not last whole is ever given out: what they say is only how many of the newest
// copies a crash of the machine may take. A kill of the process takes none that were kept.
const (
	SyncPurges   Sync = iota // copies when the kernel gets to it
	SyncSegments             // when a segment is full, and at Close
	SyncObjects              // each copy before it is kept
)

// Settings is what a store is. Zero fields have the defaults.
type Options struct {
	MaxBytes      int64 // of bodies and heads on disk; default 1 GB
	SegmentBytes  int64 // of a file; default 64 MB, at most a quarter of Bytes
	Sync          Sync
	MaxPurgeRules int              // purges by tag and prefix that are looked through for each find; default 256
	Warn          func(string)     // what an operator should know
	Now           func() time.Time // for the backoff of what failed; nil: time.Now
}

func (s Options) withDefaults() Options {
	if s.MaxBytes <= 0 {
		s.MaxBytes = 1 << 30
	}
	if s.SegmentBytes <= 0 {
		s.SegmentBytes = 64 << 20
	}
	s.SegmentBytes = min(max(s.SegmentBytes, 4096), max(s.MaxBytes/4, 4096))
	if s.MaxPurgeRules <= 0 {
		s.MaxPurgeRules = 256
	}
	if s.Warn == nil {
		s.Warn = func(string) {}
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	return s
}

package store

import (
	"fmt"
	"time"
)

// Sync is a policy that says when a committed object is synced to disk.
type Sync uint8

// The policies. With each of them purges are synced before they are acknowledged, and an
// incomplete object is never served. A policy only determines how many of the newest objects
// are lost if the machine crashes. None are lost if the process is killed.
const (
	SyncPurges   Sync = iota // objects are not synced: the kernel writes them at some time
	SyncSegments             // objects are synced when their segment is full, and by Close
	SyncObjects              // each object is synced before it is committed
)

// String returns the name of the policy in the settings.
func (p Sync) String() string {
	switch p {
	case SyncPurges:
		return "purges"
	case SyncSegments:
		return "segments"
	case SyncObjects:
		return "copies"
	}
	return fmt.Sprintf("Sync(%d)", uint8(p))
}

// Options configures a Store. Zero fields stand for the defaults.
type Options struct {
	MaxBytes      int64            // limit of all segments on disk; default 1 GB
	SegmentBytes  int64            // size of a segment; default 64 MB, at least 4 KB, at most a quarter of MaxBytes
	Sync          Sync             // default SyncPurges
	MaxPurgeRules int              // limit of purges by tag and prefix without a version, which every lookup checks; default 256
	Warn          func(string)     // receives messages for the operator; nil: they are dropped
	Now           func() time.Time // clock for retries; nil: time.Now
	AgeClock      func() int64     // clock of Meta.GeneratedAt, Unix ms, which never goes back; nil: generation times are not compared with purges
}

func (o Options) withDefaults() Options {
	if o.MaxBytes <= 0 {
		o.MaxBytes = 1 << 30
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 64 << 20
	}
	o.SegmentBytes = min(max(o.SegmentBytes, 4096), max(o.MaxBytes/4, 4096))
	if o.MaxPurgeRules <= 0 {
		o.MaxPurgeRules = 256
	}
	if o.Warn == nil {
		o.Warn = func(string) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

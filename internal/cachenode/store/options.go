package store

import (
	"fmt"
	"time"
)

// Sync is a policy: when an object that was committed is synced to disk.
type Sync uint8

// The policies. Under each of them purges are synced before they are acknowledged, and
// nothing is ever served that did not last completely: a policy says only how many of the
// newest objects a crash of the machine may take. A kill of the process takes none.
const (
	SyncPurges   Sync = iota // objects when the kernel gets to it
	SyncSegments             // objects when their segment is full, and at Close
	SyncObjects              // each object before it is committed
)

// String is the policy's name in the settings.
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

// Options are a store's. Fields that are zero have the defaults.
type Options struct {
	MaxBytes      int64            // of segments on disk; default 1 GB
	SegmentBytes  int64            // of a segment; default 64 MB, at least 4 KB, at most a quarter of MaxBytes
	Sync          Sync             // default SyncPurges
	MaxPurgeRules int              // purges by tag and prefix that each lookup goes through; default 256
	Warn          func(string)     // takes messages for the operator; nil: they are dropped
	Now           func() time.Time // the clock of retries; nil: time.Now
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

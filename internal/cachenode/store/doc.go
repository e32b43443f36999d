// Package store keeps cached objects on disk, so that a cache that was killed serves them
// again after its start. Bodies go one behind the other into segment files; a log of
// checksummed entries, the index log, says where each is, and is replayed at the start. In
// memory an object takes some 80 bytes: its key and head stay on disk.
//
// Nothing is served before it and its log entry were written completely, nor before its
// checksum was verified since the start. A purge is on disk, in two logs, before it is
// acknowledged. Purges and fills in flight are ordered by purge numbers and by the origin's
// version, never by a clock.
//
// The package owns the folder: segments, index log and purge log. It decides nothing of what
// is fetched or from where, knows no HTTP, and reaches the disk through FS only. A Store is
// safe for concurrent use.
//
// Where to go next: Open and recovery.go for the start; writer.go for a fill, object.go for a
// lookup; purge.go for what a purge covers and purgelog.go for how it lasts; index.go for the
// index log and its checkpoints; segment.go and compact.go for room on disk; fault.go for
// what happens when the disk fails, and when it is tried again. docs/store.md has the
// promises and the options weighed. Package server is the cache that uses it.
package store

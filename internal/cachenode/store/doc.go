// Package store keeps cached objects on disk, so that a cache serves them again after it was
// killed and restarted. Objects are appended to segment files. The index log, which has
// checksummed entries, records the location of each object and is replayed at the start. In
// memory an object takes about 80 bytes. The rest is on disk: the head, which is the encoded Meta
// with a checksum, followed by the body.
//
// An object is served only after the object and its log entry were written completely, and its
// checksum was verified since the start. A purge is synced to two logs before it is
// acknowledged. Purges and fills are ordered by purge numbers and by the version that the origin
// states, never by the wall clock. The source of an object is the server from which it is fetched:
// the origin, a parent or another cache. A source may send a copy from before a purge that it has
// not received yet; such a copy is recognized by its age (purgetimes.go).
//
// The package owns the folder with the segments, the index log and the purge log. It does not
// decide what is fetched and from where, knows nothing about HTTP, and accesses the disk only
// through FS. A Store is safe for concurrent use.
//
// For the start see Open and recovery.go; for fills writer.go; for lookups object.go; for the
// objects that a purge covers purge.go, and for its durability purgelog.go; for the index log
// and its checkpoints index.go; for disk space segment.go and compact.go; for faults of the disk
// and retries fault.go. docs/store.md has the guarantees and the alternatives that were
// considered. Package server is the cache that uses the store.
package store

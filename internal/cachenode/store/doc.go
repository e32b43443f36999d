// Package store keeps copies of objects on disk so that a cache that was killed finds
// them again. Bodies go one behind the other into segment files; what is where stands in
// a log of checksummed entries, which is read again at the start; in memory an object
// takes some 80 bytes, its key and head stay on disk.
//
// Nothing is found before it was written whole and its entry was, and nothing is given
// out whose checksum was not seen to be right since the start. A purge is on disk, twice,
// before it is acknowledged; it and fills under way are put in order by numbers and by the
// origin's version, never by a clock.
//
// It decides nothing of what is fetched or from where, knows no HTTP, and speaks to the
// disk through FS only. It is safe for concurrent use.
package store

package esi

import "math"

// Options bounds how pages are put together. Zero fields have the defaults. Times are in ms.
type Options struct {
	Parser          Limits
	Fragments       int     // different fragments of a page, with alternatives; default 256
	Includes        int     // includes that are met in a page and its fragments; default 2,000
	Depth           int     // fragments in fragments; default 4
	Parallel        int     // fragments that are fetched at once; default 8
	Attempts        int     // attempts at members for all fragments of a page; default 400
	StreamThreshold int64   // bytes up to which a fragment is held until it is whole; default 64 KB
	MaxBuffered     int64   // bytes of a fragment that has to be held whole; default 1 MB
	MaxWaiting      int64   // bytes that may wait for their turn before others are read on; default 1 MB
	MaxPage         int64   // bytes of a whole page; default 64 MB
	Reserve         float64 // ms kept back before the page's deadline; default 100
	PassMalformed   bool    // a malformed page goes out as it is; else it is an error
}

func (s Options) withDefaults() Options {
	set := func(n *int, def int) {
		if *n <= 0 {
			*n = def
		}
	}
	set64 := func(n *int64, def int64) {
		if *n <= 0 {
			*n = def
		}
	}
	set(&s.Fragments, 256)
	set(&s.Includes, 2000)
	set(&s.Depth, 4)
	set(&s.Parallel, 8)
	set(&s.Attempts, 400)
	set64(&s.StreamThreshold, 64<<10)
	set64(&s.MaxBuffered, 1<<20)
	set64(&s.MaxWaiting, 1<<20)
	set64(&s.MaxPage, 64<<20)
	if s.Reserve <= 0 {
		s.Reserve = 100
	}
	return s
}

// importance is what becomes of the page when a fragment fails.
type importance uint8

const (
	required    importance = iota // it fails, or what is around it
	optional                      // it goes on without
	replaceable                   // it asks for another
)

// fetchDeadline is when a fragment is given up that is fetched from now on, where the page has
// time until deadline and waves more rounds of fetches to make. What the page can't do
// without has all the time that there is; what it can must leave each round behind it a
// share; and what has an alternative must leave that as much again.
func (s *Options) fetchDeadline(now, deadline float64, waves int, n importance) float64 {
	end := deadline - s.Reserve
	left := max(end-now, 0)
	switch n {
	case optional:
		return now + left/float64(max(waves, 1))
	case replaceable:
		return now + left/float64(1+max(waves, 1))
	}
	return end
}

// fetchRounds is how many rounds of fetches so many fragments take.
func (s *Options) fetchRounds(wanted int) int {
	return int(math.Ceil(float64(wanted) / float64(s.Parallel)))
}

// canRestart reports whether there is time to begin the page anew.
func (s *Options) canRestart(now, deadline float64) bool { return deadline-now > 2*s.Reserve }

// Meta is what the head of a fragment's answer says of how long it may be kept.
type Meta struct {
	Fresh        float64 // ms that it is fresh for, its age taken off; 0: it has to be asked for again; -1: nothing is said
	Private      bool    // for one client only
	NoStore      bool
	ETag         string
	LastModified int64 // Last-Modified, Unix seconds; 0: nothing is said
	ESI          bool  // it is a page to put together itself
}

// Combine is what can be said of a page that is made of pieces: as fresh as the least,
// private as any, changed as the last; of tags one of all of them in their order, where
// all have one. A piece of which nothing is said makes the page one to ask for again.
func Combine(list []Meta) Meta {
	out := Meta{Fresh: math.Inf(1)}
	h := uint64(14695981039346656037)
	tags, dates := len(list) > 0, len(list) > 0
	for _, m := range list {
		out.Fresh = min(out.Fresh, max(m.Fresh, 0))
		out.Private = out.Private || m.Private
		out.NoStore = out.NoStore || m.NoStore
		out.LastModified = max(out.LastModified, m.LastModified)
		tags, dates = tags && m.ETag != "", dates && m.LastModified != 0
		for i := range len(m.ETag) {
			h = (h ^ uint64(m.ETag[i])) * 1099511628211
		}
		h = (h ^ 0x1ff) * 1099511628211
	}
	if len(list) == 0 {
		out.Fresh = 0
	}
	if tags {
		out.ETag = weakTag(h)
	}
	if !dates {
		out.LastModified = 0
	}
	return out
}

// weakTag is a weak tag: pieces' bytes are compared by their own tags only.
func weakTag(h uint64) string {
	const hex = "0123456789abcdef"
	b := []byte(`W/"p0000000000000000"`)
	for i := range 16 {
		b[4+i] = hex[h>>(60-4*i)&15]
	}
	return string(b)
}

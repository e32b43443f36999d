package esi

import "math"

// Options bound the assembly of a page. A field that is zero has its default. Times are in
// milliseconds.
type Options struct {
	Parser          Limits
	Fragments       int     // distinct fragments of a page, alternatives included; default 256
	Includes        int     // include elements processed in a page and its fragments; default 2,000
	Depth           int     // nesting depth of fragments; default 4
	Parallel        int     // fragments fetched concurrently; default 8
	Attempts        int     // attempts at members for all fragments of a page; default 400
	StreamThreshold int64   // bytes received of a fragment before it may be sent incomplete; default 64 KB
	MaxBuffered     int64   // bytes of a fragment that must be complete before it is sent; default 1 MB
	MaxWaiting      int64   // bytes waiting to be sent at which reading ahead pauses; default 1 MB
	MaxPage         int64   // bytes of an assembled page; default 64 MB
	Reserve         float64 // time before the page's deadline at which fetches time out; default 100
	PassMalformed   bool    // send a malformed page unmodified instead of failing
}

func (o Options) withDefaults() Options {
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
	set(&o.Fragments, 256)
	set(&o.Includes, 2000)
	set(&o.Depth, 4)
	set(&o.Parallel, 8)
	set(&o.Attempts, 400)
	set64(&o.StreamThreshold, 64<<10)
	set64(&o.MaxBuffered, 1<<20)
	set64(&o.MaxWaiting, 1<<20)
	set64(&o.MaxPage, 64<<20)
	if o.Reserve <= 0 {
		o.Reserve = 100
	}
	return o
}

// importance says what happens to the page if a fragment fails.
type importance uint8

const (
	required    importance = iota // the page fails, or the fragment that includes it
	optional                      // the fragment is left out
	replaceable                   // another fragment or an except takes its place
)

// fetchDeadline returns the time at which a fetch that starts now times out. The page has time
// until deadline and needs the given number of further rounds of fetches. A required fragment
// may use all the time that is left. An optional one leaves an equal share to each of the other
// rounds, and a replaceable one leaves one more share to its alternative.
func (o *Options) fetchDeadline(now, deadline float64, rounds int, imp importance) float64 {
	end := deadline - o.Reserve
	left := max(end-now, 0)
	switch imp {
	case optional:
		return now + left/float64(max(rounds, 1))
	case replaceable:
		return now + left/float64(1+max(rounds, 1))
	}
	return end
}

// fetchRounds returns the number of rounds that it takes to fetch the given number of fragments, with
// Parallel fetches in each round.
func (o *Options) fetchRounds(fragments int) int {
	return int(math.Ceil(float64(fragments) / float64(o.Parallel)))
}

// canRestart reports whether there is time to start the page again.
func (o *Options) canRestart(now, deadline float64) bool { return deadline-now > 2*o.Reserve }

// Meta holds the caching metadata from the head of an answer.
type Meta struct {
	Fresh        float64 // ms of remaining freshness; 0: must be revalidated; -1: not stated
	Private      bool    // for a single client
	NoStore      bool
	ETag         string
	LastModified int64 // Last-Modified in Unix seconds; 0: not stated
	ESI          bool  // contains ESI and is assembled itself
}

// Combine returns the metadata of a page that is assembled from the items of the list. The page
// is fresh as long as all items are, and private if one is. If all items have a modification
// time, it has the latest of them. If all items have an ETag, it has one that is computed from
// them in their order. An item that states no freshness makes the page stale at once.
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

// weakTag returns a weak entity tag. It is weak because it is computed from the items' tags and
// not from their bytes.
func weakTag(h uint64) string {
	const hex = "0123456789abcdef"
	b := []byte(`W/"p0000000000000000"`)
	for i := range 16 {
		b[4+i] = hex[h>>(60-4*i)&15]
	}
	return string(b)
}

package limits

// Kind is a use of memory.
type Kind uint8

// The kinds of use.
const (
	Connections Kind = iota // state of clients' and members' connections
	Heads                   // bytes read and not parsed yet
	Answers                 // bytes of answers not written yet
	Requests                // state of requests in flight
	Bodies                  // bodies of writes
	numKinds
)

// kindNames are keys in the state that a router reports, and stay if the constants are renamed.
var kindNames = [numKinds]string{"connections", "heads", "answers", "requests", "bodies"}

// String returns the kind's key in the state that a router reports.
func (k Kind) String() string { return kindNames[k] }

// Levels of use, as shares of the total.
const (
	shedAbove         = 0.90 // from here on idle connections are closed and no request is admitted
	shedRequestsAbove = 0.95 // from here on requests in flight are shed too
	shedDownTo        = 0.80 // closing and shedding free memory down to this level
)

// maxBodyShare is the share of the total that the bodies of writes may use. It is low, since a body that
// a member takes slowly is copied to the buffers of its connection.
const maxBodyShare = 0.20

const (
	roomDivisor    = 256      // one answer may use the free memory divided by this
	minRoom        = 16 << 10 // bytes; one read of a member's connection
	maxUnaccounted = 24 << 20 // bytes, see UnaccountedMemory
)

// Budget accounts for the memory that a process uses for its connections and requests, in
// bytes.
type Budget struct {
	Total int64 // 0: no limit
	Peak  int64 // largest use so far

	used [numKinds]int64
	sum  int64 // of used
}

// Add adds n bytes to the use of a kind; a negative n frees bytes.
func (b *Budget) Add(kind Kind, n int64) {
	b.used[kind] += n
	b.sum += n
	b.Peak = max(b.Peak, b.sum)
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 { return b.sum }

// Map returns the bytes in use, by the names of their kinds.
func (b *Budget) Map() map[string]int64 {
	byName := map[string]int64{}
	for kind, n := range b.used {
		byName[Kind(kind).String()] = n
	}
	return byName
}

// Full reports whether too much memory is in use to admit more requests.
func (b *Budget) Full() bool { return b.Total > 0 && float64(b.sum) >= shedAbove*float64(b.Total) }

// Excess returns how many bytes are to be freed by closing idle connections, and how many of
// them may be freed by shedding requests if that is not enough.
func (b *Budget) Excess() (idle, requests int64) {
	if !b.Full() {
		return 0, 0
	}
	idle = b.sum - int64(shedDownTo*float64(b.Total))
	if float64(b.sum) >= shedRequestsAbove*float64(b.Total) {
		requests = idle
	}
	return idle, requests
}

// Room returns how many bytes of one answer may be buffered for its client: a fixed share of the
// free memory, at most limit and at least one read. These are the dynamic thresholds of
// shared-memory switches (Choudhury and Hahne, 1998): the more answers are buffered, the less
// each may use, so that some hundreds of unread answers leave memory for the next, while a
// single answer may use the whole limit. Thousands of answers, with the minimum each, can still
// fill the budget.
func (b *Budget) Room(limit int) int {
	if b.Total <= 0 {
		return limit
	}
	free := shedAbove*float64(b.Total) - float64(b.sum)
	return min(max(int(free/roomDivisor), minRoom), limit)
}

// HasRoomForBody reports whether the bodies of writes may use n more bytes.
func (b *Budget) HasRoomForBody(n int64) bool {
	return b.Total <= 0 || float64(b.used[Bodies]+n) <= maxBodyShare*float64(b.Total)
}

// UnaccountedMemory returns how much of a process's total bytes of memory no Budget accounts
// for: program, runtime, logs and queues. It is at most three quarters of the total.
func UnaccountedMemory(total int64) int64 { return min(maxUnaccounted, total*3/4) }

package limits

// Kind is what memory is used for.
type Kind uint8

// The kinds.
const (
	Connections Kind = iota // state of clients' and members' connections
	Heads                   // bytes that were read, and not yet parsed
	Answers                 // answers, and not yet written
	Requests                // state of requests in flight
	Bodies                  // bodies of writes
	numKinds
)

// kindNames are keys of the state that a router reports.
var kindNames = [numKinds]string{"connections", "heads", "answers", "requests", "bodies"}

// String returns the kind's key in the state that a router reports.
func (k Kind) String() string { return kindNames[k] }

// Levels of use, as parts of the total.
const (
	shedAbove         = 0.90 // from here idle connections are closed, and no request is admitted
	shedRequestsAbove = 0.95 // from here requests in flight are shed too
	shedDownTo        = 0.80 // and both go on down to here
)

const (
	roomDivisor    = 256      // one answer may use this part of what is free
	minRoom        = 16 << 10 // bytes that one read is worth
	maxUnaccounted = 24 << 20 // bytes, see UnaccountedMemory
)

// Budget is the memory that a process accounts for, in bytes.
type Budget struct {
	Total int64 // 0: no limit
	Peak  int64 // the most that was ever used

	used [numKinds]int64
	sum  int64 // of used
}

// Add accounts for n more bytes; a negative n gives them back.
func (b *Budget) Add(kind Kind, n int64) {
	b.used[kind] += n
	b.sum += n
	b.Peak = max(b.Peak, b.sum)
}

// Used is how many bytes are in use.
func (b *Budget) Used() int64 { return b.sum }

// Map returns the bytes in use, by the names of their kinds.
func (b *Budget) Map() map[string]int64 {
	byName := map[string]int64{}
	for kind, n := range b.used {
		byName[Kind(kind).String()] = n
	}
	return byName
}

// Full reports that no more requests can be admitted.
func (b *Budget) Full() bool { return b.Total > 0 && float64(b.sum) >= shedAbove*float64(b.Total) }

// Excess is how many bytes have to be given back, by closing idle connections and by shedding
// requests.
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

// Room is how many bytes one answer may have waiting for its client: a fixed part of what is
// free, at most most and at least what one read is worth. The more answers wait, the less is
// left for each (the dynamic thresholds of shared-memory switches, Choudhury and Hahne 1998):
// some hundreds that are not read cannot use up what the next needs, and one alone has all
// that it may. Thousands use the minimum each, and reach the limit.
func (b *Budget) Room(most int) int {
	if b.Total <= 0 {
		return most
	}
	free := shedAbove*float64(b.Total) - float64(b.sum)
	return min(max(int(free/roomDivisor), minRoom), most)
}

// UnaccountedMemory is the part of a process's memory, of total bytes, that no Budget accounts
// for: its program, the runtime, logs and queues. It is at most three quarters of the total.
func UnaccountedMemory(total int64) int64 { return min(maxUnaccounted, total*3/4) }

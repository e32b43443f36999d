package limits

// Kind is what memory is held for.
type Kind uint8

// The kinds.
const (
	Connections Kind = iota // descriptions of clients' and members' connections
	Heads                   // read, and not yet taken
	Answers                 // answered, and not yet written
	Requests                // requests in hand
	Bodies                  // bodies of writes
	kinds
)

var kindNames = [kinds]string{"connections", "heads", "answers", "requests", "bodies"}

// Budget is the memory that a process accounts for. A Total of 0 is no limit.
type Budget struct {
	Total int64
	used  [kinds]int64
	sum   int64
	Peak  int64 // that was ever used
}

// Add books bytes; a negative number gives them back.
func (b *Budget) Add(k Kind, n int64) {
	b.used[k] += n
	b.sum += n
	b.Peak = max(b.Peak, b.sum)
}

// Used is what is booked.
func (b *Budget) Used() int64 { return b.sum }

// Map is what is booked, by kind.
func (b *Budget) Map() map[string]int64 {
	out := map[string]int64{}
	for i, n := range b.used {
		out[kindNames[i]] = n
	}
	return out
}

// Levels of pressure.
const (
	shedAbove         = 0.90 // from here idle connections go, and nothing new is taken into hand
	shedDownTo        = 0.80 // down to here
	shedRequestsAbove = 0.95 // from here requests in hand go too
)

// Full reports that nothing new may be taken into hand.
func (b *Budget) Full() bool { return b.Total > 0 && float64(b.sum) >= shedAbove*float64(b.Total) }

// Excess is how many bytes have to be given back: of idle connections, and of requests.
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

// Room is how many bytes one answer may have waiting for its client: a fixed part of
// what is free, at most most and at least what one read is worth. The more answers wait, the less is left for
// each (the dynamic thresholds of shared-memory switches, Choudhury and Hahne 1998):
// some hundreds that are not taken can't use up what the next needs, and one alone has
// all that it may. Thousands take the least each, and reach the edge.
func (b *Budget) Room(most int) int {
	if b.Total <= 0 {
		return most
	}
	free := shedAbove*float64(b.Total) - float64(b.sum)
	return min(max(int(free/roomShare), minRoom), most)
}

// UnaccountedMemory is the part of a process's memory that is not booked: its program, the runtime,
// logs and queues. Of a small budget it is at most three quarters.
func UnaccountedMemory(total int64) int64 { return min(maxUnaccounted, total*3/4) }

const (
	roomShare      = 256
	minRoom        = 16 << 10
	maxUnaccounted = 24 << 20
)

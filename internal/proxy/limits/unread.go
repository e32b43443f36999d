package limits

import (
	"cmp"
	"slices"
)

// minSocketBytes is the smallest socket buffer. It allows a client with a round trip of 50 ms to
// receive 2.5 MB per second.
const minSocketBytes = 128 << 10

// Unread describes the bytes of answers that the kernel holds for a client: written by the
// router, and not read by the client.
type Unread struct {
	Index      int // set by the caller to identify the client
	Bytes      int64
	StalledFor float64 // ms since the client last read any of them
}

// UnreadAccount accounts for the bytes that the kernel holds for clients. They are not part of
// the process's memory, nor of its Budget.
type UnreadAccount struct {
	Total int64   // bytes for all clients together; 0: no limit
	Idle  float64 // ms after which a client that reads nothing is always disconnected
	Held  int64   // bytes at the last Update
	Peak  int64   // most bytes at any Update
}

// Update records the bytes held for each client now, and returns the clients to be disconnected:
// those that have read nothing for Idle and, if more than 0.90 of Total is held, stalled ones
// (see IsStalled) until 0.80 is left, those with the largest product of bytes and time first.
// Clients that read anything are subject only to the minimum rate. Update reuses the memory of
// list.
func (a *UnreadAccount) Update(list []Unread) (disconnect []Unread) {
	a.Held = 0
	for _, client := range list {
		a.Held += client.Bytes
	}
	a.Peak = max(a.Peak, a.Held)
	left := a.Held
	list = slices.DeleteFunc(list, func(client Unread) bool {
		if client.StalledFor < a.Idle && client.Bytes > 0 {
			return false
		}
		if client.Bytes > 0 {
			disconnect = append(disconnect, client)
			left -= client.Bytes
		}
		return true
	})
	if a.Total <= 0 || float64(left) < shedAbove*float64(a.Total) {
		return disconnect
	}
	for _, client := range stalled(list) {
		if float64(left) <= shedDownTo*float64(a.Total) {
			break
		}
		disconnect = append(disconnect, client)
		left -= client.Bytes
	}
	return disconnect
}

// stalled returns the stalled clients, those with the largest product of bytes and time first.
func stalled(list []Unread) []Unread {
	list = slices.DeleteFunc(list, func(client Unread) bool { return !IsStalled(client.StalledFor) })
	slices.SortStableFunc(list, func(a, b Unread) int {
		return cmp.Compare(float64(b.Bytes)*b.StalledFor, float64(a.Bytes)*a.StalledFor)
	})
	return list
}

// Room returns how many bytes the kernel may hold for a new connection: a share of the free
// bytes as by Budget.Room, at most limit and at least 128 KiB. A smaller limit is returned
// unchanged, so that 0 still means no limit.
func (a *UnreadAccount) Room(limit int) int {
	if limit <= minSocketBytes {
		return limit
	}
	budget := Budget{Total: a.Total, sum: a.Held}
	return max(budget.Room(limit), minSocketBytes)
}

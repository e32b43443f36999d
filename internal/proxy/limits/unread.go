package limits

import (
	"cmp"
	"slices"
)

// minSocketBytes gives a client that is 50 ms away 2.5 MB a second.
const minSocketBytes = 128 << 10

// Unread is what the kernel holds of answers for a client: written, and not read by it.
type Unread struct {
	Index      int     // the caller's
	Bytes      int64   // that the kernel holds
	StalledFor float64 // ms since the client has read any
}

// UnreadAccount accounts for what the kernel holds for clients, which is no part of the
// process's memory and of its Budget.
type UnreadAccount struct {
	Total int64   // bytes for all clients together; 0: no limit
	Idle  float64 // ms after which a client that reads nothing is cut in any case
	Held  int64   // bytes at the last Update
	Peak  int64   // most bytes at any Update
}

// Update records what is held for each client now, and returns the clients to be cut: those
// that read nothing for Idle, and past 0.90 of Total those that are stalled (IsStalled), the
// most bytes for the longest time first, until 0.80 is left. Clients that read something,
// however little, are left to the minimum rate. The list's memory is used up.
func (a *UnreadAccount) Update(list []Unread) (cut []Unread) {
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
			cut = append(cut, client)
			left -= client.Bytes
		}
		return true
	})
	if a.Total <= 0 || float64(left) < shedAbove*float64(a.Total) {
		return cut
	}
	for _, client := range stalled(list) {
		if float64(left) <= shedDownTo*float64(a.Total) {
			break
		}
		cut = append(cut, client)
		left -= client.Bytes
	}
	return cut
}

// stalled returns the clients that read nothing, the most bytes for the longest time first.
func stalled(list []Unread) []Unread {
	list = slices.DeleteFunc(list, func(client Unread) bool { return !IsStalled(client.StalledFor) })
	slices.SortStableFunc(list, func(a, b Unread) int {
		return cmp.Compare(float64(b.Bytes)*b.StalledFor, float64(a.Bytes)*a.StalledFor)
	})
	return list
}

// Room is how many bytes the kernel may hold for a new connection: a part of what is free, as
// by Budget.Room, at most most and at least 128 KiB. A most below that is returned as it is,
// so that 0 stays no limit.
func (a *UnreadAccount) Room(most int) int {
	if most <= minSocketBytes {
		return most
	}
	budget := Budget{Total: a.Total, sum: a.Held}
	return max(budget.Room(most), minSocketBytes)
}

package indigospool

import "math"

// minHashFraction keeps the logarithm of a weighted rendezvous hash finite.
const minHashFraction = 1e-18

// rendezvousBest returns the member with the highest rendezvous hash, or nil if the list is empty.
// When a member leaves, only the objects assigned to it are assigned to other members.
func rendezvousBest(list []*member, hash uint64) *member {
	var best *member
	var highest uint64
	for _, member := range list {
		if score := mix(hash ^ member.hash); best == nil || score > highest {
			best, highest = member, score
		}
	}
	return best
}

// byRendezvous ranks members by their rendezvous hash for an object.
func byRendezvous(list []*member, hash uint64) *ranking {
	return &ranking{list: list, rankOf: func(member *member) rank { return rank{hash: mix(hash ^ member.hash)} }}
}

// byWeightedRendezvous ranks members by their rendezvous hash for an object, weighted by capacity: a
// member with twice the capacity is first for twice as many objects.
func (r *Router) byWeightedRendezvous(list []*member, hash uint64) *ranking {
	return &ranking{list: list, rankOf: func(member *member) rank {
		return rank{key: math.Log(max(hashFraction(hash^member.hash), minHashFraction)) / r.capacity(member)}
	}}
}

// rank is the sort key of a member. A higher key comes first, then a higher hash, then a lower index.
type rank struct {
	key   float64
	hash  uint64
	index int // index in the list
}

// before reports whether a member of rank r comes before a member of rank other.
func (r *rank) before(other *rank) bool {
	if r.key != other.key {
		return r.key > other.key
	}
	if r.hash != other.hash {
		return r.hash > other.hash
	}
	return r.index < other.index
}

// ranking sorts a list of members by rank, lazily. Usually only the first of thousands of members is
// needed, so the heap is not built before the second one is requested.
type ranking struct {
	list   []*member
	rankOf func(member *member) rank
	heap   []rank    // ranks of the members not in found
	found  []*member // the first members, in order
}

// members yields the members in order.
func (k *ranking) members(yield func(member *member) bool) {
	for place := range k.list {
		if !yield(k.at(place)) {
			return
		}
	}
}

// at returns the member at a place in the order, from 0.
func (k *ranking) at(place int) *member {
	if len(k.found) == 0 {
		if place == 0 {
			return k.first()
		}
		k.buildHeap()
	}
	for len(k.found) <= place {
		last := len(k.heap) - 1
		k.found = append(k.found, k.list[k.heap[0].index])
		k.heap[0] = k.heap[last]
		k.heap = k.heap[:last]
		k.siftDown(0)
	}
	return k.found[place]
}

// first returns the member that comes first, or nil if the list is empty.
func (k *ranking) first() *member {
	var first *member
	var highest rank
	for i, member := range k.list {
		current := k.rankOf(member)
		current.index = i
		if first == nil || current.before(&highest) {
			first, highest = member, current
		}
	}
	return first
}

// buildHeap builds a heap of the ranks of all members.
func (k *ranking) buildHeap() {
	k.heap = make([]rank, len(k.list))
	for i, member := range k.list {
		k.heap[i] = k.rankOf(member)
		k.heap[i].index = i
	}
	for i := len(k.heap)/2 - 1; i >= 0; i-- {
		k.siftDown(i)
	}
}

// siftDown moves the rank at an index down until the heap property holds.
func (k *ranking) siftDown(index int) {
	for {
		first := index
		for child := 2*index + 1; child <= 2*index+2 && child < len(k.heap); child++ {
			if k.heap[child].before(&k.heap[first]) {
				first = child
			}
		}
		if first == index {
			return
		}
		k.heap[index], k.heap[first] = k.heap[first], k.heap[index]
		index = first
	}
}

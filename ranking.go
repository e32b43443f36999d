package indigospool

import (
	"math"
)

// rendezvousBest is the highest of a rendezvous hash: a lost member moves only its own.
func rendezvousBest(list []*member, h uint64) (top *member) {
	var high uint64
	for _, member := range list {
		if v := mix(h ^ member.hash); top == nil || v > high {
			top, high = member, v
		}
	}
	return top
}

// ranking is a list of members in falling order of their ranks. Most of the time the first
// is all that is looked at, of thousands: the others are put in order once one is asked for.
type ranking struct {
	list  []*member
	rank  func(m *member) rank
	heap  []rank // those not found yet
	found []*member
}

// rank is what a member goes by: of two with the same one, that which is listed first
// goes first.
type rank struct {
	key    float64
	hash   uint64
	listed int
}

func (a *rank) before(b *rank) bool {
	if a.key != b.key {
		return a.key > b.key
	}
	if a.hash != b.hash {
		return a.hash > b.hash
	}
	return a.listed < b.listed
}

// first is the member of the highest rank; nil where there is nobody.
func (k *ranking) first() (top *member) {
	var most rank
	for i, member := range k.list {
		own := k.rank(member)
		own.listed = i
		if top == nil || own.before(&most) {
			top, most = member, own
		}
	}
	return top
}

// buildHeap makes the heap of all.
func (k *ranking) buildHeap() {
	k.heap = make([]rank, len(k.list))
	for i, member := range k.list {
		k.heap[i] = k.rank(member)
		k.heap[i].listed = i
	}
	for i := len(k.heap)/2 - 1; i >= 0; i-- {
		k.siftDown(i)
	}
}

// siftDown moves the one at i down to its place in the heap.
func (k *ranking) siftDown(i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(k.heap); child++ {
			if k.heap[child].before(&k.heap[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		k.heap[i], k.heap[first] = k.heap[first], k.heap[i]
		i = first
	}
}

// members gives the members in falling order.
func (k *ranking) members(yield func(member *member) bool) {
	for place := range k.list {
		if !yield(k.at(place)) {
			return
		}
	}
}

// at is the member at a place, from 0.
func (k *ranking) at(place int) *member {
	switch {
	case place == 0 && len(k.found) == 0:
		return k.first()
	case len(k.found) == 0:
		k.buildHeap()
	}
	for len(k.found) <= place {
		last := len(k.heap) - 1
		k.found = append(k.found, k.list[k.heap[0].listed])
		k.heap[0] = k.heap[last]
		k.heap = k.heap[:last]
		k.siftDown(0)
	}
	return k.found[place]
}

// byRendezvous is the list in falling order of the rendezvous hash.
func byRendezvous(list []*member, h uint64) *ranking {
	return &ranking{list: list, rank: func(member *member) rank { return rank{hash: mix(h ^ member.hash)} }}
}

// byWeightedRendezvous is the list in falling order of the rendezvous hash weighed by capacity, as far
// as it is told: one that can serve twice as much is first for twice as many objects.
func (r *Router) byWeightedRendezvous(list []*member, h uint64) *ranking {
	return &ranking{list: list, rank: func(member *member) rank {
		return rank{key: math.Log(max(chance(h^member.hash), 1e-18)) / r.capacity(member)}
	}}
}

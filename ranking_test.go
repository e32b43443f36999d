package indigospool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRanking checks that the lazy ranking yields members in the same order as a sort of the list.
func TestRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := &Router{settings: Settings{SizeIsCapacity: true}}
		var list []*member
		for i := range rapid.IntRange(0, 60).Draw(t, "members") {
			member := &member{Member: Member{Size: float64(rapid.IntRange(0, 4).Draw(t, "size"))}, hash: hashString(fmt.Sprint(i))}
			list = append(list, member)
		}
		hash := rapid.Uint64().Draw(t, "hash")
		plain, weighted := slices.Clone(list), slices.Clone(list)
		slices.SortFunc(plain, func(a, b *member) int { return cmp.Compare(mix(hash^b.hash), mix(hash^a.hash)) })
		key := func(member *member) float64 {
			return math.Log(max(hashFraction(hash^member.hash), 1e-18)) / router.capacity(member)
		}
		slices.SortFunc(weighted, func(a, b *member) int { return cmp.Compare(key(b), key(a)) })
		for name, c := range map[string]struct {
			got  *ranking
			want []*member
		}{"unweighted": {byRendezvous(list, hash), plain}, "weighted": {router.byWeightedRendezvous(list, hash), weighted}} {
			for range 2 { // the second iteration uses the members already found
				if got := slices.Collect(c.got.members); !slices.Equal(got, c.want) {
					t.Fatalf("%s: order differs from that of a sort", name)
				}
			}
		}
	})
}

package choice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// foreignDivisor is the part of a subset that is kept for other availability
// zones, so that the loss of the own one leaves candidates.
const foreignDivisor = 4

// weighted is the index of a candidate with its rendezvous weight.
type weighted struct {
	index  int
	weight uint64
	own    bool
}

// Subset returns at most n candidates for an entry host to watch, by rendezvous
// hashing: each entry host gets its own even share, and a change of membership
// moves few. Three quarters are of the own zone as far as it has that many.
func Subset(entryName, zone string, all []Candidate, n int) []Candidate {
	if n >= len(all) {
		return slices.Clone(all)
	}
	ranked := rank(entryName, zone, all)
	foreign := n / foreignDivisor
	out := make([]Candidate, 0, n)
	var rest []weighted
	for _, w := range ranked {
		if w.own && len(out) < n-foreign {
			out = append(out, all[w.index])
			continue
		}
		rest = append(rest, w)
	}
	slices.SortStableFunc(rest, func(first, second weighted) int {
		return compareOwn(first.own, second.own)
	})
	for _, w := range rest[:n-len(out)] {
		out = append(out, all[w.index])
	}
	return out
}

// rank orders the candidates by rendezvous weight.
func rank(entryName, zone string, all []Candidate) []weighted {
	ranked := make([]weighted, len(all))
	key := make([]byte, 0, 128)
	for i := range all {
		key = append(key[:0], entryName...)
		key = append(key, 0)
		key = append(key, all[i].Name...)
		ranked[i] = weighted{index: i, weight: xxhash.Sum64(key), own: all[i].Zone == zone}
	}
	slices.SortFunc(ranked, func(first, second weighted) int {
		return cmp.Compare(second.weight, first.weight)
	})
	return ranked
}

// compareOwn orders candidates of other zones before those of the own one.
func compareOwn(first, second bool) int {
	switch {
	case first == second:
		return 0
	case first:
		return 1
	default:
		return -1
	}
}

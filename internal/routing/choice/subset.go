package choice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// otherZonesDivisor is the part of a subset that is kept for other availability
// zones, so that the loss of the own one leaves candidates.
const otherZonesDivisor = 4

// rankedCandidate is the index of a candidate with its rendezvous weight.
type rankedCandidate struct {
	index  int
	weight uint64
	// distance orders what fills the subset up, see distanceOf.
	distance int
}

// Distances of a candidate from the entry host, in the order in which they fill
// the part of a subset that is kept for others than the own zone.
const (
	// otherZone is another availability zone of the own region.
	otherZone = iota
	// ownZone is the entry host's availability zone.
	ownZone
	// otherRegion is a region that links to the own one may cut off.
	otherRegion
)

// distanceOf tells how far a candidate is. Candidates without a region count
// as of the own one.
func distanceOf(zone, region string, c *Candidate) int {
	switch {
	case c.Zone == zone:
		return ownZone
	case c.Region == region || c.Region == "":
		return otherZone
	default:
		return otherRegion
	}
}

// Subset returns at most n candidates for an entry host to watch, by rendezvous
// hashing: each entry host gets its own even share, and a change of membership
// moves few. Three quarters are of the own zone as far as it has that many, the
// rest of other zones of the own region. Other regions come last.
func Subset(entryName, zone, region string, all []Candidate, n int) []Candidate {
	if n >= len(all) {
		return slices.Clone(all)
	}
	ranked := rank(entryName, zone, region, all)
	foreign := n / otherZonesDivisor
	out := make([]Candidate, 0, n)
	var rest []rankedCandidate
	for _, w := range ranked {
		if w.distance == ownZone && len(out) < n-foreign {
			out = append(out, all[w.index])
			continue
		}
		rest = append(rest, w)
	}
	slices.SortStableFunc(rest, func(first, second rankedCandidate) int {
		return cmp.Compare(first.distance, second.distance)
	})
	for _, w := range rest[:n-len(out)] {
		out = append(out, all[w.index])
	}
	return out
}

// rank orders the candidates by rendezvous weight.
func rank(entryName, zone, region string, all []Candidate) []rankedCandidate {
	ranked := make([]rankedCandidate, len(all))
	key := make([]byte, 0, 128)
	for i := range all {
		key = append(key[:0], entryName...)
		key = append(key, 0)
		key = append(key, all[i].Name...)
		ranked[i] = rankedCandidate{index: i, weight: xxhash.Sum64(key), distance: distanceOf(zone, region, &all[i])}
	}
	slices.SortFunc(ranked, func(first, second rankedCandidate) int {
		return cmp.Compare(second.weight, first.weight)
	})
	return ranked
}

package choice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// otherZonesDivisor sets the share of a subset that is kept for other
// availability zones, 1 in otherZonesDivisor, so that candidates remain when
// the entry host's own zone fails.
const otherZonesDivisor = 4

// rankedCandidate is the index of a candidate with its rendezvous hash.
type rankedCandidate struct {
	index  int
	weight uint64
	// distance is otherZone, ownZone or otherRegion.
	distance int
}

// Distances of a candidate from the entry host. The remainder of a subset, after
// the share of the own zone, is filled in this order.
const (
	// otherZone is another availability zone in the same region.
	otherZone = iota
	// ownZone is the entry host's availability zone.
	ownZone
	// otherRegion is another region. It comes last because the links between
	// regions may fail.
	otherRegion
)

// distanceOf returns the distance of a candidate. A candidate without a region
// counts as being in the entry host's region.
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

// Subset returns at most n candidates for an entry host to route to. It selects
// them by rendezvous hashing, so that the subsets of all entry hosts spread
// evenly over the candidates and a change of membership replaces few of them.
// Up to three quarters are in the entry host's own zone. The rest is filled from
// other zones of its region, then from its own zone, then from other regions.
func Subset(entryName, zone, region string, all []Candidate, n int) []Candidate {
	if n >= len(all) {
		return slices.Clone(all)
	}
	ranked := rank(entryName, zone, region, all)
	reserved := n / otherZonesDivisor
	out := make([]Candidate, 0, n)
	var rest []rankedCandidate
	for _, w := range ranked {
		if w.distance == ownZone && len(out) < n-reserved {
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

// rank returns the candidates in descending order of their rendezvous hash.
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

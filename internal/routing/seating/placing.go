package seating

import (
	"cmp"
	"slices"
	"strings"
)

// Placing is how a backend server is chosen: ByForecast, or one of the baselines
// that it is measured against.
type Placing interface{ placing() }

// ByForecast chooses the server with the least cost, as Choose tells.
type ByForecast struct{}

// InTurn takes the servers one after the other.
type InTurn struct{}

// LeastOutstanding takes the server at which this host has the fewest open
// requests.
type LeastOutstanding struct{}

func (ByForecast) placing()       {}
func (InTurn) placing()           {}
func (LeastOutstanding) placing() {}

// chooseBy chooses a candidate. Turn counts the choices so far, and own holds the
// open requests of this host at each candidate.
func chooseBy(placing Placing, candidates []Candidate, tokens int, points []float64, turn int, own []int) (int, bool) {
	switch placing.(type) {
	case InTurn:
		return chooseInTurn(candidates, turn)
	case LeastOutstanding:
		return chooseLeast(candidates, points, own)
	default:
		return Choose(candidates, tokens, points)
	}
}

// untried returns the indexes of the candidates that the request was not sent
// to, those that were not reached last.
func untried(candidates []Candidate) []int {
	var indexes []int
	for i, c := range candidates {
		if !c.Tried {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(i, j int) int {
		return cmp.Or(
			cmp.Compare(rankOf(candidates[i].Avoided), rankOf(candidates[j].Avoided)),
			strings.Compare(candidates[i].Server.ID, candidates[j].Server.ID),
		)
	})
	return indexes
}

func rankOf(last bool) int {
	if last {
		return 1
	}
	return 0
}

func chooseInTurn(candidates []Candidate, turn int) (int, bool) {
	indexes := untried(candidates)
	reached := slices.DeleteFunc(slices.Clone(indexes), func(i int) bool { return candidates[i].Avoided })
	if len(reached) > 0 {
		indexes = reached
	}
	if len(indexes) == 0 {
		return 0, false
	}
	return indexes[turn%len(indexes)], true
}

func chooseLeast(candidates []Candidate, points []float64, own []int) (int, bool) {
	indexes := untried(candidates)
	if len(indexes) == 0 {
		return 0, false
	}
	return slices.MinFunc(indexes, func(i, j int) int {
		return cmp.Or(
			cmp.Compare(rankOf(candidates[i].Avoided), rankOf(candidates[j].Avoided)),
			cmp.Compare(own[i], own[j]),
			cmp.Compare(points[i], points[j]),
		)
	}), true
}

package placement

import (
	"cmp"
	"slices"
	"strings"
)

// Policy is how a backend server is chosen: ByForecast, or one of the baselines
// that it is measured against.
type Policy interface{ policy() }

// ByForecast chooses the server with the least cost, as Choose tells.
type ByForecast struct{}

// RoundRobin takes the servers one after the other.
type RoundRobin struct{}

// LeastOutstanding takes the server at which this host has the fewest open
// requests.
type LeastOutstanding struct{}

func (ByForecast) policy()       {}
func (RoundRobin) policy()       {}
func (LeastOutstanding) policy() {}

// chooseBy chooses a candidate. Turn counts the choices so far.
func chooseBy(placing Policy, candidates []Candidate, tokens int, points []float64, turn int) (int, bool) {
	switch placing.(type) {
	case RoundRobin:
		return chooseRoundRobin(candidates, turn)
	case LeastOutstanding:
		return chooseLeastOutstanding(candidates, points)
	default:
		return Choose(candidates, tokens, points)
	}
}

// usable returns the indexes of the candidates that the request was not sent to:
// of those that are reached, or of all when none is.
func usable(candidates []Candidate) []int {
	var reached, avoided []int
	for i, c := range candidates {
		switch {
		case c.Tried:
		case c.Avoided:
			avoided = append(avoided, i)
		default:
			reached = append(reached, i)
		}
	}
	if len(reached) > 0 {
		return reached
	}
	return avoided
}

func chooseRoundRobin(candidates []Candidate, turn int) (int, bool) {
	indexes := usable(candidates)
	if len(indexes) == 0 {
		return 0, false
	}
	slices.SortFunc(indexes, func(i, j int) int {
		return strings.Compare(candidates[i].Server.ID, candidates[j].Server.ID)
	})
	return indexes[turn%len(indexes)], true
}

func chooseLeastOutstanding(candidates []Candidate, points []float64) (int, bool) {
	indexes := usable(candidates)
	if len(indexes) == 0 {
		return 0, false
	}
	return slices.MinFunc(indexes, func(i, j int) int {
		return cmp.Or(cmp.Compare(candidates[i].Open, candidates[j].Open), cmp.Compare(points[i], points[j]))
	}), true
}

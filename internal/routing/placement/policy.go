package placement

import (
	"cmp"
	"slices"
	"strings"
)

// Policy selects backend servers: ByForecast, or one of the baselines that it is
// compared with.
type Policy interface{ policy() }

// ByForecast selects the server with the least cost, which for an engine includes
// its forecast memory use; see Choose.
type ByForecast struct{}

// RoundRobin selects the servers in turn, in the order of their IDs.
type RoundRobin struct{}

// LeastOutstanding selects the server at which this host has the fewest open
// requests.
type LeastOutstanding struct{}

func (ByForecast) policy()       {}
func (RoundRobin) policy()       {}
func (LeastOutstanding) policy() {}

// chooseBy selects a candidate by a policy and returns its index, or false when
// there is none. The argument turn counts the selections so far.
func chooseBy(policy Policy, candidates []Candidate, tokens int, jitter []float64, turn int) (int, bool) {
	switch policy.(type) {
	case RoundRobin:
		return chooseRoundRobin(candidates, turn)
	case LeastOutstanding:
		return chooseLeastOutstanding(candidates, jitter)
	default:
		return Choose(candidates, tokens, jitter)
	}
}

// usable returns the indexes of the candidates that the request was not sent to
// yet. Avoided and unresponsive servers are left out unless there are no others.
func usable(candidates []Candidate) []int {
	var preferred, avoided []int
	for i, c := range candidates {
		switch {
		case c.Tried:
		case c.Avoided, c.Unresponsive && c.ProbeUntil == 0:
			avoided = append(avoided, i)
		default:
			preferred = append(preferred, i)
		}
	}
	if len(preferred) > 0 {
		return preferred
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

func chooseLeastOutstanding(candidates []Candidate, jitter []float64) (int, bool) {
	indexes := usable(candidates)
	if len(indexes) == 0 {
		return 0, false
	}
	return slices.MinFunc(indexes, func(i, j int) int {
		return cmp.Or(cmp.Compare(candidates[i].Open, candidates[j].Open), cmp.Compare(jitter[i], jitter[j]))
	}), true
}

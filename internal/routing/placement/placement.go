// Package placement chooses the backend server for a request, from what is known
// of the load of each. It has no I/O and reads no clock.
package placement

import (
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

const (
	// otherZoneCost is the cost of a backend server in another availability
	// zone, in shares of its capacity.
	otherZoneCost = 0.08
	// coldCost is the cost of a backend server that has just started.
	coldCost = 0.3
	// startingCost is the cost of one request there that has made no event yet,
	// as prompts are read one after the other.
	startingCost = 0.25
	// failureCost is the cost of a backend server that fails every request.
	failureCost = 3.0
	// leavingCost and avoidedCost exceed the sum of all other costs.
	leavingCost = 1000.0
	avoidedCost = 2000.0
	// jitterCost is the greatest cost that is drawn at random, so that entry
	// hosts that know the same do not choose the same.
	jitterCost = 0.1
	// fullShare is the share of an engine's memory from which on a new
	// generation would probably be preempted.
	fullShare = 0.95
	// fullCost is the cost of an engine that is full.
	fullCost = 1.0
)

// Candidate is a backend server with what is known of it.
type Candidate struct {
	Server discovery.BackendServer
	// SameZone says that it stands in the entry host's availability zone.
	SameZone bool
	// Cold says that it has just started.
	Cold bool
	// Leaving says that it will end soon.
	Leaving bool
	// Avoided says that it was not reached a short while ago.
	Avoided bool
	// Tried says that this request was sent there before.
	Tried bool
	// Slots is the number of requests that it runs at once.
	Slots int
	// Starting are the requests there that have made no event yet.
	Starting int
	// Open are the requests there from this host.
	Open int
	// Running and Queued are the requests there, from all entry hosts.
	Running int
	Queued  int
	// MemoryTokens is the engine's memory; zero for a plain service.
	MemoryTokens int
	// UsedTokens is the memory that is taken, now and by what was sent there
	// since it was reported. ExpectedTokens is what will be taken once all of
	// them have grown.
	UsedTokens     int
	ExpectedTokens int
	// FailureShare is the recent share of requests that it failed.
	FailureShare float64
	// ReportMillis is the age of the report of its load; negative when there is
	// none.
	ReportMillis int64
}

// Choose returns the index of the best candidate, or false when there is none.
// A server that ends soon, or that was not reached, is chosen only when there
// is no other. Points are drawn from [0, 1) by the caller, one for each
// candidate.
func Choose(candidates []Candidate, tokens int, points []float64) (int, bool) {
	best, found := 0, false
	bestCost := 0.0
	for i, c := range candidates {
		if c.Tried {
			continue
		}
		cost := c.cost(tokens) + jitterCost*points[i]
		if !found || cost < bestCost {
			best, bestCost, found = i, cost, true
		}
	}
	return best, found
}

// cost returns what it costs to place a request of that many tokens there.
func (c Candidate) cost(tokens int) float64 {
	cost := failureCost * c.FailureShare
	if c.Leaving {
		cost += leavingCost
	}
	if c.Avoided {
		cost += avoidedCost
	}
	if !c.SameZone {
		cost += otherZoneCost
	}
	if c.Cold {
		cost += coldCost
	}
	if c.MemoryTokens == 0 {
		return cost + float64(c.Running)/float64(max(c.Slots, 1))
	}
	cost += startingCost * float64(c.Starting)
	if c.full(tokens) || c.Running >= c.Slots {
		cost += fullCost
	}
	return cost + float64(c.ExpectedTokens+tokens)/float64(c.MemoryTokens)
}

// full reports whether an engine's memory would not hold a further request of
// that many tokens to its end.
func (c Candidate) full(tokens int) bool {
	if c.MemoryTokens == 0 {
		return false
	}
	return float64(c.ExpectedTokens+tokens) > fullShare*float64(c.MemoryTokens)
}

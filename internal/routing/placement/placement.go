// Package placement selects the backend server for each request, by the load of
// the servers as this entry host sees it. A server either is an engine, which runs a
// model and keeps its running requests (generations) in a memory that is counted in
// tokens, or belongs to a plain service, which has no model. LoadTable holds the
// load, and Choose compares the servers. The package does no I/O.
package placement

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

// The load of a server is the share of its capacity that is in use. The capacity of
// a plain service is its slots. The capacity of an engine is its memory, and the use
// is the forecast, that is, the memory in use once all requests have grown to their
// expected size. The costs are added to the load, so a cost of 0.1 weighs as much as
// a tenth of the capacity.
const (
	// otherZoneCost is the cost of a backend server in another availability
	// zone.
	otherZoneCost = 0.08
	// coldCost is the cost of a backend server that has just started and does
	// not work at full speed yet.
	coldCost = 0.3
	// startingCost is the cost of each request at an engine whose answer has no
	// event yet, as an engine processes prompts one after the other.
	startingCost = 0.25
	// failureCost is the cost of a backend server that fails every request. It
	// is scaled by the share of requests that fail.
	failureCost = 3.0
	// leavingCost and avoidedCost exceed the sum of all other costs.
	leavingCost = 1000.0
	avoidedCost = 2000.0
	// unresponsiveCost equals avoidedCost. probeGain exceeds all costs except leavingCost,
	// avoidedCost and unresponsiveCost.
	unresponsiveCost = 2000.0
	probeGain        = 100.0
	// jitterCost is the upper bound of a random cost. It keeps entry hosts with
	// the same view of the load from all choosing the same server.
	jitterCost = 0.1
	// fullCost is the cost of an engine without enough free memory or without a
	// free slot.
	fullCost = 1.0
)

// Candidate is a backend server with its load, as this entry host sees it.
type Candidate struct {
	Server discovery.BackendServer
	// SameZone says that the server is in the entry host's availability zone.
	SameZone bool
	// Cold says that the server has just started and does not work at full speed
	// yet.
	Cold bool
	// Leaving says that the server is about to shut down.
	Leaving bool
	// Avoided says that a recent attempt could not connect to the server, or
	// found another one at its address.
	Avoided bool
	// Unresponsive says that the server, which is one of a plain service, leaves calls without an
	// answer. ProbeUntil is the time by which an answer is expected if the request should be sent
	// there nevertheless, to find out whether it answers again; zero otherwise.
	Unresponsive bool
	ProbeUntil   boottime.Instant
	// Tried says that this request was already sent to the server.
	Tried bool
	// Slots is the number of requests that the server can run at once.
	Slots int
	// Starting is the number of requests at the server whose answer has no event
	// yet.
	Starting int
	// Open is the number of open requests of this entry host at the server.
	Open int
	// Running and Queued are the numbers of requests at the server from all entry
	// hosts. Without a recent report, Running counts only those of this host.
	Running int
	Queued  int
	// MemoryTokens is the engine's memory; zero for a plain service.
	MemoryTokens int
	// UsedTokens is the memory in use, with that of the requests sent since the
	// last report. ExpectedTokens is the memory that will be in use once all of
	// these requests have grown to their expected size.
	UsedTokens     int
	ExpectedTokens int
	// NearTokens is the most memory that will be in use while the next short request
	// runs.
	NearTokens int
	// UnreadTokens is the size of the prompts that the engine has yet to process.
	UnreadTokens int
	// Lacking is what the server lacks to take the request without pushing others out
	// and to start it in time.
	Lacking Lack
	// KeptTokens is the memory that is kept free for the runs of engines that are
	// about to shut down.
	KeptTokens int
	// EventMicros is the engine's usual time between two events of a run in microseconds,
	// and EventAgeMillis the age of its estimate. Both are zero when it is not known.
	EventMicros    int64
	EventAgeMillis int64
	// LongRuns is the number of runs that are expected to produce a long further output.
	LongRuns int
	// PauseMillis is the longest pause that is forecast for the request's stream; zero
	// when there is no forecast.
	PauseMillis int64
	// Late is the probability that the request's stream is late by its pauses, if its output is
	// long. RunsLate is that for the runs at the engine, if the request has a prompt.
	Late     LateChance
	RunsLate LateChance
	// PausesDiffer says that some candidates have an excess of these probabilities.
	PausesDiffer bool
	// FailureShare is the recent share of this host's requests that the server
	// failed.
	FailureShare float64
	// ReportMillis is the age of the last load report. It is negative when there
	// is no recent report, and zero for a plain service.
	ReportMillis int64
}

// Choose returns the index of the candidate with the least cost, or false when
// the request was already sent to all of them. A server that is about to shut
// down, that is avoided or that is unresponsive is chosen only when there is no other. The caller
// passes one random number from [0, 1) in jitter for each candidate.
func Choose(candidates []Candidate, tokens int, jitter []float64) (int, bool) {
	best, found := 0, false
	bestCost := 0.0
	for i, c := range candidates {
		if c.Tried {
			continue
		}
		cost := c.cost(tokens) + jitterCost*jitter[i]
		if !found || cost < bestCost {
			best, bestCost, found = i, cost, true
		}
	}
	return best, found
}

// cost returns the cost of placing a request of that many tokens at the
// candidate.
func (c Candidate) cost(tokens int) float64 {
	cost := failureCost * c.FailureShare
	if c.Leaving {
		cost += leavingCost
	}
	if c.Avoided {
		cost += avoidedCost
	}
	switch {
	case c.ProbeUntil != 0:
		cost -= probeGain
	case c.Unresponsive:
		cost += unresponsiveCost
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
	if !c.hasRoom() {
		cost += fullCost
	}
	if !c.hasRoom() && c.PausesDiffer {
		cost += longPauseCost + maxLongRunsCost
	}
	return cost + c.pauseCost() + float64(c.ExpectedTokens+tokens)/float64(c.MemoryTokens)
}

// Package migration decides which running generations leave an engine that ends
// soon, in which order, and where to. It has no I/O and reads no clock.
package migration

import (
	"cmp"
	"slices"
)

const (
	millisPerSecond = 1000
	// tokenMillis is the time in which an engine generates one token of a run.
	tokenMillis = 11
	// endMarginMillis is kept free between the estimated end of a run that
	// stays and the end of its engine.
	endMarginMillis = 500
	// assumedCopyTokensPerSecond is assumed to be copied in a second within an
	// availability zone, where no entry host said how much is.
	assumedCopyTokensPerSecond = 16_000
	// linkShare is the share of a link's rate that a copy reaches.
	linkShare = 0.9
	// otherZoneFactor is how much longer a copy to another zone takes.
	otherZoneFactor = 2
	// contendedFactor is how much longer a copy takes that shares its link with
	// those of another engine.
	contendedFactor = 2
	// assumedRemainingTokens is assumed of a run of which no entry host said how much
	// is still to be generated.
	assumedRemainingTokens = 500
	// assignedRunPenaltyTokens weighs each run that was given to an engine shortly
	// before, in free tokens, as its copies queue there.
	assignedRunPenaltyTokens = 2000
	// reserveTokens stays free at a destination once all runs there have grown, as
	// estimates fall short and a run that is preempted is read again from its start.
	reserveTokens = 1500
	// copyMarginTokens is the memory beyond that of a copy that a destination
	// must have free.
	copyMarginTokens = 200
	// assumedWorth is assumed of a run of which no entry host said what it is
	// worth.
	assumedWorth = 8000
)

// Run is a generation on the engine that ends.
type Run struct {
	RequestID string
	// Tokens is its memory now.
	Tokens int
	// Remaining is the estimate of what is still to be generated; negative
	// when it is not known.
	Remaining int
	// Worth is what the whole answer is worth, in a unit that all runs share;
	// zero when it is not known.
	Worth int64
}

// Destination is an engine that can take runs.
type Destination struct {
	Address string
	// FreeTokens is the memory that is free now; SpareTokens is what stays free
	// once all runs there have grown.
	FreeTokens  int
	SpareTokens int
	FreeSlots   int
	SameZone    bool
	// Contended says that another engine that ends copies its runs there.
	Contended bool
	// CopyTokensPerSecond is the memory that is copied there in a second within the
	// availability zone; zero when it is not known.
	CopyTokensPerSecond int
	// Assigned is the number of runs that were given to it by this engine.
	Assigned int
}

// Step is a run that moves next.
type Step struct {
	Run         Run
	Destination Destination
}

// Next returns the run that should move next, or false when none should or can.
// The engine ends in leavesInMillis.
func Next(runs []Run, destinations []Destination, leavesInMillis int64) (Step, bool) {
	leaving := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool {
		return r.endsBefore(leavesInMillis)
	})
	var steps []Step
	for _, run := range leaving {
		if destination, ok := chooseDestination(run, destinations, leavesInMillis); ok {
			steps = append(steps, Step{Run: run, Destination: destination})
		}
	}
	if len(steps) == 0 {
		return Step{}, false
	}
	return slices.MinFunc(steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(b.worthPerMilli(), a.worthPerMilli()), cmp.Compare(a.Run.RequestID, b.Run.RequestID))
	}), true
}

// endsBefore reports whether the run probably ends before its engine does.
func (r Run) endsBefore(leavesInMillis int64) bool {
	if r.Remaining < 0 {
		return false
	}
	return int64(r.Remaining)*tokenMillis+endMarginMillis < leavesInMillis
}

// worthPerMilli returns what is saved in each millisecond of the copy, so that short
// copies go first and those to another zone or over a contended link last.
func (s Step) worthPerMilli() float64 {
	worth := s.Run.Worth
	if worth == 0 {
		worth = assumedWorth
	}
	millis := max(s.CopyMillis(), 1)
	if s.Destination.Contended {
		millis *= contendedFactor
	}
	return float64(worth) / float64(millis)
}

// finalTokens returns the memory that the run will take at a destination.
func (r Run) finalTokens() int {
	if r.Remaining < 0 {
		return r.Tokens + assumedRemainingTokens
	}
	return r.Tokens + r.Remaining
}

// chooseDestination returns the best destination among those that the copy reaches in
// time and that have room for it.
func chooseDestination(run Run, destinations []Destination, leavesInMillis int64) (Destination, bool) {
	best, found := Destination{}, false
	for _, d := range destinations {
		if d.FreeSlots < 1 || d.FreeTokens < run.Tokens+copyMarginTokens || d.SpareTokens < run.finalTokens()+reserveTokens {
			continue
		}
		if (Step{Run: run, Destination: d}).CopyMillis() > leavesInMillis {
			continue
		}
		if !found || d.betterThan(best) {
			best, found = d, true
		}
	}
	return best, found
}

// betterThan reports whether a run should rather go to d. A link that another
// engine's copies use delays both, and a copy to another zone takes twice as
// long; among equals the room decides.
func (d Destination) betterThan(other Destination) bool {
	if d.Contended != other.Contended {
		return !d.Contended
	}
	if d.SameZone != other.SameZone {
		return d.SameZone
	}
	return d.SpareTokens-assignedRunPenaltyTokens*d.Assigned > other.SpareTokens-assignedRunPenaltyTokens*other.Assigned
}

// CopyMillis estimates the time in which the run's memory is copied.
func (s Step) CopyMillis() int64 {
	perSecond := linkShare * float64(s.Destination.CopyTokensPerSecond)
	if perSecond == 0 {
		perSecond = assumedCopyTokensPerSecond
	}
	millis := int64(float64(s.Run.Tokens) / perSecond * millisPerSecond)
	if !s.Destination.SameZone {
		millis *= otherZoneFactor
	}
	return millis
}

// CanPreCopy reports whether there is time to copy the run before it is
// stopped, so that it pauses only for the last part.
func (s Step) CanPreCopy(leavesInMillis int64) bool {
	const lastPartMillis = 60
	return s.CopyMillis()+lastPartMillis < leavesInMillis
}

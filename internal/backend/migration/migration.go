// Package migration decides which running generations (runs) to migrate from an
// engine that is about to shut down (a leaving engine), in which order, and to which
// engines. Next returns one migration at a time. The package does no I/O and reads
// no clock.
package migration

import (
	"cmp"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/memoryforecast"
)

const (
	millisPerSecond = 1000
	// tokenMillis is the assumed time in which an engine generates one token of a
	// run.
	tokenMillis = 11
	// endMarginMillis is the least time between the estimated end of a run that
	// is not migrated and the shutdown of its engine.
	endMarginMillis = 500
	// assumedCopyTokensPerSecond is the copy rate within an availability zone
	// that is assumed when no entry host reported one.
	assumedCopyTokensPerSecond = 16_000
	// linkShare is the share of a link's rate that a copy reaches.
	linkShare = 0.9
	// otherZoneFactor is how many times longer a copy to another availability
	// zone takes.
	otherZoneFactor = 2
	// contendedFactor is how many times longer a copy takes that shares its link
	// with the copies of another engine.
	contendedFactor = 2
	// assumedRemainingTokens is the assumed remaining output of a run for which
	// no entry host reported an estimate.
	assumedRemainingTokens = 500
	// assignedRunPenaltyTokens is subtracted from the spare tokens of a
	// destination for each run assigned to it before, when destinations are
	// compared, as the copies of these runs queue there.
	assignedRunPenaltyTokens = 2000
	// copyMarginTokens is the memory that a destination must have free beyond
	// that of the copy.
	copyMarginTokens = 200
	// assumedWorth is the worth of a run for which no entry host reported one.
	assumedWorth = 8000
	// clearlyLaterPercent is the difference in LatePercent from which a destination in another zone
	// is preferred to one in the same zone. Smaller differences may be errors of the estimates.
	clearlyLaterPercent = 10
	// maxLatePercent is the highest valid LatePercent. It is assumed for a destination with
	// LongPauses that states no probability.
	maxLatePercent = 100
)

// Run is a generation on the engine that is about to shut down.
type Run struct {
	RequestID string
	// Tokens is the memory that the run takes now.
	Tokens int
	// Produced is the number of tokens that were generated.
	Produced int
	// Remaining is the estimated number of tokens still to be generated;
	// negative when there is no estimate.
	Remaining int
	// Worth is the value of the whole answer, in a unit that all runs share; zero
	// when it is not known.
	Worth int64
}

// Destination is an engine that runs can be migrated to.
type Destination struct {
	Address string
	// FreeTokens is the memory that is free now. SpareTokens is the memory that
	// stays free once all runs there have grown to their expected size.
	FreeTokens  int
	SpareTokens int
	FreeSlots   int
	// SameZone says that the destination is in the availability zone of the
	// leaving engine.
	SameZone bool
	// Contended says that another leaving engine also copies its runs there.
	Contended bool
	// LongPauses says that the pauses that are forecast for the streams there exceed their
	// limit.
	LongPauses bool
	// LatePercent is the probability that a pause of a stream there exceeds its limit, in
	// percent; zero when it is not known, or none.
	LatePercent int
	// Busy says that another engine is copying a run there now.
	Busy bool
	// CopyTokensPerSecond is the copy rate within the availability zone; zero
	// when it is not known.
	CopyTokensPerSecond int
	// Assigned is the number of runs that were assigned to the destination since
	// the leaving engine announced its shutdown.
	Assigned int
}

// Step is the migration of one run to one destination.
type Step struct {
	Run         Run
	Destination Destination
	// LastResort says that the destination has the memory for the run now, but not for all
	// that it is forecast to need until the run ends.
	LastResort bool
}

// Next returns the migration to carry out next, or false when no run needs to be
// migrated or none can be. The argument leavesInMillis is the time until the engine
// shuts down.
//
// It answers the load of engines that shut down while the memory of the others is nearly
// full: a run that no destination has room for is migrated as a last resort to one that has
// the memory for it now. A run that ends with its engine costs the caller the whole answer, one
// that is preempted later only a pause.
func Next(runs []Run, destinations []Destination, leavesInMillis int64) (Step, bool) {
	toMigrate := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool {
		return r.endsBefore(leavesInMillis)
	})
	steps := stepsFor(toMigrate, destinations, leavesInMillis, false)
	if len(steps) == 0 {
		steps = stepsFor(toMigrate, destinations, leavesInMillis, true)
	}
	if len(steps) == 0 {
		return Step{}, false
	}
	return slices.MinFunc(steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(b.worthPerMilli(), a.worthPerMilli()), cmp.Compare(a.Run.RequestID, b.Run.RequestID))
	}), true
}

// endsBefore reports whether the run is expected to end at least endMarginMillis
// before its engine shuts down in leavesInMillis.
func (r Run) endsBefore(leavesInMillis int64) bool {
	if r.Remaining < 0 {
		return false
	}
	return int64(r.Remaining)*tokenMillis+endMarginMillis < leavesInMillis
}

// worthPerMilli returns the worth that each millisecond of the copy saves. The run
// with the highest value is migrated first, so short copies come early, and copies
// to another zone or over a contended link come late.
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

// NeededTokens returns the spare memory that a destination must have for the run.
func (r Run) NeededTokens() int {
	remaining := r.Remaining
	if remaining < 0 {
		remaining = assumedRemainingTokens
	}
	return r.Tokens + min(remaining, memoryforecast.MaxGrowthTokens)
}

// stepsFor returns the migration of each run to the best destination among those that have the
// free capacity for it and to which the copy completes in time. As a last resort, a destination
// needs the memory only that the run takes now, and the run must be worth it.
func stepsFor(runs []Run, destinations []Destination, leavesInMillis int64, lastResort bool) []Step {
	var steps []Step
	for _, run := range runs {
		if lastResort && !run.halfDone() {
			continue
		}
		fit := slices.DeleteFunc(slices.Clone(destinations), func(d Destination) bool {
			return d.obstacle(run, leavesInMillis, lastResort) != NoObstacle
		})
		if destination, ok := best(fit); ok {
			steps = append(steps, Step{Run: run, Destination: destination, LastResort: lastResort})
		}
	}
	return steps
}

// halfDone reports whether most of the output was generated. Such a run needs the memory of
// another engine for a shorter time than the new request that it takes it from.
func (r Run) halfDone() bool {
	return r.Remaining >= 0 && r.Remaining <= r.Produced
}

// best returns the best of the destinations, or false when there is none.
func best(destinations []Destination) (Destination, bool) {
	if len(destinations) == 0 {
		return Destination{}, false
	}
	leastLate := leastLatePercent(destinations)
	first := destinations[0]
	for _, d := range destinations[1:] {
		if d.betterThan(first, leastLate) {
			first = d
		}
	}
	return first, true
}

// leastLatePercent returns the lowest probability of late streams of the destinations without
// contention.
func leastLatePercent(destinations []Destination) int {
	least := maxLatePercent
	for _, d := range destinations {
		if !d.Contended {
			least = min(least, d.latePercent())
		}
	}
	return least
}

// latePercent returns the probability of late streams. An entry host of an earlier version only tells
// whether it is high. An invalid value counts as none.
func (d Destination) latePercent() int {
	switch {
	case d.LatePercent > 0 && d.LatePercent <= maxLatePercent:
		return d.LatePercent
	case d.LongPauses:
		return maxLatePercent
	default:
		return 0
	}
}

// betterThan reports whether d is a better destination than other. A destination
// without contention is preferred, as copies over a shared link delay each other, and
// among these one at which streams are not clearly more often late than leastLate, as long pauses
// last until the stream ends. The comparison with the least keeps the order free of cycles.
// Next comes one in the same zone, as a copy to another zone takes twice as long,
// and then the one with more spare memory.
func (d Destination) betterThan(other Destination, leastLate int) bool {
	if d.Contended != other.Contended {
		return !d.Contended
	}
	late := d.latePercent() >= leastLate+clearlyLaterPercent
	otherLate := other.latePercent() >= leastLate+clearlyLaterPercent
	if !d.Contended && late != otherLate {
		return otherLate
	}
	if d.SameZone != other.SameZone {
		return d.SameZone
	}
	return d.SpareTokens-assignedRunPenaltyTokens*d.Assigned > other.SpareTokens-assignedRunPenaltyTokens*other.Assigned
}

// CopyMillis estimates the time that it takes to copy the run's memory.
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

// CanPreCopy reports whether there is time to copy the run's memory while it still
// runs, so that it pauses only for the copy of what was generated meanwhile.
func (s Step) CanPreCopy(leavesInMillis int64) bool {
	// lastPartMillis is the time for the copy of what was generated meanwhile.
	const lastPartMillis = 60
	return s.CopyMillis()+lastPartMillis < leavesInMillis
}

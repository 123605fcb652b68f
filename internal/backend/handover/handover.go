// Package handover decides which running generations leave an engine that ends
// soon, in which order, and where to. It has no I/O and reads no clock.
package handover

import (
	"cmp"
	"slices"
)

const (
	// tokenMillis is the time in which an engine generates one token of a run.
	tokenMillis = 11
	// endMarginMillis is kept free between the estimated end of a run that
	// stays and the end of its engine.
	endMarginMillis = 500
	// copyTokensPerMilli is how much memory is copied in a millisecond within
	// an availability zone.
	copyTokensPerMilli = 16
	// otherZoneFactor is how much longer a copy to another zone takes.
	otherZoneFactor = 2
	// guessedRemaining is assumed of a run of which no entry host said how much
	// is still to be generated.
	guessedRemaining = 500
	// otherZoneTokens is the free memory that an engine in the own zone may
	// lack compared with one in another zone.
	otherZoneTokens = 20_000
	// contendedTokens is the free memory that an engine may lack compared with
	// one to which another engine that ends copies its runs.
	contendedTokens = 25_000
	// assignedTokens weighs each run that was given to an engine shortly
	// before, in free tokens, as its copies queue there.
	assignedTokens = 2000
)

// Run is a generation on the engine that ends.
type Run struct {
	RequestID string
	// Tokens is its memory now.
	Tokens int
	// Remaining is the estimate of what is still to be generated; negative
	// when it is not known.
	Remaining int
}

// Destination is an engine that can take runs.
type Destination struct {
	Address    string
	FreeTokens int
	FreeSlots  int
	SameZone   bool
	// Contended says that another engine that ends copies its runs there.
	Contended bool
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
	slices.SortFunc(leaving, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.RequestID, b.RequestID))
	})
	for _, run := range leaving {
		if destination, ok := choose(run, destinations, leavesInMillis); ok {
			return Step{Run: run, Destination: destination}, true
		}
	}
	return Step{}, false
}

// endsBefore reports whether the run probably ends before its engine does.
func (r Run) endsBefore(leavesInMillis int64) bool {
	if r.Remaining < 0 {
		return false
	}
	return int64(r.Remaining)*tokenMillis+endMarginMillis < leavesInMillis
}

// need returns the memory that the run will take at a destination.
func (r Run) need() int {
	if r.Remaining < 0 {
		return r.Tokens + guessedRemaining
	}
	return r.Tokens + r.Remaining
}

// choose returns the destination with the most room, with the own zone
// preferred, among those that the copy reaches in time.
func choose(run Run, destinations []Destination, leavesInMillis int64) (Destination, bool) {
	best, found := Destination{}, false
	for _, d := range destinations {
		if d.FreeSlots < 1 || d.FreeTokens < run.need() {
			continue
		}
		if (Step{Run: run, Destination: d}).CopyMillis() > leavesInMillis {
			continue
		}
		if !found || d.room() > best.room() {
			best, found = d, true
		}
	}
	return best, found
}

// room returns the free memory of a destination, less what makes it a worse
// choice.
func (d Destination) room() int {
	room := d.FreeTokens - assignedTokens*d.Assigned
	if !d.SameZone {
		room -= otherZoneTokens
	}
	if d.Contended {
		room -= contendedTokens
	}
	return room
}

// CopyMillis estimates the time in which the run's memory is copied.
func (s Step) CopyMillis() int64 {
	millis := int64(s.Run.Tokens / copyTokensPerMilli)
	if !s.Destination.SameZone {
		millis *= otherZoneFactor
	}
	return millis
}

// CopiesAhead reports whether there is time to copy the run before it is
// stopped, so that it pauses only for the last part.
func (s Step) CopiesAhead(leavesInMillis int64) bool {
	const lastPartMillis = 60
	return s.CopyMillis()+lastPartMillis < leavesInMillis
}

// Package answertime estimates quantiles of recent answer times. Window holds the times of a
// sliding window in slices, of which the oldest is dropped when a new one begins; its owner decides
// when that is. The package does no I/O and reads no clock.
package answertime

import "github.com/HdrHistogram/hdrhistogram-go"

// significantFigures is the number of decimal digits kept.
const significantFigures = 2

// Window holds answer times in the unit of its owner. It is not safe for concurrent use.
type Window struct {
	// slices is a ring, and newest the index of the current slice.
	slices []slice
	newest int
	// longest is the longest time that is recorded.
	longest int64
}

// slice holds the times of one slice.
type slice struct {
	// answers is the number of complete answers.
	answers int
	// times is nil until the first one.
	times *hdrhistogram.Histogram
}

// New returns a window of that many slices. Times beyond the longest are recorded as that one.
func New(slices int, longest int64) *Window {
	return &Window{slices: make([]slice, slices), longest: longest}
}

// Record records a time in the current slice. Complete says that it is that of a complete answer.
func (w *Window) Record(time int64, complete bool) {
	s := &w.slices[w.newest]
	if s.times == nil {
		s.times = w.newHistogram()
	}
	// RecordValue fails only for a value out of range, which this one is not.
	_ = s.times.RecordValue(min(max(time, 1), w.longest))
	if complete {
		s.answers++
	}
}

// Advance begins that many slices, of which all but the last stay empty.
func (w *Window) Advance(count int64) {
	for range min(count, int64(len(w.slices))) {
		w.newest = (w.newest + 1) % len(w.slices)
		s := &w.slices[w.newest]
		s.answers = 0
		if s.times != nil {
			s.times.Reset()
		}
	}
}

// Answers returns the number of complete answers.
func (w *Window) Answers() int {
	sum := 0
	for _, s := range w.slices {
		sum += s.answers
	}
	return sum
}

// Quantile returns the time that the given percentage of the times do not exceed. It merges all
// slices, so callers keep the result for a while.
func (w *Window) Quantile(percent float64) int64 {
	merged := w.newHistogram()
	for _, s := range w.slices {
		if s.times != nil {
			merged.Merge(s.times)
		}
	}
	return merged.ValueAtQuantile(percent)
}

func (w *Window) newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, w.longest, significantFigures)
}

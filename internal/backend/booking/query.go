package booking

import (
	"slices"
	"time"
)

// Load is the state of an engine as its load reports carry it.
type Load struct {
	// Running counts the generations on the engine.
	Running int
	// Waiting counts the requests in the queue.
	Waiting int
	// MemoryPermille is the share of memory in use.
	MemoryPermille int
	// ForecastPermille is the share of memory that the running generations are
	// forecast to reach. May be above 1000.
	ForecastPermille int
}

// Load returns the current load.
func (b *Book) Load() Load {
	f := b.Forecast()
	return Load{
		Running:          len(b.running),
		Waiting:          len(b.waiting),
		MemoryPermille:   f.NowTokens * 1000 / b.CapacityTokens,
		ForecastPermille: f.PeakTokens * 1000 / b.CapacityTokens,
	}
}

// Forecast returns the forecast of the running generations.
func (b *Book) Forecast() Forecast {
	return b.forecast(b.profiles().all, true)
}

// Excess returns how many generations run beyond the engine's batch. As many
// have to be pushed aside.
func (b *Book) Excess() int {
	return max(0, len(b.running)-b.BatchLimit)
}

// Running returns the running generations, the earliest first.
func (b *Book) Running() []Running {
	out := make([]Running, 0, len(b.running))
	for _, r := range b.running {
		out = append(out, *r)
	}
	return out
}

// Waiting returns the queue, the next to start first.
func (b *Book) Waiting(now time.Time) []Waiting {
	sorted := slices.SortedFunc(slices.Values(b.waiting), func(first, second *Waiting) int {
		return b.order(first, second, now)
	})
	out := make([]Waiting, 0, len(sorted))
	for _, w := range sorted {
		out = append(out, *w)
	}
	return out
}

// Position returns the place of a waiting request, from 1, and when it is
// expected to start.
func (b *Book) Position(id string, now time.Time) (position int, startAt time.Time, ok bool) {
	for _, w := range b.waiting {
		if w.RequestID == id {
			p := b.placeOf(w, now)
			return p.ahead + 1, b.startAt(p.ahead, now), true
		}
	}
	return 0, time.Time{}, false
}

// holds tells whether a request is running or waiting.
func (b *Book) holds(id string) bool {
	if _, ok := b.byID[id]; ok {
		return true
	}
	return slices.ContainsFunc(b.waiting, func(w *Waiting) bool {
		return w.RequestID == id
	})
}

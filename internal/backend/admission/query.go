package admission

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
func (c *Controller) Load() Load {
	f := c.Forecast()
	return Load{
		Running:          len(c.running),
		Waiting:          len(c.waiting),
		MemoryPermille:   f.NowTokens * 1000 / c.CapacityTokens,
		ForecastPermille: f.PeakTokens * 1000 / c.CapacityTokens,
	}
}

// Forecast returns the forecast of the running generations.
func (c *Controller) Forecast() Forecast {
	return c.forecast(c.profiles().all, true)
}

// Excess returns how many generations run beyond the engine's batch. As many
// have to be pushed aside.
func (c *Controller) Excess() int {
	return max(0, len(c.running)-c.BatchLimit)
}

// Running returns the running generations, the earliest first.
func (c *Controller) Running() []Running {
	out := make([]Running, 0, len(c.running))
	for _, r := range c.running {
		out = append(out, *r)
	}
	return out
}

// Waiting returns the queue, the next to start first.
func (c *Controller) Waiting(now time.Time) []Waiting {
	sorted := slices.SortedFunc(slices.Values(c.waiting), func(first, second *Waiting) int {
		return c.order(first, second, now)
	})
	out := make([]Waiting, 0, len(sorted))
	for _, w := range sorted {
		out = append(out, *w)
	}
	return out
}

// Position returns the place of a waiting request, from 1, and when it is
// expected to start.
func (c *Controller) Position(id string, now time.Time) (position int, startAt time.Time, ok bool) {
	for _, w := range c.waiting {
		if w.RequestID == id {
			p := c.queuePositionOf(w, now)
			return p.ahead + 1, c.startAt(p.ahead, now), true
		}
	}
	return 0, time.Time{}, false
}

// holds tells whether a request is running or waiting.
func (c *Controller) holds(id string) bool {
	if _, ok := c.byID[id]; ok {
		return true
	}
	return slices.ContainsFunc(c.waiting, func(w *Waiting) bool {
		return w.RequestID == id
	})
}

package admission

import (
	"slices"
	"time"
)

// Load is the load of an engine as sent in load reports.
type Load struct {
	// Running is the number of running generations.
	Running int
	// Waiting is the number of requests in the queue.
	Waiting int
	// MemoryPermille is the share of memory in use, in thousandths.
	MemoryPermille int
	// ForecastPermille is the share of memory that the running generations are
	// forecast to use at the peak, in thousandths. It may exceed 1000.
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

// Forecast returns the memory forecast of the running generations.
func (c *Controller) Forecast() Forecast {
	return c.forecast(c.profiles().all, true)
}

// Excess returns how many generations run beyond the batch limit of the engine.
// That many have to be preempted.
func (c *Controller) Excess() int {
	return max(0, len(c.running)-c.BatchLimit)
}

// Running returns the running generations in the order in which they started.
func (c *Controller) Running() []Running {
	out := make([]Running, 0, len(c.running))
	for _, r := range c.running {
		out = append(out, *r)
	}
	return out
}

// Waiting returns the queued requests in the order in which they are to start.
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

// Position returns the position of a waiting request in the queue, counted from 1,
// and its expected start time.
func (c *Controller) Position(id string, now time.Time) (position int, startAt time.Time, ok bool) {
	for _, w := range c.waiting {
		if w.RequestID == id {
			p := c.queuePositionOf(w, now)
			return p.ahead + 1, c.startAt(p.ahead, now), true
		}
	}
	return 0, time.Time{}, false
}

// holds reports whether a request is running or waiting.
func (c *Controller) holds(id string) bool {
	if _, ok := c.byID[id]; ok {
		return true
	}
	return slices.ContainsFunc(c.waiting, func(w *Waiting) bool {
		return w.RequestID == id
	})
}

package admission

import (
	"cmp"
	"math/bits"
	"time"
)

const (
	// agingMillis is the wait that raises a request by one priority.
	agingMillis = 20_000
	// overtakeDepth is how far behind the first request in the queue another
	// may be that starts first because it fits.
	overtakeDepth = 4
	// overtakeLimit is how often one request may be overtaken.
	overtakeLimit = 16
	// wholeQueueFactor bounds the whole queue, in units of the policy's limit.
	wholeQueueFactor = 4
	// accountQueueDivisor is the part of the limit that one account may hold.
	accountQueueDivisor = 2
	// expectedQuantile is the quantile of the length by which requests are
	// ordered.
	expectedQuantile = 0.8
	// bitsPerRank is the binary digits of the expected length that cost one
	// priority: an answer four times as long starts later by one.
	bitsPerRank = 2
)

// order compares two waiting requests; the negative one starts first.
func (c *Controller) order(first, second *Waiting, now time.Time) int {
	if first.Urgent != second.Urgent {
		if first.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(second.rank(now), first.rank(now)),
		cmp.Compare(c.usage.of(first.Account), c.usage.of(second.Account)),
		first.QueuedAt.Compare(second.QueuedAt),
		cmp.Compare(first.RequestID, second.RequestID),
	)
}

// rank is the priority of a request, raised with the time it has waited and
// lowered with the length that is expected.
func (w *Waiting) rank(now time.Time) int {
	raised := int(now.Sub(w.QueuedAt).Milliseconds() / agingMillis)
	return w.Priority + raised - bits.Len(uint(w.ExpectedTokens))/bitsPerRank
}

// queuePosition is what stands before a request in the queue.
type queuePosition struct {
	// ahead counts the waiting requests that start before it.
	ahead int
	// ofAccount counts those of the same client account.
	ofAccount int
}

// queuePositionOf returns the place of a request in the queue.
func (c *Controller) queuePositionOf(w *Waiting, now time.Time) queuePosition {
	p := queuePosition{}
	for _, other := range c.waiting {
		if other == w || c.order(other, w, now) > 0 {
			continue
		}
		p.ahead++
		if other.Account == w.Account {
			p.ofAccount++
		}
	}
	return p
}

// checkQueueSpace tells whether a request may wait at its place, and why not. Those that
// start after it do not count, so that long requests cannot keep short or urgent
// ones out.
func (c *Controller) checkQueueSpace(w *Waiting, p queuePosition) (Reason, bool) {
	limit := c.Policy.QueueLimit
	switch {
	case p.ahead >= limit || len(c.waiting) >= limit*wholeQueueFactor:
		return ReasonQueueFull, false
	case !w.Urgent && p.ofAccount >= max(1, limit/accountQueueDivisor):
		return ReasonAccountLimit, false
	default:
		return 0, true
	}
}

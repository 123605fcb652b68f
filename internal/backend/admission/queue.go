package admission

import (
	"cmp"
	"math/bits"
	"time"
)

const (
	// agingMillis is the waiting time that raises the rank of a request by one.
	agingMillis = 20_000
	// overtakeDepth is how far behind the head of the queue a request may be that
	// starts before it because it fits.
	overtakeDepth = 4
	// overtakeLimit is how many times one request may be overtaken.
	overtakeLimit = 16
	// wholeQueueFactor is the maximum length of the whole queue, as a multiple of
	// the policy's QueueLimit.
	wholeQueueFactor = 4
	// accountQueueDivisor limits the requests of one account in the queue: a
	// request is queued only if fewer requests of its account than QueueLimit
	// divided by it start before the request. The limit is at least 1.
	accountQueueDivisor = 2
	// expectedQuantile is the quantile of the predicted answer length by which
	// requests are ranked.
	expectedQuantile = 0.8
	// bitsPerRank is the number of binary digits of the expected length that lower
	// the rank by one: an answer four times as long ranks one lower.
	bitsPerRank = 2
)

// order compares two waiting requests. It is negative when first starts before
// second.
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

// rank returns the priority of a request, raised with its waiting time and lowered
// with its expected length.
func (w *Waiting) rank(now time.Time) int {
	raised := int(now.Sub(w.QueuedAt).Milliseconds() / agingMillis)
	return w.Priority + raised - bits.Len(uint(w.ExpectedTokens))/bitsPerRank
}

// queuePosition counts the requests ahead of a request in the queue.
type queuePosition struct {
	// ahead is the number of waiting requests that start before it.
	ahead int
	// ofAccount is the number of these that belong to the same client account.
	ofAccount int
}

// queuePositionOf returns the position of a request in the queue.
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

// checkQueueSpace reports whether a request may wait at its position, and if not,
// why. Apart from the bound on the whole queue, requests that start after it do
// not count, so that long requests do not keep short or urgent ones out.
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

package booking

import (
	"cmp"
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
	// urgentQueueDivisor is the part of the queue's length that is added for
	// urgent requests.
	urgentQueueDivisor = 4
	// accountQueueDivisor is the part of the queue that one account may hold.
	accountQueueDivisor = 2
)

// order compares two waiting requests; the negative one starts first.
func (b *Book) order(first, second *Waiting, now time.Time) int {
	if first.Urgent != second.Urgent {
		if first.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(second.rank(now), first.rank(now)),
		cmp.Compare(b.ledger.at(first.Account), b.ledger.at(second.Account)),
		first.QueuedAt.Compare(second.QueuedAt),
		cmp.Compare(first.RequestID, second.RequestID),
	)
}

// rank is the priority of a request, raised with the time it has waited.
func (w *Waiting) rank(now time.Time) int {
	return w.Priority + int(now.Sub(w.QueuedAt).Milliseconds()/agingMillis)
}

// ahead counts the waiting requests that start before w.
func (b *Book) ahead(w *Waiting, now time.Time) int {
	count := 0
	for _, other := range b.waiting {
		if other != w && b.order(other, w, now) < 0 {
			count++
		}
	}
	return count
}

// room tells whether the queue has a place for the request, and why not.
func (b *Book) room(r Request) (Reason, bool) {
	limit := b.Policy.QueueLimit
	if r.Urgent {
		limit += limit / urgentQueueDivisor
	}
	if len(b.waiting) >= limit {
		return ReasonQueueFull, false
	}
	if r.Urgent {
		return 0, true
	}
	if b.heldBy(r.Account) >= max(1, b.Policy.QueueLimit/accountQueueDivisor) {
		return ReasonAccountLimit, false
	}
	return 0, true
}

// heldBy counts the places in the queue that an account holds.
func (b *Book) heldBy(account string) int {
	count := 0
	for _, w := range b.waiting {
		if w.Account == account {
			count++
		}
	}
	return count
}

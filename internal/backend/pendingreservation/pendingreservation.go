// Package pendingreservation keeps memory of an engine for the urgent requests that it had no
// memory for. It answers the load of long generations and short, urgent ones on engines whose
// memory is nearly full: small amounts of memory become free one after the other, and without a
// pending reservation they go to any request that they suffice for, never to a large urgent one.
// The package does no I/O and reads no clock.
package pendingreservation

import (
	"cmp"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// holdMillis is the time for which memory is kept for a request after it was refused. Its
	// entry host asks again before, unless the request or the host is gone.
	holdMillis = 300
	// maxPending bounds the requests that memory is kept for, so that an engine does not stay
	// idle for them.
	maxPending = 4
)

// Request is a request that an engine had no memory for.
type Request struct {
	ID string
	// Priority is the request's priority in an engine's queue; zero is the most urgent.
	Priority int
	// Tokens is the memory that the request needs.
	Tokens int
}

// Queue holds the pending reservations of one engine. The zero value is ready to use. It is not
// safe for concurrent use.
type Queue struct {
	// pending holds at most maxPending requests, the most urgent first and, among equals, in the
	// order of their first refusal.
	pending []entry
}

type entry struct {
	request   Request
	expiresAt boottime.Instant
}

// Add keeps memory for a request that was refused. It is dropped if more urgent ones fill the
// queue.
func (q *Queue) Add(request Request, now boottime.Instant) {
	e := entry{request: request, expiresAt: now.AddMillis(holdMillis)}
	if at := q.index(request.ID); at >= 0 {
		q.pending[at] = e
		return
	}
	q.prune(now)
	at, _ := slices.BinarySearchFunc(q.pending, e, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), -1)
	})
	q.pending = slices.Insert(q.pending, at, e)
	q.pending = q.pending[:min(len(q.pending), maxPending)]
}

// Remove ends the reservation of a request that was granted its memory.
func (q *Queue) Remove(id string) {
	if at := q.index(id); at >= 0 {
		q.pending = slices.Delete(q.pending, at, at+1)
	}
}

// Clear ends all reservations.
func (q *Queue) Clear() {
	q.pending = nil
}

// TokensAhead returns the memory that is kept for requests that are more urgent than one of the
// given priority.
func (q *Queue) TokensAhead(priority int, now boottime.Instant) int {
	total := 0
	for _, e := range q.pending {
		if e.request.Priority < priority && now.Before(e.expiresAt) {
			total += e.request.Tokens
		}
	}
	return total
}

func (q *Queue) prune(now boottime.Instant) {
	q.pending = slices.DeleteFunc(q.pending, func(e entry) bool { return !now.Before(e.expiresAt) })
}

func (q *Queue) index(id string) int {
	return slices.IndexFunc(q.pending, func(e entry) bool { return e.request.ID == id })
}

package placement

import (
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

// heldBack describes the servers that a request is not placed at because of their rate
// limits or of pauses that they asked for. It is immutable.
type heldBack struct {
	// servers is their number.
	servers int
	// until is the time at which the first of them accepts a request again.
	until boottime.Instant
	// superseded is the number of servers whose address another one has. The discovery list
	// will name those that replace them.
	superseded int
}

// with returns the description with one more server.
func (h heldBack) with(until boottime.Instant) heldBack {
	if h.servers == 0 || until.Before(h.until) {
		h.until = until
	}
	h.servers++
	return h
}

// placement returns the result for a request that has no other server. A request that can
// still be on time then waits like one without room.
func (h heldBack) placement(request Request) Placement {
	if h.servers == 0 && h.superseded > 0 && request.RoomOnly {
		return Placement{NoRoom: true, Lacking: map[Lack]int{LacksReport: h.superseded}}
	}
	if h.servers == 0 {
		return Placement{}
	}
	if request.RoomOnly && h.until.Before(request.StartBy) {
		return Placement{NoRoom: true, Lacking: map[Lack]int{LacksRate: h.servers}}
	}
	return Placement{LimitedUntil: h.until}
}

// accepting returns the servers that may get the request now with their load, and describes those
// of the others that will accept one later and that the request was not sent to yet. The candidates
// are valid until the next call. The caller holds the mutex.
func (l *LoadTable) accepting(ready []discovery.BackendServer, request *Request, now boottime.Instant) ([]Candidate, heldBack) {
	for i := range ready {
		l.ServerLimits.SetCold(ready[i].ID, ready[i].WarmAt, now)
	}
	held := l.ServerLimits.Held(now)
	statuses := l.Pauses.AppendStatuses(l.scratch.statuses[:0], ready, now)
	candidates := slices.Grow(l.scratch.candidates[:0], len(ready))
	l.scratch.statuses, l.scratch.candidates = statuses, candidates
	var back heldBack
	for i := range ready {
		server := &ready[i]
		until := max(statuses[i].PausedUntil, held[server.ID])
		switch {
		case statuses[i].Closed:
		case now.Before(l.superseded[server.ID]):
			back.superseded++
		case until == 0:
			if request.Hedge && l.ServerLimits.NamesLimit(server.ID) {
				continue
			}
			next := candidates[:len(candidates)+1]
			c := &next[len(candidates)]
			l.setCandidate(c, server, l.serverAt(i, server.ID), statuses[i], request, now)
			if !request.Hedge || c.takesHedge() {
				candidates = next
			}
		case !request.Tried[server.ID]:
			back = back.with(until)
		}
	}
	return candidates, back
}

// withoutLimits returns the servers without a rate limit, or all of them if each has one.
func (l *LoadTable) withoutLimits(ready []discovery.BackendServer) []discovery.BackendServer {
	free := make([]discovery.BackendServer, 0, len(ready))
	for _, server := range ready {
		if !l.ServerLimits.NamesLimit(server.ID) {
			free = append(free, server)
		}
	}
	if len(free) == 0 {
		return ready
	}
	return free
}

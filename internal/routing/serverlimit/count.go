package serverlimit

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// peer is what another host has stated of a server. It is immutable.
type peer struct {
	sent count
	// heardAt is the time of its newest statement.
	heardAt boottime.Instant
}

// count is a number of requests. It is immutable.
type count struct {
	// since is the time at which the host began to count, by its own clock.
	since boottime.Instant
	// requests never falls.
	requests uint64
}

// newSince returns the requests that a count has beyond an earlier one of the same host.
// There are none when the host has begun to count anew.
func (c count) newSince(earlier count) uint64 {
	if c.since != earlier.since || c.requests < earlier.requests {
		return 0
	}
	return c.requests - earlier.requests
}

// before reports whether c is older than other, which is of the same host.
func (c count) before(other count) bool {
	if c.since != other.since {
		return c.since < other.since
	}
	return c.requests < other.requests
}

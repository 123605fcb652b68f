package heldbytes

import (
	"math"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// Part is a part of a message that is received and must be held until it is complete.
type Part int

// Parts of messages.
const (
	// Head is the head of an answer, or several one after the other.
	Head Part = iota
	// Event is an event of a stream.
	Event
	// Body is a body that is read whole.
	Body
	// Report is a body of a service of the platform, which is decoded into a larger structure.
	Report
	// Message is a message of another process of this system.
	Message
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// learntFactor is how much larger than the largest complete part of its kind a part may well be.
const learntFactor = 2

// usualBytes returns the size that a part may well have, if the largest complete one of its kind had the
// given size; zero if there was none.
func (p Part) usualBytes(largest int64) int64 {
	switch {
	case p == Head:
		return max(16*kilobyte, learntFactor*largest)
	case p == Report:
		return max(4*megabyte, learntFactor*largest)
	case p == Message:
		return max(megabyte, learntFactor*largest)
	case p == Body && largest == 0:
		return math.MaxInt64 // any size, as nothing is known of the route's answers
	default:
		return max(64*kilobyte, learntFactor*largest)
	}
}

// Piece is a part that is being received. It is immutable.
type Piece struct {
	// Bytes is the memory that it takes, with what it needs to grow.
	Bytes int64
	// UsualBytes is a size that it may well have, by those that were complete before.
	UsualBytes int64
	// Declared says that its length was named beforehand, so that it ends.
	Declared bool
	// BegunAt is the time of its first byte.
	BegunAt boottime.Instant
}

// isUnusual reports whether the piece is larger than is usual.
func (p Piece) isUnusual() bool {
	return p.Bytes > p.UsualBytes
}

// yieldsBefore reports whether a piece gives way before another one, when there is no memory for both.
// One without end exceeds what is usual, or has begun long ago. A piece with a declared length
// yields last; among such the one that has begun last does, so that the others come to their end.
func (p Piece) yieldsBefore(other Piece) bool {
	switch {
	case p.Declared != other.Declared:
		return other.Declared
	case p.Declared:
		return p.BegunAt > other.BegunAt
	case p.isUnusual() != other.isUnusual():
		return p.isUnusual()
	default:
		return p.BegunAt < other.BegunAt
	}
}

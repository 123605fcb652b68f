package heldbytes

import (
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

// usualBytes returns the size that a part may have on each route.
func (p Part) usualBytes() int64 {
	switch p {
	case Head, Event:
		return 16 * kilobyte
	case Report:
		return 4 * megabyte
	case Message:
		return megabyte
	default:
		return megabyte
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

// excess is the ratio of its size to the usual one; at most one if that is not exceeded.
func (p Piece) excess() float64 {
	return float64(p.Bytes) / float64(max(p.UsualBytes, 1))
}

// yieldsBefore reports whether a piece gives way before another one, when there is no memory for both.
// One without end exceeds all that is usual, or has begun long ago. A piece with a declared length
// yields last; among such the one that has begun last does, so that the others come to their end.
func (p Piece) yieldsBefore(other Piece) bool {
	if p.Declared != other.Declared {
		return other.Declared
	}
	if p.Declared {
		return p.BegunAt > other.BegunAt
	}
	excess, otherExcess := p.excess(), other.excess()
	if excess > 1 || otherExcess > 1 {
		return excess > otherExcess
	}
	return p.BegunAt < other.BegunAt
}

// Package permitcheck checks for the owner of a backend server, the process beside
// it, whether a request may run on it. Checker checks the request ID and the permit,
// which names the only incarnation (run of an owner process) that may run a
// non-idempotent request, and records refusals. Clients counts the connected entry
// hosts.
package permitcheck

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// RetryMillis is the delay after which it is useful to retry a refused request on
// another backend server.
const RetryMillis = 500

// unreadGraceSeconds is how long an unread answer counts as open work after its end.
const unreadGraceSeconds = 15

// Checker checks the requests for one incarnation of a backend server. Its fields
// must be set before use. It is safe for concurrent use.
type Checker struct {
	// Backend is the name of the backend server.
	Backend     string
	Incarnation uint64
	Replay      *replay.Buffer
	// RememberSeconds is how long a request ID is kept, counted from the time in the
	// ID. It must be greater than the key window of the entry hosts, which is the
	// maximum age of an idempotency key that they accept.
	RememberSeconds int
}

// ForgetAt returns the time from which the request ID is rejected as expired. It
// depends only on the ID and RememberSeconds, so each retry gets the same time.
func (c *Checker) ForgetAt(requestID string) (time.Time, *resultcode.Result) {
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, resultcode.New(resultcode.InvalidRequest, "request identity %q is not a UUID of version 7", requestID)
	}
	seconds, nanos := id.Time().UnixTime()
	remembered := time.Duration(c.RememberSeconds) * time.Second
	return time.Unix(seconds, nanos).Add(remembered), nil
}

// Unread returns the number of unread answers that ended less than
// unreadGraceSeconds ago. Answers are kept for holdSeconds after their end.
func (c *Checker) Unread(holdSeconds int, now time.Time) int {
	hold := time.Duration(holdSeconds-unreadGraceSeconds) * time.Second
	return c.Replay.Unread(now.Add(max(0, hold)))
}

// Permits reports whether the permit is for the request and this incarnation.
func (c *Checker) Permits(requestID string, permit *message.Permit) bool {
	return permit.GetRequestId() == requestID &&
		permit.GetBackend() == c.Backend &&
		permit.GetIncarnation() == c.Incarnation
}

// NotOwner returns the refusal of a request without a permit for this incarnation.
func (c *Checker) NotOwner(now time.Time) *resultcode.Result {
	return resultcode.New(resultcode.NotOwner, "the permit names another request or incarnation").
		WithRetryAt(RetryAt(now))
}

// Leaving returns the refusal of an owner that is draining.
func (c *Checker) Leaving(now time.Time) *resultcode.Result {
	return resultcode.New(resultcode.Leaving, "%s is leaving", c.Backend).WithRetryAt(RetryAt(now))
}

// RefusePermanently records that the request will never run here, and returns the
// refusal marked as recorded. If it can't be recorded, RefusePermanently returns a
// refusal without that mark, after which the idempotency key stays bound to this
// incarnation.
func (c *Checker) RefusePermanently(id string, refusal *resultcode.Result, forgetAt time.Time) *resultcode.Result {
	_, held, err := c.Replay.Refuse(id, uint32(refusal.Code), refusal.Reason, forgetAt)
	if err != nil {
		return StartRefusal(err, time.Now())
	}
	if held {
		return resultcode.New(resultcode.OwnerSilent, "the request is held already")
	}
	return refusal.WithRecorded()
}

// StartRefusal converts an error of adding a request to the replay buffer to a
// refusal.
func StartRefusal(err error, now time.Time) *resultcode.Result {
	if errors.Is(err, replay.ErrExpired) {
		return resultcode.New(resultcode.KeyExpired, "the request identity is too old")
	}
	return resultcode.New(resultcode.QueueFull, "%v", err).WithRetryAt(RetryAt(now))
}

// RetryAt returns the time at which a refused request should be retried, see
// RetryMillis.
func RetryAt(now time.Time) time.Time {
	return now.Add(RetryMillis * time.Millisecond)
}

// TimeFromNanos converts a time in nanoseconds since the Unix epoch, as used in
// messages. Zero becomes the zero time.
func TimeFromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// NanosOf converts a time to nanoseconds since the Unix epoch, as used in messages.
// The zero time becomes zero.
func NanosOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

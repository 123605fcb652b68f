// Package permitcheck checks, on behalf of the owner of a backend server, whether a
// request may run here: its identity, its permit, and the record of a refusal.
package permitcheck

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// RetryMillis is when another backend server is worth a try.
const RetryMillis = 500

// unreadGraceSeconds is how long after its end an unread answer counts as open.
const unreadGraceSeconds = 15

// Checker guards one incarnation. Its fields must be set before use; it is safe
// for concurrent use.
type Checker struct {
	// Backend is the name of the backend server.
	Backend     string
	Incarnation uint64
	Replay      *replay.Buffer
	// RememberSeconds is how long a request identity is remembered. It is
	// greater than the entry hosts' key window.
	RememberSeconds int
}

// ForgetAt returns the time from which the request identity is rejected, which
// is a function of the identity alone.
func (c *Checker) ForgetAt(requestID string) (time.Time, *resultcode.Result) {
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, resultcode.New(resultcode.InvalidRequest, "request identity %q is not a UUID of version 7", requestID)
	}
	seconds, nanos := id.Time().UnixTime()
	remembered := time.Duration(c.RememberSeconds) * time.Second
	return time.Unix(seconds, nanos).Add(remembered), nil
}

// Unread counts the answers that ended a moment ago and were not read yet, when
// answers are held for so many seconds.
func (c *Checker) Unread(holdSeconds int, now time.Time) int {
	hold := time.Duration(holdSeconds-unreadGraceSeconds) * time.Second
	return c.Replay.Unread(now.Add(max(0, hold)))
}

// Permits tells whether the permit is for the request and this incarnation.
func (c *Checker) Permits(requestID string, permit *message.Permit) bool {
	return permit.GetRequestId() == requestID &&
		permit.GetBackend() == c.Backend &&
		permit.GetIncarnation() == c.Incarnation
}

// NotOwner is the refusal of a request without a permit for this incarnation.
func (c *Checker) NotOwner(now time.Time) *resultcode.Result {
	return resultcode.New(resultcode.NotOwner, "the permit names another request or incarnation").
		WithRetryAt(RetryAt(now))
}

// Leaving is the refusal of an owner that accepts no new work.
func (c *Checker) Leaving(now time.Time) *resultcode.Result {
	return resultcode.New(resultcode.Leaving, "%s is leaving", c.Backend).WithRetryAt(RetryAt(now))
}

// RefusePermanently records that the request will never run here, and returns the
// refusal as recorded. Where it can't be recorded, the refusal says so little
// that the key stays bound to this incarnation.
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

// StartRefusal maps an identity that can't be held.
func StartRefusal(err error, now time.Time) *resultcode.Result {
	if errors.Is(err, replay.ErrExpired) {
		return resultcode.New(resultcode.KeyExpired, "the request identity is too old")
	}
	return resultcode.New(resultcode.QueueFull, "%v", err).WithRetryAt(RetryAt(now))
}

// RetryAt returns when another backend server is worth a try.
func RetryAt(now time.Time) time.Time {
	return now.Add(RetryMillis * time.Millisecond)
}

// TimeFromNanos converts a time from the wire; zero stays zero.
func TimeFromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// NanosOf converts a time for the wire; zero stays zero.
func NanosOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

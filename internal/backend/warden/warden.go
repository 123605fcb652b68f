// Package warden checks, on behalf of the owner of a backend server, whether a
// request may run here: its identity, its permit, and the record of a refusal.
package warden

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/logbook"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// RetryMillis is when another backend server is worth a try.
const RetryMillis = 500

// unreadGraceSeconds is how long after its end an unread answer counts as open.
const unreadGraceSeconds = 15

// Warden guards one incarnation. Its fields must be set before use; it is safe
// for concurrent use.
type Warden struct {
	// Backend is the name of the backend server.
	Backend     string
	Incarnation uint64
	Logbook     *logbook.Logbook
	// RememberSeconds is how long a request identity is remembered. It is
	// greater than the entry hosts' key window.
	RememberSeconds int
}

// ForgetAt returns the time from which the request identity is rejected, which
// is a function of the identity alone.
func (w *Warden) ForgetAt(requestID string) (time.Time, *receipt.Result) {
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, receipt.New(receipt.InvalidRequest, "request identity %q is not a UUID of version 7", requestID)
	}
	seconds, nanos := id.Time().UnixTime()
	remembered := time.Duration(w.RememberSeconds) * time.Second
	return time.Unix(seconds, nanos).Add(remembered), nil
}

// Unread counts the answers that ended a moment ago and were not read yet, when
// answers are held for so many seconds.
func (w *Warden) Unread(holdSeconds int, now time.Time) int {
	hold := time.Duration(holdSeconds-unreadGraceSeconds) * time.Second
	return w.Logbook.Unread(now.Add(max(0, hold)))
}

// Permits tells whether the permit is for the request and this incarnation.
func (w *Warden) Permits(requestID string, permit *message.Permit) bool {
	return permit.GetRequestId() == requestID &&
		permit.GetBackend() == w.Backend &&
		permit.GetIncarnation() == w.Incarnation
}

// NotOwner is the refusal of a request without a permit for this incarnation.
func (w *Warden) NotOwner(now time.Time) *receipt.Result {
	return receipt.New(receipt.NotOwner, "the permit names another request or incarnation").
		WithRetryAt(RetryAt(now))
}

// Leaving is the refusal of an owner that accepts no new work.
func (w *Warden) Leaving(now time.Time) *receipt.Result {
	return receipt.New(receipt.Leaving, "%s is leaving", w.Backend).WithRetryAt(RetryAt(now))
}

// RefuseForGood records that the request will never run here, and returns the
// refusal as recorded. Where it can't be recorded, the refusal says so little
// that the key stays bound to this incarnation.
func (w *Warden) RefuseForGood(id string, refusal *receipt.Result, forgetAt time.Time) *receipt.Result {
	_, held, err := w.Logbook.Refuse(id, uint32(refusal.Code), refusal.Reason, forgetAt)
	if err != nil {
		return StartRefusal(err, time.Now())
	}
	if held {
		return receipt.New(receipt.OwnerSilent, "the request is held already")
	}
	return refusal.WithRecorded()
}

// StartRefusal maps an identity that can't be held.
func StartRefusal(err error, now time.Time) *receipt.Result {
	if errors.Is(err, logbook.ErrExpired) {
		return receipt.New(receipt.KeyExpired, "the request identity is too old")
	}
	return receipt.New(receipt.QueueFull, "%v", err).WithRetryAt(RetryAt(now))
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

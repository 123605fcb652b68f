package dispatch

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// connectionRefusedMillis is the time for which an owner's address must refuse
// connections before its process counts as ended.
const connectionRefusedMillis = 2000

// ownerTimeout bounds the time for which the entry host tries to reach an owner
// that may be running the request.
type ownerTimeout struct {
	// deadline applies to an owner that does not answer.
	deadline time.Time
	// refusedDeadline applies to an owner whose address refuses connections: no
	// process listens there, so the incarnation has ended. It is zero unless the
	// last connection was refused. It is not immediate because a network device
	// may refuse connections for a moment.
	refusedDeadline time.Time
}

// newOwnerTimeout returns an ownerTimeout that starts now.
func (r *Runner) newOwnerTimeout() ownerTimeout {
	millis := r.OwnerTimeoutMillis
	if millis == 0 {
		millis = defaultOwnerTimeoutMillis
	}
	return ownerTimeout{deadline: time.Now().Add(time.Duration(millis) * time.Millisecond)}
}

// observe records the error of a failed connection.
func (o *ownerTimeout) observe(cause error, now time.Time) {
	switch {
	case !errors.Is(cause, syscall.ECONNREFUSED):
		o.refusedDeadline = time.Time{}
	case o.refusedDeadline.IsZero():
		o.refusedDeadline = now.Add(connectionRefusedMillis * time.Millisecond)
	}
}

// expired reports whether the owner counts as lost.
func (o ownerTimeout) expired(now time.Time) bool {
	refused := !o.refusedDeadline.IsZero() && !now.Before(o.refusedDeadline)
	return refused || !now.Before(o.deadline)
}

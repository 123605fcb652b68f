package instruction

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStaleNumber means that an order was not sent because its fencing number is
// lower than the highest known one. Operators see its text as Waiting of
// reconciler.Status.
var ErrStaleNumber = errors.New("fencing number is old")

// ErrExpired means that an order was not sent because the process may have been
// paused since it last confirmed which fencing number the engine has been given.
// Operators see its text as Waiting of reconciler.Status.
var ErrExpired = errors.New("knowledge of the fencing number has lapsed")

// Fence rejects stale orders before they are sent, for engines that ignore fencing
// numbers. All orders of a process must go through one Fence. Its exported field must
// be set before use. It is safe for concurrent use.
type Fence struct {
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time

	// sending is held from the check of an order until its exchange with the engine
	// has ended, with an answer or an error, so that no other order is sent in
	// between.
	sending sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// highest is the highest fencing number known to this process. It never
	// decreases.
	highest uint64
	// openUntil is the time at which the fence closes. From then on the process must
	// confirm again which numbers the engine can have been given. It is zero until
	// the fence is opened for the first time.
	openUntil time.Time
}

// Raise raises the highest known number to one that is in force or that the engine
// has been given.
func (f *Fence) Raise(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, number)
}

// OpenUntil opens the fence until a deadline. It must be called only after the
// process has confirmed which numbers the engine can have been given.
func (f *Fence) OpenUntil(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openUntil = until
}

// Extend moves the deadline of a fence that is open. A fence that has expired stays
// closed, because the process may have been paused.
func (f *Fence) Extend(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open() {
		f.openUntil = until
	}
}

// Send sends an order, or fails with ErrStaleNumber or ErrExpired without sending
// it. The checks are made immediately before sending, after any pause before Send
// and any wait inside it.
func (f *Fence) Send(order Order, send func(Order) error) error {
	f.sending.Lock()
	defer f.sending.Unlock()
	if err := f.check(order); err != nil {
		return err
	}
	return send(order)
}

// check returns an error if the order must not be sent, and otherwise records its
// number as the highest.
func (f *Fence) check(order Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if order.Number < f.highest {
		return errors.Wrapf(ErrStaleNumber, "order has %d, highest is %d", order.Number, f.highest)
	}
	if !f.open() {
		return ErrExpired
	}
	f.highest = order.Number
	return nil
}

// open reports whether the fence is open. It compares both the monotonic and the wall
// clock, because the monotonic clock may stop while the host is suspended. The caller
// holds mu.
func (f *Fence) open() bool {
	now := f.Now()
	return now.Before(f.openUntil) && now.Round(0).Before(f.openUntil.Round(0))
}

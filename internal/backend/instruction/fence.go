package instruction

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStaleNumber says that an order's fencing number is lower than the highest
// one known. The order was not sent.
var ErrStaleNumber = errors.New("fencing number is old")

// ErrExpired says that the process may have been paused since it last knew what
// number the engine has been given. The order was not sent.
var ErrExpired = errors.New("knowledge of the fencing number has lapsed")

// Fence refuses old orders before they reach the engine, on behalf of engines
// that ignore fencing numbers. All orders of a process go through one Fence. It
// is safe for concurrent use. Its exported field is set before use.
type Fence struct {
	// Now reads the clock, with its monotonic part.
	Now func() time.Time

	// sending is held from the check of an order to the end of its exchange, so
	// that no order is sent between the two.
	sending sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// highest is the highest number known to this process. It never goes down.
	highest uint64
	// openUntil is when the process must learn anew what number the engine
	// has been given. Zero before the first time.
	openUntil time.Time
}

// Raise takes note of a number that is in force or was given to the engine.
func (f *Fence) Raise(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, number)
}

// OpenUntil opens the fence until a deadline, after the process has learnt what
// number the engine can have been given.
func (f *Fence) OpenUntil(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openUntil = until
}

// Extend moves the deadline of a fence that is open. A fence that has lapsed
// stays so, because the process may have been paused.
func (f *Fence) Extend(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open() {
		f.openUntil = until
	}
}

// Send sends an order, or fails with ErrOldNumber or ErrLapsed without sending
// it. The checks are made at the moment of sending: a caller that was paused
// before Send, or waited in it, is checked after that.
func (f *Fence) Send(order Order, send func(Order) error) error {
	f.sending.Lock()
	defer f.sending.Unlock()
	if err := f.check(order); err != nil {
		return err
	}
	return send(order)
}

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

// open compares both the monotonic and the wall clock, because the monotonic
// one may stand still while a whole host is suspended. The caller holds mu.
func (f *Fence) open() bool {
	now := f.Now()
	return now.Before(f.openUntil) && now.Round(0).Before(f.openUntil.Round(0))
}

// Package stoporder decides what is known of the end of a run from the orders to stop it. An engine is
// ordered to stop a run for its migration; the run may go on where it was stopped, and may be stopped
// again. Each order has a number, so that a stop is told from those before and after it. Orders are
// the orders for one run without a known outcome, Table what one process knows of the runs of its engine.
package stoporder

import "slices"

// Orders are the numbers of orders to stop one run whose outcome is not known. They are immutable. The
// zero value holds none.
type Orders struct {
	// open holds the numbers in the order in which the orders were given, which is ascending.
	open []uint64
}

// With returns the orders with a further one.
func (o Orders) With(number uint64) Orders {
	return Orders{open: append(slices.Clone(o.open), number)}
}

// WithNone returns the orders when one of them is known not to have stopped the run: the engine had no such
// run, or did not act on the order. An earlier one may have stopped it.
func (o Orders) WithNone(number uint64) Orders {
	return o.without(func(n uint64) bool { return n == number })
}

// WithStop returns the orders when the reply to one of them has said that the run was stopped, which
// also ends the doubt about those before it.
func (o Orders) WithStop(number uint64) Orders {
	return o.without(func(n uint64) bool { return n <= number })
}

func (o Orders) without(known func(uint64) bool) Orders {
	return Orders{open: slices.DeleteFunc(slices.Clone(o.open), known)}
}

// Has reports whether an order with the number is among them.
func (o Orders) Has(number uint64) bool {
	return slices.Contains(o.open, number)
}

// Oldest returns the number of the first order; zero if there is none.
func (o Orders) Oldest() uint64 {
	if len(o.open) == 0 {
		return 0
	}
	return o.open[0]
}

// AnyAfter reports whether there is an order with a higher number.
func (o Orders) AnyAfter(number uint64) bool {
	return slices.ContainsFunc(o.open, func(n uint64) bool { return n > number })
}

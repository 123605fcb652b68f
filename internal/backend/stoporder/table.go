package stoporder

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// settledMillis is the time after the first report to a process from which a report shows what the orders
// of an earlier process beside the engine have done.
const settledMillis = platform.ReportLagMillis

// End says what is known of the end of a run.
type End interface{ end() }

// Unknown says that the engine may have stopped the run.
type Unknown struct {
	// Pending says that the outcome of an order is awaited.
	Pending bool
}

// NotStopped says that the engine has not stopped the run.
type NotStopped struct{}

// Stopped says that the engine has stopped the run. What it has answered since it went on with the run,
// if it did, was not ended by that.
type Stopped struct {
	// Order is the number of the newest order that has stopped the run.
	Order uint64
}

func (Unknown) end()    {}
func (NotStopped) end() {}
func (Stopped) end()    {}

// Table holds the runs of one incarnation of an engine that the process beside it has ordered the
// engine to stop. It is not safe for concurrent use. The zero value is ready to use.
type Table struct {
	// complete says that no earlier process has ordered the incarnation to stop runs: this one has seen
	// it before it announced its shutdown.
	complete bool
	// settledAt is the time from which reports show what the orders of an earlier process have done; zero
	// before the first report.
	settledAt boottime.Instant
	// listed holds the IDs of the runs that a report since settledAt has listed. Only orders of this
	// process can have stopped them.
	listed map[string]bool
	// runs holds what is known of the runs that this process has ordered to stop, by request ID.
	runs map[string]run
}

// run is what is known of the orders to stop one run.
type run struct {
	orders Orders
	// stopped is the number of the newest order that has stopped the run; zero if none is known to have.
	stopped uint64
	// stoppedAt is the time of the reply to that order.
	stoppedAt boottime.Instant
	// goneOn says that a report that was asked for after stoppedAt has listed the run.
	goneOn bool
}

// Observe takes in a report of the engine that was asked for at the given time.
func (t *Table) Observe(leaving bool, requestIDs []string, askedAt boottime.Instant) {
	if !leaving {
		t.complete = true
	}
	if t.settledAt == 0 {
		t.settledAt = askedAt.AddMillis(settledMillis)
	}
	for _, id := range requestIDs {
		if !t.complete && !askedAt.Before(t.settledAt) {
			t.list(id)
		}
		if r, ordered := t.runs[id]; ordered && r.stopped != 0 && r.stoppedAt.Before(askedAt) {
			r.goneOn = true
			t.runs[id] = r
		}
	}
}

func (t *Table) list(requestID string) {
	if t.listed == nil {
		t.listed = make(map[string]bool)
	}
	t.listed[requestID] = true
}

// Order records that the engine is being ordered to stop a run. Each number is higher than those before.
func (t *Table) Order(requestID string, number uint64) {
	if t.runs == nil {
		t.runs = make(map[string]run)
	}
	r := t.runs[requestID]
	r.orders = r.orders.With(number)
	t.runs[requestID] = r
}

// SetStopped records that the reply to an order has said that the run was stopped. It returns false if the
// order was given to an earlier incarnation.
func (t *Table) SetStopped(requestID string, number uint64, now boottime.Instant) bool {
	r := t.runs[requestID]
	if !r.orders.Has(number) {
		return false
	}
	t.runs[requestID] = run{orders: r.orders.WithStop(number), stopped: number, stoppedAt: now}
	return true
}

// SetNone records that an order has not stopped the run.
func (t *Table) SetNone(requestID string, number uint64) {
	if r := t.runs[requestID]; r.orders.Has(number) {
		r.orders = r.orders.WithNone(number)
		t.runs[requestID] = r
	}
}

// End returns what is known of the end of a run whose answer has ended.
func (t *Table) End(requestID string) End {
	r := t.runs[requestID]
	switch {
	case r.orders.Oldest() != 0:
		return Unknown{Pending: true}
	case r.stopped != 0:
		return Stopped{Order: r.stopped}
	case t.complete || t.listed[requestID]:
		return NotStopped{}
	default:
		return Unknown{}
	}
}

// Pending returns the number of the first order to stop a run whose outcome is not known; zero if
// there is none.
func (t *Table) Pending(requestID string) uint64 {
	return t.runs[requestID].orders.Oldest()
}

// AllPending returns the IDs of the runs with such an order.
func (t *Table) AllPending() []string {
	var all []string
	for id, r := range t.runs {
		if r.orders.Oldest() != 0 {
			all = append(all, id)
		}
	}
	return all
}

// Rests reports whether a run was stopped and is not known to have gone on.
func (t *Table) Rests(requestID string) bool {
	r := t.runs[requestID]
	return r.stopped != 0 && !r.goneOn
}

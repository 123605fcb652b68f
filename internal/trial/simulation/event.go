package simulation

import "container/heap"

// event is something that happens at a point in virtual time.
type event interface {
	event()
}

// Events of a trial.
type (
	// arrivalEvent routes a call that arrives at its entry host, or that is due for
	// a retry there.
	arrivalEvent struct{ call *call }
	// deadlineEvent ends a call at its deadline.
	deadlineEvent struct{ call *call }
	// stepEvent runs one step of a backend server's engine.
	stepEvent struct {
		server *server
		// incarnation is that of the server when the step was scheduled. The step
		// is skipped if the server has failed since and has another incarnation.
		incarnation int
	}
	// pollEvent makes a backend server refuse expired calls in its queue and start
	// those that fit.
	pollEvent struct{ server *server }
	// probeEvent refreshes an entry host's cached load of a backend server.
	probeEvent struct {
		entry *entry
		index int
	}
	// outageEvent fails the backend servers that the scenario selects.
	outageEvent struct{}
	// recoveryEvent restarts failed backend servers with empty state.
	recoveryEvent struct{ servers []*server }
)

func (arrivalEvent) event()  {}
func (deadlineEvent) event() {}
func (stepEvent) event()     {}
func (pollEvent) event()     {}
func (probeEvent) event()    {}
func (outageEvent) event()   {}
func (recoveryEvent) event() {}

// scheduledEvent is an event in the queue.
type scheduledEvent struct {
	// at is the virtual time of the event, in microseconds.
	at int64
	// order is the number of the event in the order of scheduling. Events at the
	// same time are handled in this order.
	order int
	event event
}

// eventQueue holds the future events as a heap, the earliest first.
type eventQueue struct {
	items []scheduledEvent
	// count is the number of events scheduled so far.
	count int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *eventQueue) Len() int { return len(q.items) }

func (q *eventQueue) Less(i, j int) bool {
	if q.items[i].at != q.items[j].at {
		return q.items[i].at < q.items[j].at
	}
	return q.items[i].order < q.items[j].order
}

func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

func (q *eventQueue) Push(x any) { q.items = append(q.items, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := len(q.items) - 1
	item := q.items[last]
	q.items[last] = scheduledEvent{}
	q.items = q.items[:last]
	return item
}

// schedule adds an event at a time in microseconds.
func (q *eventQueue) schedule(at int64, e event) {
	q.count++
	heap.Push(q, scheduledEvent{at: at, order: q.count, event: e})
}

// next removes and returns the earliest event, or returns false if there is none.
func (q *eventQueue) next() (scheduledEvent, bool) {
	if len(q.items) == 0 {
		return scheduledEvent{}, false
	}
	return heap.Pop(q).(scheduledEvent), true
}

package simulation

import "container/heap"

// event happens at a moment of virtual time.
type event interface {
	event()
}

// Events of a trial.
type (
	// arrive brings a call to its entry host, or back to it for a repeat.
	arrivalEvent struct{ call *call }
	// giveUp ends a call at its deadline.
	deadlineEvent struct{ call *call }
	// step runs one step of a backend server's engine.
	stepEvent struct {
		server *server
		// incarnation must match the server's, which changes when it is lost.
		incarnation int
	}
	// poll lets a backend server look through its queue.
	pollEvent struct{ server *server }
	// probe refreshes what an entry host knows of a backend server.
	probeEvent struct {
		entry *entry
		index int
	}
	// lose takes backend servers away.
	outageEvent struct{}
	// recovery brings them back, empty.
	recoveryEvent struct{ servers []*server }
)

func (arrivalEvent) event()  {}
func (deadlineEvent) event() {}
func (stepEvent) event()     {}
func (pollEvent) event()     {}
func (probeEvent) event()    {}
func (outageEvent) event()   {}
func (recoveryEvent) event() {}

// scheduledEvent is a place in the agenda.
type scheduledEvent struct {
	at int64
	// order breaks ties by the order of scheduling.
	order int
	event event
}

// eventQueue holds the events to come, the earliest first.
type eventQueue struct {
	items []scheduledEvent
	count int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (a *eventQueue) Len() int { return len(a.items) }

func (a *eventQueue) Less(i, j int) bool {
	if a.items[i].at != a.items[j].at {
		return a.items[i].at < a.items[j].at
	}
	return a.items[i].order < a.items[j].order
}

func (a *eventQueue) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

func (a *eventQueue) Push(x any) { a.items = append(a.items, x.(scheduledEvent)) }

func (a *eventQueue) Pop() any {
	last := len(a.items) - 1
	item := a.items[last]
	a.items[last] = scheduledEvent{}
	a.items = a.items[:last]
	return item
}

// schedule adds an event.
func (a *eventQueue) schedule(at int64, e event) {
	a.count++
	heap.Push(a, scheduledEvent{at: at, order: a.count, event: e})
}

// next removes the earliest event.
func (a *eventQueue) next() (scheduledEvent, bool) {
	if len(a.items) == 0 {
		return scheduledEvent{}, false
	}
	return heap.Pop(a).(scheduledEvent), true
}

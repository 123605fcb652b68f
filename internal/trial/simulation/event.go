package simulation

import "container/heap"

// event happens at a moment of virtual time.
type event interface {
	event()
}

// Events of a trial.
type (
	// arrive brings a call to its entry host, or back to it for a repeat.
	arrive struct{ call *call }
	// giveUp ends a call at its deadline.
	giveUp struct{ call *call }
	// step runs one step of a backend server's engine.
	step struct {
		server *server
		// life must match the server's, which changes when it is lost.
		life int
	}
	// poll lets a backend server look through its queue.
	poll struct{ server *server }
	// probe refreshes what an entry host knows of a backend server.
	probe struct {
		entry *entry
		index int
	}
	// lose takes backend servers away.
	lose struct{}
	// recovery brings them back, empty.
	recovery struct{ servers []*server }
)

func (arrive) event()   {}
func (giveUp) event()   {}
func (step) event()     {}
func (poll) event()     {}
func (probe) event()    {}
func (lose) event()     {}
func (recovery) event() {}

// scheduled is a place in the agenda.
type scheduled struct {
	at int64
	// order breaks ties by the order of scheduling.
	order int
	event event
}

// agenda holds the events to come, the earliest first.
type agenda struct {
	items []scheduled
	count int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (a *agenda) Len() int { return len(a.items) }

func (a *agenda) Less(i, j int) bool {
	if a.items[i].at != a.items[j].at {
		return a.items[i].at < a.items[j].at
	}
	return a.items[i].order < a.items[j].order
}

func (a *agenda) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

func (a *agenda) Push(x any) { a.items = append(a.items, x.(scheduled)) }

func (a *agenda) Pop() any {
	last := len(a.items) - 1
	item := a.items[last]
	a.items[last] = scheduled{}
	a.items = a.items[:last]
	return item
}

// schedule adds an event.
func (a *agenda) schedule(at int64, e event) {
	a.count++
	heap.Push(a, scheduled{at: at, order: a.count, event: e})
}

// next removes the earliest event.
func (a *agenda) next() (scheduled, bool) {
	if len(a.items) == 0 {
		return scheduled{}, false
	}
	return heap.Pop(a).(scheduled), true
}

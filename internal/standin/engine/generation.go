package engine

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

// generation is one execution of a request, with its events so far.
type generation struct {
	request engine.Request
	key     uint64

	mu sync.Mutex
	// events is append-only; its last event is Finished once the generation has
	// ended.
	events []engine.Event
	// changed is closed and replaced when an event is appended.
	changed chan struct{}
	ended   bool
}

func newGeneration(req engine.Request, key uint64) *generation {
	return &generation{request: req, key: key, changed: make(chan struct{})}
}

// add appends an event. It does nothing once the generation has ended.
func (g *generation) add(event engine.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	_, g.ended = event.(engine.Finished)
	g.events = append(g.events, event)
	close(g.changed)
	g.changed = make(chan struct{})
}

// after returns the events beginning at index from, whether the generation has
// ended, and a channel that is closed when the next event is appended.
func (g *generation) after(from int) ([]engine.Event, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events[from:len(g.events):len(g.events)], g.ended, g.changed
}

// tokens returns the number of tokens produced.
func (g *generation) tokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, event := range g.events {
		if _, ok := event.(engine.Token); ok {
			count++
		}
	}
	return count
}

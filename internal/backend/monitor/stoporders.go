package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// stopOrders holds the runs that one incarnation of the engine may have stopped, as this process
// has ordered it to. It is not safe for concurrent use. The zero value is ready to use.
type stopOrders struct {
	// complete says that no other process has ordered the incarnation to stop runs: this one has
	// seen it before it announced its shutdown.
	complete bool
	// ordered holds the request IDs of the runs.
	ordered map[string]bool
	// unanswered holds those of ordered for which no reply has said how the copy ended.
	unanswered map[string]bool
}

// observe takes in a report of the engine.
func (s *stopOrders) observe(report platform.EngineReport) {
	if !report.Leaving {
		s.complete = true
	}
}

// add records an order and returns whether it is the first one for the run.
func (s *stopOrders) add(requestID string) bool {
	first := !s.ordered[requestID]
	if s.ordered == nil {
		s.ordered = make(map[string]bool)
		s.unanswered = make(map[string]bool)
	}
	s.ordered[requestID] = true
	s.unanswered[requestID] = true
	return first
}

// withdraw records that the engine has not stopped the run.
func (s *stopOrders) withdraw(requestID string) {
	delete(s.ordered, requestID)
	delete(s.unanswered, requestID)
}

// answer records that a reply has said how the copy of a stopped run ended.
func (s *stopOrders) answer(requestID string) {
	delete(s.unanswered, requestID)
}

// orderStop records that the engine is about to be ordered to stop a run. It returns whether it
// never was before.
func (m *Monitor) orderStop(requestID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopOrders.add(requestID)
}

// noteNotStopped reports to the entry hosts that a run ended before it could be stopped. One of
// them may have asked meanwhile.
func (m *Monitor) noteNotStopped(requestID string) {
	m.mu.Lock()
	m.stopOrders.withdraw(requestID)
	move := m.finalMove(requestID)
	m.mu.Unlock()
	m.publish(&sighting.Sighting{Move: move})
}

// answerEnded tells an entry host whether the engine may have stopped the run of an answer that has
// ended. The host has seen the end, so an order that caused it was given before. While the outcome of
// an order is open, the reply is the message about that outcome.
func (m *Monitor) answerEnded(w *watcher, requestID string) {
	m.mu.Lock()
	ordered, complete := m.stopOrders.ordered[requestID], m.stopOrders.complete
	move := m.finalMove(requestID)
	m.mu.Unlock()
	m.Log.Info("asked whether a run was stopped", "Request", requestID, "Stopped", move.GetStopped(),
		"Ordered", ordered, "AllOrdersKnown", complete)
	if !move.GetStopped() && (ordered || !complete) {
		return
	}
	m.send(w, &sighting.Sighting{Move: move})
}

// unansweredStops returns the final messages about the runs that the engine was ordered to stop, without
// a reply that says how the copy ended, and that it reports no more.
func (m *Monitor) unansweredStops() []*sighting.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*sighting.Move
	reported := runningIDs(m.latest)
	for id := range m.stopOrders.unanswered {
		if reported[id] {
			continue
		}
		move := m.finalMove(id)
		move.Stopped = true
		all = append(all, move)
	}
	return all
}

// finalMove returns the last message about a run, with the copy of it if there is one. The caller
// holds the mutex.
func (m *Monitor) finalMove(requestID string) *sighting.Move {
	latest := m.migrations[requestID]
	return &sighting.Move{
		RequestId:   requestID,
		Stopped:     latest.GetStopped(),
		Handle:      latest.GetHandle(),
		Destination: latest.GetDestination(),
		Final:       true,
	}
}

package monitor

import (
	"maps"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/stoporder"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// endQuestion is the question of an entry host whether the engine has stopped the run of an answer that
// has ended.
type endQuestion struct {
	watcher   *watcher
	requestID string
	// answer is the number by which the host tells the answers of the request apart.
	answer uint64
}

// requestIDs returns the request IDs of the runs in a report.
func requestIDs(report platform.EngineReport) []string {
	return slices.Collect(maps.Keys(runningIDs(report)))
}

// orderStop records that the engine is about to be ordered to stop a run. It returns the number of the
// order, which is also higher than those of earlier processes beside the engine: it is the time since the
// machine has started.
func (m *Monitor) orderStop(requestID string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastOrder = max(m.lastOrder+1, uint64(boottime.Now()))
	m.stopOrders.Order(requestID, m.lastOrder)
	return m.lastOrder
}

// noteStop records that the engine has stopped a run. It returns false if the order was given to an earlier
// incarnation of the engine. The caller holds the mutex.
func (m *Monitor) noteStop(move *sighting.Move) bool {
	if !m.stopOrders.SetStopped(move.GetRequestId(), move.GetStopOrder(), boottime.Now()) {
		return false
	}
	if m.stops == nil {
		m.stops = make(map[string]*sighting.Move)
	}
	m.stops[move.GetRequestId()] = move
	delete(m.endQuestions, move.GetRequestId()) // the message about the stop is the reply
	return true
}

// noteNotStopped records that an order has not stopped a run, and answers the questions that have waited for
// its outcome. If the run had ended before, the entry hosts are told that no message about it follows.
func (m *Monitor) noteNotStopped(requestID string, order uint64, ended bool) {
	m.mu.Lock()
	m.stopOrders.SetNone(requestID, order)
	move := m.finalMove(requestID)
	waiting := m.endQuestions[requestID]
	delete(m.endQuestions, requestID)
	m.mu.Unlock()
	if ended {
		m.publish(&sighting.Sighting{Move: move})
	}
	for _, question := range waiting {
		m.answerEnded(question)
	}
}

// answerEnded tells an entry host whether the engine may have stopped the run of an answer that has
// ended. The host has seen the end, so an order that caused it was given before. While the outcome of
// an order is open, the reply waits for it.
func (m *Monitor) answerEnded(question endQuestion) {
	m.mu.Lock()
	end := m.stopOrders.End(question.requestID)
	reply := m.endReply(question, end)
	if unknown, ok := end.(stoporder.Unknown); ok && unknown.Pending {
		if m.endQuestions == nil {
			m.endQuestions = make(map[string][]endQuestion)
		}
		m.endQuestions[question.requestID] = append(m.endQuestions[question.requestID], question)
	}
	m.mu.Unlock()
	m.Log.Info("asked whether a run was stopped", "Request", question.requestID, "Answer", question.answer,
		"Known", reply != nil, "Stopped", reply.GetStopped(), "Order", reply.GetStopOrder())
	if reply != nil {
		m.send(question.watcher, &sighting.Sighting{Move: reply})
	}
}

// endReply returns the reply to the question of an entry host; nil if it is not known. The caller holds
// the mutex.
func (m *Monitor) endReply(question endQuestion, end stoporder.End) *sighting.Move {
	reply := &sighting.Move{RequestId: question.requestID, Final: true, EndedAnswer: question.answer}
	switch e := end.(type) {
	case stoporder.Unknown:
		return nil
	case stoporder.Stopped:
		stop := m.stops[question.requestID]
		reply.Stopped, reply.StopOrder = true, e.Order
		reply.Handle, reply.Destination = stop.GetHandle(), stop.GetDestination()
	case stoporder.NotStopped:
	}
	return reply
}

// unansweredStops returns the final messages about the runs that the engine was ordered to stop, without
// a reply that says how the copy ended, and that it reports no more.
func (m *Monitor) unansweredStops() []*sighting.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*sighting.Move
	reported := runningIDs(m.latest)
	for _, id := range m.stopOrders.AllPending() {
		if !reported[id] {
			all = append(all, m.finalMove(id))
		}
	}
	return all
}

// finalMove returns the last message about a run, with the copy of it if there is one that was not used.
// The caller holds the mutex.
func (m *Monitor) finalMove(requestID string) *sighting.Move {
	move := &sighting.Move{RequestId: requestID, Final: true}
	latest := m.migrations[requestID]
	if !latest.GetStopped() || m.stopOrders.Rests(requestID) {
		move.Stopped, move.StopOrder = latest.GetStopped(), latest.GetStopOrder()
		move.Handle, move.Destination = latest.GetHandle(), latest.GetDestination()
	}
	if pending := m.stopOrders.Pending(requestID); pending != 0 {
		move.Stopped, move.StopOrder = true, pending
	}
	return move
}

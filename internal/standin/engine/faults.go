package engine

import (
	"net/http"
	"sync/atomic"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// Faults are switched while the engine runs.
type Faults struct {
	// Down drops every connection that asks for something, and halts the steps.
	Down atomic.Bool
	// Frozen halts the steps; streams stay open.
	Frozen atomic.Bool
	// StallStreams accepts streams that never carry an event, and silences the open
	// ones for good at their next event. See SilenceStreams for open ones alone.
	StallStreams atomic.Bool
	// ForeignTokens is how many coming tokens of streams are followed by an event
	// of another request.
	ForeignTokens atomic.Int64
	// ForeignEnds is how many coming tokens of streams are followed by the
	// Finished of another request.
	ForeignEnds atomic.Int64
	// DuplicateTokens is how many coming tokens of streams are sent twice.
	DuplicateTokens atomic.Int64
	// OmitTokens is how many coming tokens of streams are left out.
	OmitTokens atomic.Int64
	// LoseAnswers is how many coming generations start while their connection
	// drops before the answer.
	LoseAnswers atomic.Int64
	// LoseOrders is how many coming orders take effect while their connection
	// drops before the answer.
	LoseOrders atomic.Int64
	// LoadStuck keeps the load at what was last reported.
	LoadStuck atomic.Bool
}

// foreignRequestID names the other request of a crossed event when the engine
// has run none.
const foreignRequestID = "crossed"

// injectFaults returns what a stream sends for event.
func (s *Server) injectFaults(event engine.Event) []engine.Event {
	token, ok := event.(engine.Token)
	if !ok {
		return []engine.Event{event}
	}
	if serving.TakeOne(&s.Faults.OmitTokens) {
		return nil
	}
	sent := []engine.Event{token}
	if serving.TakeOne(&s.Faults.DuplicateTokens) {
		sent = append(sent, token)
	}
	if serving.TakeOne(&s.Faults.ForeignTokens) {
		crossed := token
		crossed.RequestID = s.otherRequest(token.RequestID)
		crossed.Position++
		sent = append(sent, crossed)
	}
	if serving.TakeOne(&s.Faults.ForeignEnds) {
		end := engine.Finished{RequestID: s.otherRequest(token.RequestID), Reason: engine.ReasonStop, Tokens: 1}
		sent = append(sent, end)
	}
	return sent
}

// otherRequest names a request that is not id.
func (s *Server) otherRequest(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.live {
		if g.request.ID != id {
			return g.request.ID
		}
	}
	return foreignRequestID
}

// StallOpenStreams keeps the streams that are open now from carrying anything
// more, for good; new ones work.
func (s *Server) StallOpenStreams() {
	s.stallCount.Add(1)
}

// failWhenDown drops the connection of each request while the engine is down.
func (s *Server) failWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Faults.Down.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

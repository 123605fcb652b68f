package engine

import (
	"net/http"
	"sync/atomic"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// Faults holds the faults that a test injects. They may be switched while the
// engine runs. A fault with a count is injected that many times; each injection
// decrements the count.
type Faults struct {
	// Down drops the connection of every request and halts the steps.
	Down atomic.Bool
	// Frozen halts the steps; streams remain open.
	Frozen atomic.Bool
	// StallStreams makes every stream stall at its next event: the connection stays
	// open, but carries nothing more until the client closes it or the engine
	// crashes. New streams are accepted and stall at their first event. To stall
	// only the streams that are already open, call StallOpenStreams.
	StallStreams atomic.Bool
	// ForeignTokens is how many times a stream sends a token of another request
	// after one of its own tokens.
	ForeignTokens atomic.Int64
	// ForeignEnds is how many times a stream sends a Finished event of another
	// request after one of its own tokens.
	ForeignEnds atomic.Int64
	// DuplicateTokens is the number of upcoming tokens that streams send twice.
	DuplicateTokens atomic.Int64
	// OmitTokens is the number of upcoming tokens that streams omit.
	OmitTokens atomic.Int64
	// LoseAnswers is the number of upcoming generations that start but whose
	// connection is dropped before the response.
	LoseAnswers atomic.Int64
	// CutHeads is the number of upcoming generations that start but whose response ends within its
	// head: that number of bytes before the end of the head, so that each one gets one byte more.
	CutHeads atomic.Int64
	// LoseOrders is the number of upcoming orders that take effect but whose
	// connection is dropped before the response.
	LoseOrders atomic.Int64
	// LoadStuck makes the engine keep reporting the load that it last reported,
	// whatever its actual load is.
	LoadStuck atomic.Bool
}

// foreignRequestID is the request ID of a foreign token or end while the engine runs
// no other request.
const foreignRequestID = "crossed"

// injectFaults returns the events that a stream sends instead of event. Only tokens
// are subject to faults.
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
		foreign := token
		foreign.RequestID = s.otherRequest(token.RequestID)
		foreign.Position++
		sent = append(sent, foreign)
	}
	if serving.TakeOne(&s.Faults.ForeignEnds) {
		end := engine.Finished{RequestID: s.otherRequest(token.RequestID), Reason: engine.ReasonStop, Tokens: 1}
		sent = append(sent, end)
	}
	return sent
}

// otherRequest returns the ID of a running request other than id, or
// foreignRequestID if there is none.
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

// StallOpenStreams stalls the streams that are open now, like Faults.StallStreams. New
// streams are not affected.
func (s *Server) StallOpenStreams() {
	s.stallCount.Add(1)
}

// failWhenDown drops the connection of each request while Faults.Down is set.
func (s *Server) failWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Faults.Down.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

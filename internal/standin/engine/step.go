package engine

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

// Step runs one step of the batch, adds the resulting events to the generations and to
// the cache feed, and measures the load. It does nothing while Faults.Frozen or
// Faults.Down is set.
func (s *Server) Step() {
	if s.Faults.Frozen.Load() || s.Faults.Down.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	now := time.Now()
	for _, c := range s.batch.Step() {
		s.apply(c, now)
	}
	s.loads.add(engine.Load{
		Running:     s.batch.Running(),
		Waiting:     s.batch.Waiting(),
		MemoryUsed:  s.batch.MemoryUsed(),
		MemoryTotal: s.batch.MemoryTokens,
		MeasuredAt:  now,
	}, now.Add(-millis(s.LoadLagMillis)))
}

// apply adds the event for a change of the batch to the cache feed or to the generation
// that has changed; the caller holds mu.
func (s *Server) apply(c Change, now time.Time) {
	switch c.Kind {
	case PrefixStored:
		s.cacheFeed.add(engine.Stored, c.PrefixHash, now)
	case PrefixEvicted:
		s.cacheFeed.add(engine.Evicted, c.PrefixHash, now)
	case TokenProduced, JobPreempted, JobResumed, JobFinished, JobFailed:
		if g, ok := s.live[c.Key]; ok {
			s.applyTo(g, c)
		}
	}
}

// applyTo adds the event for a change of a generation to it; the caller holds mu.
func (s *Server) applyTo(g *generation, c Change) {
	id := g.request.ID
	switch c.Kind {
	case TokenProduced:
		g.add(engine.Token{RequestID: id, Position: c.Position, Text: s.tokenText(g.request.Prompt, c.Position)})
	case JobPreempted:
		g.add(engine.Preempted{RequestID: id})
	case JobResumed:
		g.add(engine.Resumed{RequestID: id})
	case JobFinished:
		s.finish(g, s.endReason(g.request))
	case JobFailed:
		s.finish(g, engine.ReasonErrorPrefix+"needs more than the whole memory")
	case PrefixStored, PrefixEvicted:
	}
}

// finish ends a generation and discards the oldest ended one if more than
// maxEndedGenerations are kept; the caller holds mu.
func (s *Server) finish(g *generation, reason string) {
	delete(s.live, g.key)
	g.add(engine.Finished{RequestID: g.request.ID, Reason: reason, Tokens: g.tokens()})
	s.finished = append(s.finished, g)
	if len(s.finished) <= maxEndedGenerations {
		return
	}
	oldest := s.finished[0]
	s.finished = s.finished[1:]
	if s.latest[oldest.request.ID] == oldest {
		delete(s.latest, oldest.request.ID)
	}
}

// endReason returns the reason with which a finished generation ends.
func (s *Server) endReason(req engine.Request) string {
	if req.MaxTokens > 0 && s.outputLength(req.Prompt) > req.MaxTokens {
		return engine.ReasonLength
	}
	return engine.ReasonStop
}

// millis returns a duration of n milliseconds.
func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

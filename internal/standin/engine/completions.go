package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 8 << 20

// cancelledReason ends the stream of a cancelled generation.
const cancelledReason = engine.ReasonErrorPrefix + "cancelled"

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.ID == "" || !c.Stream || c.ResumeFrom < engine.ResumeFromStart {
		http.Error(w, "request needs an ID, a stream and a position", http.StatusBadRequest)
		return
	}
	feed, ok := s.openStream(c.Request)
	if !ok {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	if c.ResumeFrom == 0 && serving.TakeOne(&s.Faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	s.writeStream(w, r, feed)
}

// stream is what one connection sends of a generation.
type stream struct {
	generation *generation
	// from is the first position to send.
	from int
	// crashed is closed when the engine that runs the generation crashes.
	crashed <-chan struct{}
	// stallCount is the count of SilenceStreams when the feed was opened.
	stallCount int64
}

// openStream starts a generation or finds the one to attach to.
func (s *Server) openStream(req engine.Request) (stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	f := stream{from: max(req.ResumeFrom, 0), crashed: s.crashed, stallCount: s.stallCount.Load()}
	if req.ResumeFrom == 0 {
		f.generation = s.begin(req)
		return f, true
	}
	g, ok := s.latest[req.ID]
	f.generation = g
	return f, ok
}

// writeStream streams the events of a feed's generation.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, f stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for sent := 0; ; {
		events, ended, changed := f.generation.after(sent)
		sent += len(events)
		for _, event := range events {
			if s.stalled(f) {
				stall(r, f)
			}
			if token, ok := event.(engine.Token); ok && token.Position < f.from {
				continue
			}
			s.writeEvent(w, event)
		}
		_ = flusher.Flush()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-f.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) stalled(f stream) bool {
	return s.Faults.StallStreams.Load() || s.stallCount.Load() != f.stallCount
}

// stall holds the connection open without a byte until it ends.
func stall(r *http.Request, f stream) {
	select {
	case <-f.crashed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) writeEvent(w http.ResponseWriter, event engine.Event) {
	for _, e := range s.injectFaults(event) {
		data, err := engine.EncodeEvent(e)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := serving.PathValue(r, "id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for _, g := range s.live {
		if g.request.ID == id {
			s.batch.Cancel(g.key)
			s.finish(g, cancelledReason)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

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
	g, crashed := s.open(c.Request)
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	if c.ResumeFrom == 0 && takeOne(&s.Faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	s.send(w, r, g, crashed, max(c.ResumeFrom, 0))
}

// open starts a generation or finds the one to attach to; nil when there is
// none.
func (s *Server) open(req engine.Request) (*generation, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if req.ResumeFrom != 0 {
		return s.latest[req.ID], s.crashed
	}
	return s.begin(req), s.crashed
}

// send streams the events of g, without tokens below position from.
func (s *Server) send(w http.ResponseWriter, r *http.Request, g *generation, crashed <-chan struct{}, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for sent := 0; ; {
		events, ended, changed := g.after(sent)
		sent += len(events)
		s.waitWhileSilent(r, crashed)
		for _, event := range events {
			if token, ok := event.(engine.Token); ok && token.Position < from {
				continue
			}
			s.write(w, event)
		}
		_ = flusher.Flush()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// waitWhileSilent holds a stream for good once it has met a silence.
func (s *Server) waitWhileSilent(r *http.Request, crashed <-chan struct{}) {
	if !s.Faults.Silent.Load() {
		return
	}
	select {
	case <-crashed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) write(w http.ResponseWriter, event engine.Event) {
	for _, e := range s.disturb(event) {
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

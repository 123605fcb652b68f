package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/cutanswer"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 8 << 20

// cancelledReason is the reason in the Finished event of a cancelled generation.
const cancelledReason = engine.ReasonErrorPrefix + "cancelled"

// streamHead is the head of a response that Faults.CutHeads cuts.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

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
	st, ok := s.openStream(c.Request)
	if !ok {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	if c.ResumeFrom == 0 && serving.TakeOne(&s.Faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if c.ResumeFrom == 0 {
		if missing := serving.TakeNext(&s.Faults.CutHeads); missing > 0 {
			cutanswer.CutBefore(streamHead, int(missing)).Serve(w, r)
			return
		}
	}
	s.writeStream(w, r, st)
}

// stream is one connection that receives the events of a generation.
type stream struct {
	generation *generation
	// from is the position of the first token to send.
	from int
	// crashed is closed when the engine crashes.
	crashed <-chan struct{}
	// stallCount is the count of calls of StallOpenStreams when the stream was
	// opened.
	stallCount int64
}

// openStream opens a stream. If ResumeFrom is 0, it starts a generation; otherwise the
// stream attaches to the newest generation of the request, and openStream returns false
// if there is none.
func (s *Server) openStream(req engine.Request) (stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	st := stream{from: max(req.ResumeFrom, 0), crashed: s.crashed, stallCount: s.stallCount.Load()}
	if req.ResumeFrom == 0 {
		st.generation = s.begin(req)
		return st, true
	}
	g, ok := s.latest[req.ID]
	st.generation = g
	return st, ok
}

// writeStream writes the events of a stream's generation until it ends.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for sent := 0; ; {
		events, ended, changed := st.generation.after(sent)
		sent += len(events)
		for _, event := range events {
			if s.stalled(st) {
				stall(r, st)
			}
			if token, ok := event.(engine.Token); ok && token.Position < st.from {
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
		case <-st.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// stalled reports whether a stream must not carry any more events.
func (s *Server) stalled(st stream) bool {
	return s.Faults.StallStreams.Load() || s.stallCount.Load() != st.stallCount
}

// stall keeps the connection open without writing to it until the client closes it
// or the engine crashes.
func stall(r *http.Request, st stream) {
	select {
	case <-st.crashed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// writeEvent writes an event, altered by the injected faults.
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

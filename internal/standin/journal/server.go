package journal

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// Server serves a Store over HTTP.
type Server struct {
	// Address is the host and port to listen on.
	Address string
	// Store holds the records.
	Store *Store

	listener serving.Listener
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return s.listener.Serve(ctx, s.Address, s.Handler())
}

// Addr waits until Run listens and returns the address; it is empty if Run could
// not listen.
func (s *Server) Addr() string {
	return s.listener.Addr()
}

// Handler returns a handler that serves the log's protocol.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/streams/{stream}/records", s.append).Methods(http.MethodPost)
	r.HandleFunc("/streams/{stream}/records", s.read).Methods(http.MethodGet)
	return r
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.Store.Append(r.Context(), serving.PathValue(r, "stream"), data)
	if err != nil {
		refuse(w, err)
		return
	}
	serving.WriteJSON(w, journal.Appended{Offset: offset})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil {
		http.Error(w, "limit is no number", http.StatusBadRequest)
		return
	}
	page, err := s.Store.Read(r.Context(), serving.PathValue(r, "stream"), from, limit)
	if err != nil {
		refuse(w, err)
		return
	}
	serving.WriteJSON(w, page)
}

// refuse responds with the status that belongs to err. On journal.ErrUnknown it
// drops the connection, so that the client cannot know whether the append took effect.
func refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, journal.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, journal.ErrThrottled):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, journal.ErrRefused):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

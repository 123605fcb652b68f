package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// maxHostBytes bounds the body of a registration.
const maxHostBytes = 64 << 10

// Server serves a list of hosts. Its exported fields are set before it is
// used; Faults may be switched at any time.
type Server struct {
	// Address is host and port to listen on.
	Address string
	// InitialHosts are shown from the start.
	InitialHosts []hostlist.Host
	// LagMillis is how late a change is shown, in milliseconds.
	LagMillis int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Faults are switched while the list is in use.
	Faults Faults

	listener serving.Listener

	mu sync.Mutex
	// changes are not yet shown; they are in order of time.
	changes []change
	// visible holds the hosts by name, with every change that is shown.
	visible map[string]hostlist.Host
	// shown is what was last shown.
	shown []hostlist.Host
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return s.listener.Serve(ctx, s.Address, s.Handler())
}

// Addr waits until Run listens and returns the address.
func (s *Server) Addr() string {
	return s.listener.Addr()
}

// Handler serves the list's protocol.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/hosts", s.list).Methods(http.MethodGet)
	r.HandleFunc("/hosts/{name}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/hosts/{name}", s.remove).Methods(http.MethodDelete)
	r.Use(serving.Outage(&s.Faults.Down, &s.Faults.SlowMillis))
	return r
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(hostlist.List{Hosts: s.Hosts()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(body)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var host hostlist.Host
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHostBytes)).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !valid(host, serving.PathValue(r, "name")) {
		http.Error(w, "host needs its name, a role and a state", http.StatusBadRequest)
		return
	}
	s.Put(host)
	if serving.TakeOne(&s.Faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(serving.PathValue(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}

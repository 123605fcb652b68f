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

// maxHostBytes is the maximum size of the body of a registration.
const maxHostBytes = 64 << 10

// Server serves a host list. Its exported fields must be set before it is used;
// only Faults may be switched later.
type Server struct {
	// Address is the host and port to listen on.
	Address string
	// InitialHosts are in the list from the start.
	InitialHosts []hostlist.Host
	// LagMillis is the delay until a change becomes visible, in milliseconds.
	LagMillis int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Faults holds the injected faults.
	Faults Faults

	listener serving.Listener

	mu sync.Mutex
	// changes holds the changes that are not yet visible, oldest first.
	changes []change
	// visible holds the hosts by name, with every visible change applied.
	visible map[string]hostlist.Host
	// shown is the list that was last returned; Faults.Stuck keeps returning it.
	shown []hostlist.Host
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

// Handler returns a handler that serves the host list's protocol.
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

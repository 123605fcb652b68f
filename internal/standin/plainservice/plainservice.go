// Package plainservice stands in for a plain service: booking and check-in.
package plainservice

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// Faults are switched while the service runs.
type Faults struct {
	// Down refuses every request before it runs.
	Down atomic.Bool
	// SlowMillis delays every request before it runs, in milliseconds.
	SlowMillis atomic.Int64
	// Unresponsive accepts requests and runs them, but never answers.
	Unresponsive atomic.Bool
	// LoseAnswers is how many coming requests run while their connection drops.
	LoseAnswers atomic.Int64
}

// Booking is the answer to POST /bookings.
type Booking struct {
	// Number counts the bookings, from 1; a repeated request gets a new one.
	Number int
	// RequestID is the identity that the request carried.
	RequestID string
}

// CheckIn is the answer to POST /check-ins.
type CheckIn struct {
	// RequestID is the identity that the request carried.
	RequestID string
}

// Tide is one high or low water.
type Tide struct {
	// Time is the local time, as in 04:10.
	Time string
	// HeightCentimetres is the height above chart datum.
	HeightCentimetres int
}

// Tides is the answer to GET /tides.
type Tides struct {
	// Tides are in order of time.
	Tides []Tide
}

var fixedTides = Tides{Tides: []Tide{
	{Time: "04:10", HeightCentimetres: 380},
	{Time: "10:25", HeightCentimetres: 60},
	{Time: "16:35", HeightCentimetres: 370},
	{Time: "22:45", HeightCentimetres: 70},
}}

// Server serves a plain service. Its exported fields are set before it is
// used; Faults may be switched at any time.
type Server struct {
	// Address is host and port to listen on.
	Address string
	// Faults are switched while the service runs.
	Faults Faults

	listener serving.Listener
	// received counts the calls that arrived, before any fault applies.
	received atomic.Int64

	mu sync.Mutex
	// bookings holds the request's identity of each booking, in order.
	bookings   []string
	executions map[string]int
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return s.listener.Serve(ctx, s.Address, s.Handler())
}

// Addr waits until Run listens and returns the address.
func (s *Server) Addr() string {
	return s.listener.Addr()
}

// Handler serves the service's protocol.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/executions/{id}", s.countExecutions).Methods(http.MethodGet)
	calls := r.NewRoute().Subrouter()
	calls.HandleFunc("/bookings", s.createBooking).Methods(http.MethodPost)
	calls.HandleFunc("/tides", s.tides).Methods(http.MethodGet)
	calls.HandleFunc("/check-ins", s.checkIn).Methods(http.MethodPost)
	calls.Use(s.countReceived, serving.Outage(&s.Faults.Down, &s.Faults.SlowMillis))
	return r
}

// countReceived counts each call as it arrives.
func (s *Server) countReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.received.Add(1)
		next.ServeHTTP(w, r)
	})
}

// Received counts the calls that arrived, whether or not they ran.
func (s *Server) Received() int {
	return int(s.received.Load())
}

// Executions counts how often the request of id ran.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// Bookings counts the bookings.
func (s *Server) Bookings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.bookings)
}

func (s *Server) createBooking(w http.ResponseWriter, r *http.Request) {
	id, ok := readRequest(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	s.count(id)
	s.bookings = append(s.bookings, id)
	number := len(s.bookings)
	s.mu.Unlock()
	s.answer(w, r, Booking{Number: number, RequestID: id})
}

func (s *Server) checkIn(w http.ResponseWriter, r *http.Request) {
	id, ok := readRequest(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	s.count(id)
	s.mu.Unlock()
	s.answer(w, r, CheckIn{RequestID: id})
}

func (s *Server) tides(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.count(r.Header.Get(plainservice.RequestHeader))
	s.mu.Unlock()
	s.answer(w, r, fixedTides)
}

// readRequest reads a whole request and returns its identity; a request that
// breaks off never runs.
func readRequest(w http.ResponseWriter, r *http.Request) (string, bool) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, plainservice.MaxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	return r.Header.Get(plainservice.RequestHeader), true
}

// answer sends value, or what a fault makes of it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, value any) {
	if serving.TakeOne(&s.Faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if s.Faults.Unresponsive.Load() {
		<-r.Context().Done()
		return
	}
	serving.WriteJSON(w, value)
}

// count counts one execution; the caller holds mu.
func (s *Server) count(id string) {
	if s.executions == nil {
		s.executions = make(map[string]int)
	}
	s.executions[id]++
}

func (s *Server) countExecutions(w http.ResponseWriter, r *http.Request) {
	serving.WriteJSON(w, s.Executions(serving.PathValue(r, "id")))
}

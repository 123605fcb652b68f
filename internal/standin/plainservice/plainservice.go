// Package plainservice is a stand-in for a plain service, which is a service without a
// model: a booking desk with bookings, check-ins and a tide table.
package plainservice

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/cutanswer"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// answerHead is the head of a response that Faults.CutHeads cuts.
const answerHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n"

// Faults holds the faults that a test injects. They may be switched while the
// service runs.
type Faults struct {
	// Down refuses every request with status 503 before it runs.
	Down atomic.Bool
	// SlowMillis delays every request before it runs, in milliseconds.
	SlowMillis atomic.Int64
	// Unresponsive makes the service run requests without ever responding.
	Unresponsive atomic.Bool
	// LoseAnswers is the number of upcoming requests that run but whose connection
	// is dropped before the response.
	LoseAnswers atomic.Int64
	// CutHeads is the number of upcoming requests that run but whose response ends within its head:
	// that number of bytes before the end of the head, so that each request gets one byte more.
	CutHeads atomic.Int64
	// LoseTides drops the connection of every request for tides that has run.
	LoseTides atomic.Bool
}

// Booking is the response to POST /bookings.
type Booking struct {
	// Number is the number of the booking, counted from 1. A retried request gets
	// a new booking.
	Number int
	// RequestID is the ID that the request carried.
	RequestID string
}

// CheckIn is the response to POST /check-ins.
type CheckIn struct {
	// RequestID is the ID that the request carried.
	RequestID string
}

// Tide is one high or low tide.
type Tide struct {
	// Time is the local time of day, as in 04:10.
	Time string
	// HeightCentimetres is the height above chart datum, in centimetres.
	HeightCentimetres int
}

// Tides is the response to GET /tides.
type Tides struct {
	// Tides holds the tides of a day, earliest first.
	Tides []Tide
}

var fixedTides = Tides{Tides: []Tide{
	{Time: "04:10", HeightCentimetres: 380},
	{Time: "10:25", HeightCentimetres: 60},
	{Time: "16:35", HeightCentimetres: 370},
	{Time: "22:45", HeightCentimetres: 70},
}}

// Server is a plain service. Its exported fields must be set before it is used; only
// Faults may be switched later.
type Server struct {
	// Address is the host and port to listen on.
	Address string
	// Faults holds the injected faults.
	Faults Faults

	listener serving.Listener
	// received is the number of calls that arrived, before any fault applies.
	received atomic.Int64

	mu sync.Mutex
	// bookings holds the request ID of each booking, in order.
	bookings []string
	// executions counts how often each request ran, by request ID.
	executions map[string]int
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

// Handler returns a handler that serves the calls of the service.
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

// countReceived is a middleware that counts each call when it arrives.
func (s *Server) countReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.received.Add(1)
		next.ServeHTTP(w, r)
	})
}

// Received returns the number of calls that arrived, whether or not they ran.
func (s *Server) Received() int {
	return int(s.received.Load())
}

// Executions returns how often the request id ran.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// Bookings returns the number of bookings.
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
	if s.Faults.LoseTides.Load() {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, fixedTides)
}

// readRequest reads the whole body and returns the request ID. If the body is
// incomplete, it responds with an error and returns false, and the request does not
// run.
func readRequest(w http.ResponseWriter, r *http.Request) (string, bool) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, plainservice.MaxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	return r.Header.Get(plainservice.RequestHeader), true
}

// answer responds with value, unless a fault drops the connection or withholds the
// response.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, value any) {
	if serving.TakeOne(&s.Faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if missing := serving.TakeNext(&s.Faults.CutHeads); missing > 0 {
		cutanswer.CutBefore(answerHead, int(missing)).Serve(w, r)
		return
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

// Package weights stands in for the platform's rate-limited weight store.
package weights

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

const (
	secondsPerMinute = 60
	millisPerSecond  = 1000
)

// Faults are switched while the store is in use.
type Faults struct {
	// Down refuses every call.
	Down atomic.Bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis atomic.Int64
	// LoseAnswers is how many coming loads are done while their connection
	// drops.
	LoseAnswers atomic.Int64
}

// Server serves a weight store. Its exported fields are set before it is used;
// Faults may be switched at any time.
type Server struct {
	// Address is host and port to listen on.
	Address string
	// LoadsPerMinute is the rate limit of all loads; 0 sets none.
	LoadsPerMinute int
	// Burst is how many loads may come at once; 0 means 1.
	Burst int
	// MaxWaitMillis is how long a load waits for the rate limit, in
	// milliseconds; one that would wait longer is refused.
	MaxWaitMillis int
	// LoadMillis is how long a load takes, in milliseconds.
	LoadMillis int
	// Versions are the known versions of each model; nil knows all.
	Versions map[string][]string
	// Faults are switched while the store is in use.
	Faults Faults

	listener serving.Listener

	mu      sync.Mutex
	limiter *rate.Limiter
	loads   map[Weights]int
}

// Weights names the weights of one version of a model.
type Weights struct {
	// Model names the model.
	Model string
	// Version names the version.
	Version string
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return s.listener.Serve(ctx, s.Address, s.Handler())
}

// Addr waits until Run listens and returns the address.
func (s *Server) Addr() string {
	return s.listener.Addr()
}

// Handler serves the store's protocol.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/weights/{model}/{version}/load", s.load).Methods(http.MethodPost)
	r.Use(serving.Outage(&s.Faults.Down, &s.Faults.SlowMillis))
	return r
}

// Loads counts the loads of one version of a model that were done.
func (s *Server) Loads(weights Weights) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads[weights]
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	weights := Weights{Model: serving.PathValue(r, "model"), Version: serving.PathValue(r, "version")}
	if !s.knows(weights) {
		http.Error(w, "no such weights", http.StatusNotFound)
		return
	}
	wait, ok := s.reserve()
	if !ok {
		seconds := int(math.Ceil(wait.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	// Rounded up, so that no load comes before its place.
	millis := int64(math.Ceil(wait.Seconds()*millisPerSecond)) + int64(s.LoadMillis)
	if err := serving.Delay(r.Context(), millis); err != nil {
		return
	}
	s.count(weights)
	if serving.TakeOne(&s.Faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

// reserve takes a place under the rate limit. It returns the wait for it, and
// false when that is too long and no place was taken.
func (s *Server) reserve() (time.Duration, bool) {
	if s.LoadsPerMinute == 0 {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		perSecond := rate.Limit(s.LoadsPerMinute) / secondsPerMinute
		s.limiter = rate.NewLimiter(perSecond, max(s.Burst, 1))
	}
	reservation := s.limiter.Reserve()
	wait := reservation.Delay()
	if wait <= time.Duration(s.MaxWaitMillis)*time.Millisecond {
		return wait, true
	}
	reservation.Cancel()
	return wait, false
}

func (s *Server) knows(weights Weights) bool {
	if s.Versions == nil {
		return true
	}
	return slices.Contains(s.Versions[weights.Model], weights.Version)
}

func (s *Server) count(weights Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loads == nil {
		s.loads = make(map[Weights]int)
	}
	s.loads[weights]++
}

// Package weights is a stand-in for the platform's rate-limited weight store, from which
// the weights of model versions are loaded. It delivers no data: a load only takes its
// time and is counted.
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

// Faults holds the faults that a test injects. They may be switched while the
// store is in use.
type Faults struct {
	// Down refuses every call with status 503.
	Down atomic.Bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis atomic.Int64
	// LoseAnswers is the number of upcoming loads that complete but whose
	// connection is dropped before the response.
	LoseAnswers atomic.Int64
}

// Server is a weight store. Its exported fields must be set before it is used; only
// Faults may be switched later.
type Server struct {
	// Address is the host and port to listen on.
	Address string
	// LoadsPerMinute is the rate limit for all loads together; 0 sets no limit.
	LoadsPerMinute int
	// Burst is the number of loads that may start at once; 0 means 1.
	Burst int
	// MaxWaitMillis is how long a load may wait for the rate limit, in
	// milliseconds. A load that would have to wait longer is refused.
	MaxWaitMillis int
	// LoadMillis is the duration of a load, in milliseconds.
	LoadMillis int
	// Versions holds the existing versions of each model; nil means that every
	// version of every model exists.
	Versions map[string][]string
	// Faults holds the injected faults.
	Faults Faults

	listener serving.Listener

	mu      sync.Mutex
	limiter *rate.Limiter
	// loads counts the completed loads.
	loads map[Weights]int
}

// Weights identifies the weights of one version of a model.
type Weights struct {
	// Model is the name of the model.
	Model string
	// Version is the version of the model.
	Version string
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

// Handler returns a handler that serves the store's protocol.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/weights/{model}/{version}/load", s.load).Methods(http.MethodPost)
	r.Use(serving.Outage(&s.Faults.Down, &s.Faults.SlowMillis))
	return r
}

// Loads returns the number of completed loads of one version of a model.
func (s *Server) Loads(weights Weights) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads[weights]
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	weights := Weights{Model: serving.PathValue(r, "model"), Version: serving.PathValue(r, "version")}
	if !s.has(weights) {
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
	// Round up, so that no load starts before its reserved time.
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

// reserve reserves a load under the rate limit. It returns the time until the load
// may start, and false if that exceeds MaxWaitMillis; nothing is reserved then.
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

// has reports whether the weights exist in the store.
func (s *Server) has(weights Weights) bool {
	if s.Versions == nil {
		return true
	}
	return slices.Contains(s.Versions[weights.Model], weights.Version)
}

// count counts a completed load.
func (s *Server) count(weights Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loads == nil {
		s.loads = make(map[Weights]int)
	}
	s.loads[weights]++
}

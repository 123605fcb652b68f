// Package engine stands in for a model engine: continuous batching in limited
// memory, a prefix cache, priorities, preemption and resumption.
package engine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

const (
	defaultMemoryTokens = 4096
	defaultStepMillis   = 5
	// maxEndedGenerations bounds the ended generations that streams can attach to.
	maxEndedGenerations = 1024
)

// Server is a model engine. Its exported fields are set before Run, Loop or
// Handler are called; Faults may be switched at any time.
type Server struct {
	// Address is host and port to listen on.
	Address string
	// MemoryTokens is the memory for prompts and outputs, in tokens; 0 means
	// defaultMemoryTokens.
	MemoryTokens int
	// StepMillis is the time of one step, in milliseconds; 0 means
	// defaultStepMillis.
	StepMillis int
	// MaxBatch bounds the running generations; 0 sets no bound.
	MaxBatch int
	// PrefillTokens is how many prompt tokens a generation computes in one
	// step before it produces; 0 makes the prompt free.
	PrefillTokens int
	// LoadLagMillis is the least age of a reported load, in milliseconds.
	LoadLagMillis int
	// CacheEventLagMillis is how late cache events are told, in milliseconds.
	CacheEventLagMillis int
	// CacheEventGapEvery leaves out each event whose sequence it divides; 0
	// leaves out none.
	CacheEventGapEvery int
	// ChecksFencing says whether orders with an old fencing number are refused.
	ChecksFencing bool
	// HidesState says that the engine does not report its state.
	HidesState bool
	// Seed varies lengths and texts.
	Seed uint64
	// Words are the texts of tokens; none means a built-in list.
	Words []string
	// OutputLength gives the length of an output, in tokens; nil means
	// HeavyTailedLength.
	OutputLength func(prompt string, seed uint64) int
	// Faults are switched while the engine runs.
	Faults Faults

	listener serving.Listener

	mu    sync.Mutex
	batch *Batch
	keys  uint64
	// live holds the generations of the batch by key.
	live map[uint64]*generation
	// latest holds the last generation of each request.
	latest     map[string]*generation
	executions map[string]int
	loads      loadHistory
	// lastLoad is what was last reported.
	lastLoad  engine.Load
	cacheFeed cacheFeed
	orders    orderState
	// finished names the ended generations that are kept, oldest first.
	finished []*generation
	// stallCount counts the calls of SilenceStreams.
	stallCount atomic.Int64
	// crashed is closed and replaced by Crash.
	crashed chan struct{}
}

// Run listens and steps until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	handler := s.Handler()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.listener.Serve(ctx, s.Address, handler) })
	g.Go(func() error { return s.RunSteps(ctx) })
	return g.Wait()
}

// Addr waits until Run listens and returns the address.
func (s *Server) Addr() string {
	return s.listener.Addr()
}

// RunSteps steps until ctx ends. Run does it too; it is for use with Handler.
func (s *Server) RunSteps(ctx context.Context) error {
	millis := s.StepMillis
	if millis <= 0 {
		millis = defaultStepMillis
	}
	ticker := time.NewTicker(time.Duration(millis) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.Step()
		}
	}
}

// Handler serves the engine's protocol; Loop must run beside it, or Step be
// called.
func (s *Server) Handler() http.Handler {
	s.mu.Lock()
	s.init()
	s.mu.Unlock()
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/completions", s.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions/{id}", s.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/orders", s.order).Methods(http.MethodPost)
	r.HandleFunc("/orders", s.reportState).Methods(http.MethodGet)
	r.HandleFunc("/load", s.load).Methods(http.MethodGet)
	r.HandleFunc("/cache-events", s.cacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/executions/{id}", s.countExecutions).Methods(http.MethodGet)
	r.Use(s.failWhenDown)
	return r
}

// Executions counts how often the request of id was started.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// Starts counts how often any request was started.
func (s *Server) Starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.executions {
		total += count
	}
	return total
}

// Crash drops all streams and forgets all generations, the highest fencing
// number and what orders have loaded; the engine is up again at once, unless
// Faults.Down is set. Executions and Orders stay, since they are the tests'
// record and not the engine's.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.batch = s.newBatch()
	clear(s.live)
	clear(s.latest)
	s.finished = nil
	s.orders.highest = 0
	s.orders.state = engine.State{}
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// init makes what Run needs; the caller holds mu.
func (s *Server) init() {
	if s.batch != nil {
		return
	}
	s.batch = s.newBatch()
	s.live = make(map[uint64]*generation)
	s.latest = make(map[string]*generation)
	s.executions = make(map[string]int)
	s.crashed = make(chan struct{})
}

func (s *Server) newBatch() *Batch {
	return &Batch{MemoryTokens: s.memoryTokens(), MaxBatch: s.MaxBatch, PrefillTokens: s.PrefillTokens}
}

func (s *Server) memoryTokens() int {
	if s.MemoryTokens == 0 {
		return defaultMemoryTokens
	}
	return s.MemoryTokens
}

// begin starts a generation for req.
func (s *Server) begin(req engine.Request) *generation {
	s.keys++
	g := newGeneration(req, s.keys)
	s.executions[req.ID]++
	s.live[g.key] = g
	s.latest[req.ID] = g
	length := s.outputLength(req.Prompt)
	if req.MaxTokens > 0 {
		length = min(length, req.MaxTokens)
	}
	s.batch.Add(Job{
		Key:          g.key,
		Priority:     req.Priority,
		PromptTokens: promptTokens(req.Prompt),
		PrefixHash:   req.PrefixHash,
		PrefixTokens: prefixTokens(req.Prompt),
		OutputTokens: length,
	})
	return g
}

// Package engine is a stand-in for a model engine, for tests and trial deployments. It
// has continuous batching in limited memory, a prefix cache, priorities, preemption and
// resumption.
//
// Batch models the scheduling and the memory of an engine without clock or I/O. It
// computes in steps, in each of which every running generation produces at most one
// token. A generation is one execution of a request. When memory runs out, the batch
// preempts a generation: the generation loses its memory, waits in the queue, and
// resumes at the position that it had reached. Server runs a Batch in real time, serves
// the HTTP protocol of an engine, and injects faults.
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
	// maxEndedGenerations is the number of ended generations that are kept so that
	// streams can still attach to them.
	maxEndedGenerations = 1024
)

// Server is a model engine. Its exported fields must be set before Run, RunSteps or
// Handler is called; only Faults may be switched later.
type Server struct {
	// Address is the host and port to listen on.
	Address string
	// MemoryTokens is the memory for prompts and outputs, in tokens; 0 means
	// defaultMemoryTokens.
	MemoryTokens int
	// StepMillis is the duration of one step, in milliseconds; 0 means
	// defaultStepMillis.
	StepMillis int
	// MaxBatch is the maximum number of running generations; 0 sets no limit.
	MaxBatch int
	// PrefillTokens is the number of prompt tokens that a generation computes in
	// one step, before it produces output; 0 computes any prompt in no time.
	PrefillTokens int
	// LoadLagMillis is the minimum age of a reported load, in milliseconds.
	LoadLagMillis int
	// CacheEventLagMillis is the delay until a cache event is reported, in
	// milliseconds.
	CacheEventLagMillis int
	// CacheEventGapEvery omits each cache event whose sequence number is a
	// multiple of it; 0 omits none.
	CacheEventGapEvery int
	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool
	// HidesState makes the engine respond with status 404 to queries of its state.
	HidesState bool
	// Seed varies the lengths and the texts of outputs.
	Seed uint64
	// Words holds the words that token texts are taken from; empty means
	// defaultWords.
	Words []string
	// OutputLength returns the length of an output, in tokens; nil means
	// HeavyTailedLength.
	OutputLength func(prompt string, seed uint64) int
	// Faults holds the injected faults.
	Faults Faults

	listener serving.Listener

	mu    sync.Mutex
	batch *Batch
	// lastKey is the key of the newest generation. Keys are counted from 1.
	lastKey uint64
	// live holds the generations that have not ended, by key.
	live map[uint64]*generation
	// latest holds the newest generation of each request, by request ID.
	latest map[string]*generation
	// executions counts how often each request was started, by request ID.
	executions map[string]int
	loads      loadHistory
	// lastLoad is the load that was last reported.
	lastLoad  engine.Load
	cacheFeed cacheFeed
	orders    orderState
	// finished holds the ended generations that are kept, oldest first.
	finished []*generation
	// stallCount counts the calls of StallOpenStreams. A stream that was opened at
	// a lower count is stalled.
	stallCount atomic.Int64
	// crashed is closed and replaced by each Crash.
	crashed chan struct{}
}

// Run listens, and runs steps at an interval of StepMillis, until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	handler := s.Handler()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.listener.Serve(ctx, s.Address, handler) })
	g.Go(func() error { return s.RunSteps(ctx) })
	return g.Wait()
}

// Addr waits until Run listens and returns the address; it is empty if Run could
// not listen.
func (s *Server) Addr() string {
	return s.listener.Addr()
}

// RunSteps runs steps at an interval of StepMillis until ctx ends. It is for callers
// that use Handler instead of Run.
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

// Handler returns a handler that serves the engine's protocol. The caller must also
// run RunSteps or call Step, otherwise generations make no progress.
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

// Executions returns how often the request id was started.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// Starts returns the total number of started generations.
func (s *Server) Starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.executions {
		total += count
	}
	return total
}

// OpenGenerations returns the number of generations that have not ended.
func (s *Server) OpenGenerations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live)
}

// Crash breaks all streams and discards all generations, the highest fencing number
// and the state that orders have set. The engine restarts at once, unless
// Faults.Down is set. Executions and Orders keep their contents, because they are
// records for tests and not state of the engine.
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

// init creates the batch and the maps on first use; the caller holds mu.
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

// begin starts a generation for req; the caller holds mu.
func (s *Server) begin(req engine.Request) *generation {
	s.lastKey++
	g := newGeneration(req, s.lastKey)
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

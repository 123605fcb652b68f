package simulation

import (
	"fmt"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/preemption"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

const (
	// pollMicros is the interval at which a backend server checks its queue, in
	// microseconds.
	pollMicros = 250 * microsPerMilli
	// progressTokens is the number of tokens after which the progress of a
	// generation is reported to the admission controller.
	progressTokens = 8
	// stepSmoothing is the weight of the latest step in the moving average of the
	// step duration.
	stepSmoothing = 0.05
)

// server is a backend server with the process beside it.
type server struct {
	index int
	name  string
	zone  string
	model EngineModel
	// incarnation is the number of times that the server has failed.
	incarnation int
	alive       bool

	batch *engine.Batch
	// controller is the admission controller; nil for baseline policies.
	controller *admission.Controller
	// calls holds the open calls on the server, by key.
	calls map[uint64]*call
	// byID holds the same calls by request ID.
	byID map[string]*call
	// stepping reports whether a step is scheduled.
	stepping bool
	// prefilling is the number of generations that computed a part of their prompt
	// in the last step.
	prefilling int
	// stepMicros is the moving average of the step duration, in microseconds.
	stepMicros float64
}

func newServer(t Trial, index, zone int) *server {
	s := &server{
		index: index,
		name:  serverName(index),
		zone:  fmt.Sprint("zone ", zone),
		model: t.Deployment.Engine,
	}
	s.reset(t.Policy)
	return s
}

// reset creates an empty engine and, for Forecast, an empty admission controller.
func (s *server) reset(p Policy) {
	s.alive = true
	s.stepping = false
	s.calls = map[uint64]*call{}
	s.byID = map[string]*call{}
	s.batch = &engine.Batch{
		MemoryTokens:  s.model.MemoryTokens,
		MaxBatch:      s.model.BatchLimit,
		PrefillTokens: s.model.PrefillTokens,
	}
	s.stepMicros = float64(s.model.StepMicros)
	if f, ok := p.(Forecast); ok {
		s.controller = &admission.Controller{
			Policy:         f.Admission,
			CapacityTokens: s.model.MemoryTokens,
			BatchLimit:     s.model.BatchLimit,
			StepMicros:     s.model.StepMicros,
			Lengths:        &outputlength.Model{},
		}
	}
}

// load returns the load that the backend server reports.
func (s *server) load() admission.Load {
	if s.controller != nil {
		return s.controller.Load()
	}
	memory := (s.batch.MemoryUsed() - s.batch.CachedTokens()) * 1000 / s.model.MemoryTokens
	return admission.Load{
		Running:          s.batch.Running(),
		Waiting:          s.batch.Waiting(),
		MemoryPermille:   memory,
		ForecastPermille: memory,
	}
}

// stepDuration returns the duration of the next step, in microseconds.
func (s *server) stepDuration() int64 {
	return int64(s.model.StepMicros +
		s.batch.Running()*s.model.SequenceMicros +
		s.prefilling*s.model.PrefillMicros)
}

// busy reports whether the engine has work.
func (s *server) busy() bool {
	return s.batch.Running()+s.batch.Waiting() > 0
}

// start starts a call on the engine.
func (s *server) start(c *call) {
	c.started = true
	priority := c.class.Priority
	if s.controller != nil {
		priority = preemption.EnginePriority(priority, c.class.Repeatable)
	}
	s.batch.Add(c.job(priority))
}

// addCall adds a call to the open calls of the backend server.
func (s *server) addCall(c *call) {
	c.server = s
	s.calls[c.key] = c
	s.byID[c.id] = c
}

// removeCall removes a call from the open calls of the backend server.
func (s *server) removeCall(c *call) {
	c.server = nil
	c.preempted = false
	delete(s.calls, c.key)
	delete(s.byID, c.id)
}

// release removes a call that has ended or was cancelled, and releases its memory
// reservation.
func (s *server) release(c *call) {
	s.removeCall(c)
	if s.controller != nil {
		s.controller.Release(c.id)
	}
}

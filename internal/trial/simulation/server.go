package simulation

import (
	"fmt"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/preemption"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

const (
	// pollMicros is the interval at which a backend server looks through its
	// queue.
	pollMicros = 250 * microsPerMilli
	// progressTokens is how often the admission controller hears of a generation's progress.
	progressTokens = 8
	// stepSmoothing is the weight of the latest step in the mean.
	stepSmoothing = 0.05
)

// server is a backend server with the process beside it.
type server struct {
	index int
	name  string
	zone  string
	model EngineModel
	// incarnation counts the losses.
	incarnation int
	alive       bool

	batch *engine.Batch
	// controller is nil for baselines.
	controller *admission.Controller
	// calls holds the open calls by key.
	calls map[uint64]*call
	// byID holds the same calls by identity.
	byID map[string]*call
	// stepping tells whether a step is scheduled.
	stepping bool
	// prefilling counts the generations that computed their prompt in the last
	// step.
	prefilling int
	// stepMicros is the smoothed time of a step.
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

// reset puts an empty engine and an empty admission controller in place.
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

// load returns what the backend server reports.
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

// stepDuration returns the time of the next step.
func (s *server) stepDuration() int64 {
	return int64(s.model.StepMicros +
		s.batch.Running()*s.model.SequenceMicros +
		s.prefilling*s.model.PrefillMicros)
}

// busy tells whether the engine has work.
func (s *server) busy() bool {
	return s.batch.Running()+s.batch.Waiting() > 0
}

// start puts a call on the engine.
func (s *server) start(c *call) {
	c.started = true
	priority := c.class.Priority
	if s.controller != nil {
		priority = preemption.EnginePriority(priority, c.class.Repeatable)
	}
	s.batch.Add(c.job(priority))
}

// addCall counts a call to the backend server.
func (s *server) addCall(c *call) {
	c.server = s
	s.calls[c.key] = c
	s.byID[c.id] = c
}

// removeCall is the reverse of take.
func (s *server) removeCall(c *call) {
	c.server = nil
	c.preempted = false
	delete(s.calls, c.key)
	delete(s.byID, c.id)
}

// release drops a call that has ended or was cancelled.
func (s *server) release(c *call) {
	s.removeCall(c)
	if s.controller != nil {
		s.controller.Release(c.id)
	}
}

package simulation

import (
	"slices"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/preemption"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

// offer brings a call to a backend server.
func (w *simulator) offer(c *call, s *server) {
	if s.controller == nil {
		s.addCall(c)
		s.start(c)
		w.scheduleStep(s)
		return
	}
	decision := s.controller.Offer(c.request(), timeAt(w.now))
	c.entry.updateLoad(s, w.now)
	switch d := decision.(type) {
	case admission.Admit:
		s.addCall(c)
		s.start(c)
		w.scheduleStep(s)
	case admission.Wait:
		s.addCall(c)
	case admission.Refuse:
		w.recordRefusal(c, s, d.RetryAt)
	}
}

// scheduleStep schedules a step of an engine that has work.
func (w *simulator) scheduleStep(s *server) {
	if s.stepping || !s.busy() {
		return
	}
	s.stepping = true
	w.events.schedule(w.now+s.stepDuration(), stepEvent{server: s, incarnation: s.incarnation})
}

// step runs one step of an engine.
func (w *simulator) step(s *server) {
	s.stepping = false
	w.preemptForUrgent(s)
	tokens, finished := 0, false
	for _, change := range s.batch.Step() {
		if change.Kind == engine.TokenProduced {
			tokens++
		}
		finished = w.apply(s, change) || finished
	}
	s.prefilling = max(0, s.batch.Running()-tokens)
	s.stepMicros += stepSmoothing * (float64(s.stepDuration()) - s.stepMicros)
	if finished {
		w.startAdmitted(s)
	}
	w.scheduleStep(s)
}

// apply records one change of an engine and tells whether a call has ended.
func (w *simulator) apply(s *server, change engine.Change) bool {
	if change.Kind == engine.PrefixStored || change.Kind == engine.PrefixEvicted {
		w.updatePrefixes(s, change)
		return false
	}
	c, ok := s.calls[change.Key]
	if !ok {
		return false
	}
	switch change.Kind {
	default:
	case engine.TokenProduced:
		w.recordToken(s, c)
	case engine.JobPreempted:
		c.preemptions++
		c.preempted = true
	case engine.JobResumed:
		c.preempted = false
	case engine.JobFinished:
		s.release(c)
		if s.controller != nil {
			s.controller.Lengths.Observe(c.class.Label, c.accountName(), c.outputTokens)
		}
		w.end(c, stateCompleted)
		return true
	case engine.JobFailed:
		s.release(c)
		w.end(c, stateLost)
		return true
	}
	return false
}

// recordToken records one token of a call.
func (w *simulator) recordToken(s *server, c *call) {
	if gap := c.recordToken(w.now); gap > 0 && c.measured {
		recordMicros(w.report.class(c).Gap, gap)
	}
	if s.controller != nil && c.produced%progressTokens == 0 {
		_ = s.controller.Progress(c.id, c.produced)
	}
}

// updatePrefixes tells the entry hosts of a change of a prefix cache.
func (w *simulator) updatePrefixes(s *server, change engine.Change) {
	for _, e := range w.entries {
		if change.Kind == engine.PrefixStored {
			e.prefixes[s.index][change.PrefixHash] = true
			continue
		}
		delete(e.prefixes[s.index], change.PrefixHash)
	}
}

// startAdmitted puts the waiting calls that fit now on the engine.
func (w *simulator) startAdmitted(s *server) {
	if s.controller == nil {
		return
	}
	s.controller.SetStep(int(s.stepMicros))
	for _, admit := range s.controller.Next(timeAt(w.now)) {
		s.start(s.byID[admit.RequestID])
	}
	w.scheduleStep(s)
}

// poll lets a backend server look through its queue.
func (w *simulator) poll(s *server) {
	w.events.schedule(w.now+pollMicros, pollEvent{s})
	if !s.alive || s.controller == nil {
		return
	}
	for _, refuse := range s.controller.Expire(timeAt(w.now)) {
		c := s.byID[refuse.RequestID]
		s.release(c)
		w.recordRefusal(c, s, refuse.RetryAt)
	}
	w.startAdmitted(s)
}

// preemptForUrgent preempts generations of the project's choice when the next step
// would exceed the memory.
func (w *simulator) preemptForUrgent(s *server) {
	f, ok := w.trial.Policy.(Forecast)
	if !ok || f.EngineChooses {
		return
	}
	need := s.need()
	if !need.Urgent {
		return
	}
	rules := preemption.CostWeights{
		StallWeight:      f.Admission.StallWeight,
		PreemptionWeight: f.Admission.PreemptionWeight,
	}
	if p, ok := preemption.Choose(need, s.generations(), rules).(preemption.Preempt); ok {
		for _, v := range p.Victims {
			s.batch.Preempt(s.byID[v.RequestID].key)
		}
	}
}

// need returns the memory that the next step lacks: a token for each running
// generation, and the prompts of the urgent ones that have not begun.
func (s *server) need() preemption.Need {
	free := s.model.MemoryTokens - s.batch.MemoryUsed() + s.batch.CachedTokens()
	need := preemption.Need{Tokens: s.batch.Running() - free, Slots: s.controller.Excess()}
	for _, c := range s.calls {
		if c.preempted {
			need.Slots--
		}
		if c.class.Urgent && c.started && c.produced == 0 {
			need.Tokens += c.class.PromptTokens + 1
			need.Urgent = true
			need.Priority = max(need.Priority, c.class.Priority)
		}
	}
	return need
}

// generations returns the generations that hold memory.
func (s *server) generations() []preemption.Generation {
	var out []preemption.Generation
	for _, r := range s.controller.Running() {
		c := s.byID[r.RequestID]
		if c.preempted {
			continue
		}
		out = append(out, preemption.Generation{
			RequestID:    r.RequestID,
			Priority:     r.Priority,
			Urgent:       r.Urgent,
			Repeatable:   r.Repeatable,
			PromptTokens: r.PromptTokens,
			CachedTokens: c.class.PrefixTokens,
			Produced:     c.produced,
			Delivered:    c.produced,
			Remaining:    s.controller.Lengths.Remaining(r.Class, r.Account, c.produced, 0.5),
			Preemptions:  c.preemptions,
		})
	}
	return out
}

// probe refreshes what an entry host knows of one backend server.
func (w *simulator) probe(p probeEvent) {
	w.events.schedule(w.now+probeMicros, p)
	if s := w.servers[p.index]; s.alive {
		p.entry.updateLoad(s, w.now)
	} else {
		p.entry.avoid(s, timeAt(w.now).Add(avoidMillis*time.Millisecond))
	}
}

// failServers takes backend servers away with all that runs on them.
func (w *simulator) failServers() {
	lost := w.selectFailing()
	for _, s := range lost {
		s.alive = false
		s.incarnation++
		for _, c := range s.openCalls() {
			s.removeCall(c)
			if c.started && !c.class.Repeatable {
				w.end(c, stateLost)
				continue
			}
			c.resetOutput()
			w.retry(c, retrybudget.OutcomeUnknown, time.Time{})
		}
	}
	w.events.schedule(w.now+outageSeconds*microsPerSecond, recoveryEvent{lost})
}

// selectFailing returns the backend servers that a scenario takes away.
func (w *simulator) selectFailing() []*server {
	switch w.trial.Scenario.Loss.(type) {
	case ServerLoss:
		return []*server{slices.MaxFunc(w.servers, func(first, second *server) int {
			return first.batch.MemoryUsed() - second.batch.MemoryUsed()
		})}
	case ZoneLoss:
		var lost []*server
		for _, s := range w.servers {
			if s.zone == w.servers[0].zone {
				lost = append(lost, s)
			}
		}
		return lost
	default:
		return nil
	}
}

// openCalls returns the open calls in the order of their keys.
func (s *server) openCalls() []*call {
	out := make([]*call, 0, len(s.calls))
	for _, c := range s.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(first, second *call) int {
		return int(first.key) - int(second.key)
	})
	return out
}

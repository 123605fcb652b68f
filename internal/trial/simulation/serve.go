package simulation

import (
	"slices"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/preemption"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

// offer submits a call to a backend server. With a baseline policy, the engine takes
// every call; otherwise the admission controller decides.
func (m *simulator) offer(c *call, s *server) {
	if s.controller == nil {
		s.addCall(c)
		s.start(c)
		m.scheduleStep(s)
		return
	}
	decision := s.controller.Offer(c.request(), timeAt(m.now))
	c.entry.updateLoad(s, m.now)
	switch d := decision.(type) {
	case admission.Admit:
		s.addCall(c)
		s.start(c)
		m.scheduleStep(s)
	case admission.Wait:
		s.addCall(c)
	case admission.Refuse:
		m.recordRefusal(c, s, d.RetryAt)
	}
}

// scheduleStep schedules the next step of an engine, if it has work and no step is
// scheduled yet.
func (m *simulator) scheduleStep(s *server) {
	if s.stepping || !s.busy() {
		return
	}
	s.stepping = true
	m.events.schedule(m.now+s.stepDuration(), stepEvent{server: s, incarnation: s.incarnation})
}

// step runs one step of an engine and applies its changes.
func (m *simulator) step(s *server) {
	s.stepping = false
	m.preemptForUrgent(s)
	tokens, finished := 0, false
	for _, change := range s.batch.Step() {
		if change.Kind == engine.TokenProduced {
			tokens++
		}
		finished = m.apply(s, change) || finished
	}
	s.prefilling = max(0, s.batch.Running()-tokens)
	s.stepMicros += stepSmoothing * (float64(s.stepDuration()) - s.stepMicros)
	if finished {
		m.startAdmitted(s)
	}
	m.scheduleStep(s)
}

// apply applies one change of an engine and reports whether a call has ended.
func (m *simulator) apply(s *server, change engine.Change) bool {
	if change.Kind == engine.PrefixStored || change.Kind == engine.PrefixEvicted {
		m.updatePrefixes(s, change)
		return false
	}
	c, ok := s.calls[change.Key]
	if !ok {
		return false
	}
	switch change.Kind {
	default:
	case engine.TokenProduced:
		m.recordToken(s, c)
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
		m.end(c, stateCompleted)
		return true
	case engine.JobFailed:
		s.release(c)
		m.end(c, stateLost)
		return true
	}
	return false
}

// recordToken records one token of a call and reports the progress to the admission
// controller.
func (m *simulator) recordToken(s *server, c *call) {
	if gap := c.recordToken(m.now); gap > 0 && c.measured {
		recordMicros(m.report.class(c).Gap, gap)
	}
	if s.controller != nil && c.produced%progressTokens == 0 {
		_ = s.controller.Progress(c.id, c.produced)
	}
}

// updatePrefixes updates the entry hosts' views of a prefix cache after a change.
func (m *simulator) updatePrefixes(s *server, change engine.Change) {
	for _, e := range m.entries {
		if change.Kind == engine.PrefixStored {
			e.prefixes[s.index][change.PrefixHash] = true
			continue
		}
		delete(e.prefixes[s.index], change.PrefixHash)
	}
}

// startAdmitted starts the waiting calls that the admission controller admits now.
func (m *simulator) startAdmitted(s *server) {
	if s.controller == nil {
		return
	}
	s.controller.SetStep(int(s.stepMicros))
	for _, admit := range s.controller.Next(timeAt(m.now)) {
		s.start(s.byID[admit.RequestID])
	}
	m.scheduleStep(s)
}

// poll refuses the expired calls in the queue of a backend server and starts those
// that fit.
func (m *simulator) poll(s *server) {
	m.events.schedule(m.now+pollMicros, pollEvent{s})
	if !s.alive || s.controller == nil {
		return
	}
	for _, refuse := range s.controller.Expire(timeAt(m.now)) {
		c := s.byID[refuse.RequestID]
		s.release(c)
		m.recordRefusal(c, s, refuse.RetryAt)
	}
	m.startAdmitted(s)
}

// preemptForUrgent preempts generations that preemption.Choose selects, if urgent
// calls need memory or slots for the next step. It does nothing if the policy leaves
// this choice to the engine.
func (m *simulator) preemptForUrgent(s *server) {
	f, ok := m.trial.Policy.(Forecast)
	if !ok || f.EngineChooses {
		return
	}
	need := s.need()
	if !need.Urgent {
		return
	}
	weights := preemption.CostWeights{
		StallWeight:      f.Admission.StallWeight,
		PreemptionWeight: f.Admission.PreemptionWeight,
	}
	if p, ok := preemption.Choose(need, s.generations(), weights).(preemption.Preempt); ok {
		for _, v := range p.Victims {
			s.batch.Preempt(s.byID[v.RequestID].key)
		}
	}
}

// need returns the memory and the slots that the next step lacks. The step needs one
// token for each running generation, and the prompt and one token for each urgent
// call that has produced no token yet.
func (s *server) need() preemption.Need {
	free := s.model.MemoryTokens - s.batch.MemoryUsed() + s.batch.CachedTokens()
	need := preemption.Need{Tokens: s.batch.Running() - free, Slots: s.controller.Excess()}
	for _, c := range s.calls {
		if c.preempted {
			need.Slots-- // Excess counts the call, but the call holds no slot.
		}
		if c.class.Urgent && c.started && c.produced == 0 {
			need.Tokens += c.class.PromptTokens + 1
			need.Urgent = true
			need.Priority = max(need.Priority, c.class.Priority)
		}
	}
	return need
}

// generations returns the generations that hold memory on the engine.
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

// probe refreshes an entry host's cached load of a backend server. If the server has
// failed, the entry host avoids it for avoidMillis.
func (m *simulator) probe(p probeEvent) {
	m.events.schedule(m.now+probeMicros, p)
	if s := m.servers[p.index]; s.alive {
		p.entry.updateLoad(s, m.now)
	} else {
		p.entry.avoid(s, timeAt(m.now).Add(avoidMillis*time.Millisecond))
	}
}

// failServers fails the backend servers that the scenario selects. Calls on them are
// retried if the retry budget permits it; started calls that are not retryable are lost.
func (m *simulator) failServers() {
	lost := m.selectFailing()
	for _, s := range lost {
		s.alive = false
		s.incarnation++
		for _, c := range s.openCalls() {
			s.removeCall(c)
			if c.started && !c.class.Repeatable {
				m.end(c, stateLost)
				continue
			}
			c.resetOutput()
			m.retry(c, retrybudget.OutcomeUnknown, time.Time{})
		}
	}
	m.events.schedule(m.now+outageSeconds*microsPerSecond, recoveryEvent{lost})
}

// selectFailing returns the backend servers that fail in the scenario.
func (m *simulator) selectFailing() []*server {
	switch m.trial.Scenario.Loss.(type) {
	case ServerLoss:
		return []*server{slices.MaxFunc(m.servers, func(first, second *server) int {
			return first.batch.MemoryUsed() - second.batch.MemoryUsed()
		})}
	case ZoneLoss:
		var lost []*server
		for _, s := range m.servers {
			if s.zone == m.servers[0].zone {
				lost = append(lost, s)
			}
		}
		return lost
	default:
		return nil
	}
}

// openCalls returns the open calls in order of their keys.
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

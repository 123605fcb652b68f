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
func (w *world) offer(c *call, s *server) {
	if s.book == nil {
		s.take(c)
		s.place(c)
		w.wake(s)
		return
	}
	decision := s.book.Offer(c.request(), clock(w.now))
	c.entry.see(s, w.now)
	switch d := decision.(type) {
	case admission.Admit:
		s.take(c)
		s.place(c)
		w.wake(s)
	case admission.Wait:
		s.take(c)
	case admission.Refuse:
		w.refused(c, s, d.RetryAt)
	}
}

// wake schedules a step of an engine that has work.
func (w *world) wake(s *server) {
	if s.stepping || !s.busy() {
		return
	}
	s.stepping = true
	w.agenda.schedule(w.now+s.duration(), step{server: s, life: s.life})
}

// step runs one step of an engine.
func (w *world) step(s *server) {
	s.stepping = false
	w.makeRoom(s)
	tokens, finished := 0, false
	for _, change := range s.batch.Step() {
		if change.Kind == engine.TokenProduced {
			tokens++
		}
		finished = w.apply(s, change) || finished
	}
	s.prefilling = max(0, s.batch.Running()-tokens)
	s.stepMicros += stepSmoothing * (float64(s.duration()) - s.stepMicros)
	if finished {
		w.startNext(s)
	}
	w.wake(s)
}

// apply records one change of an engine and tells whether a call has ended.
func (w *world) apply(s *server, change engine.Change) bool {
	if change.Kind == engine.PrefixStored || change.Kind == engine.PrefixEvicted {
		w.cached(s, change)
		return false
	}
	c, ok := s.calls[change.Key]
	if !ok {
		return false
	}
	switch change.Kind {
	default:
	case engine.TokenProduced:
		w.token(s, c)
	case engine.JobPreempted:
		c.preemptions++
		c.preempted = true
	case engine.JobResumed:
		c.preempted = false
	case engine.JobFinished:
		s.forget(c)
		if s.book != nil {
			s.book.Lengths.Observe(c.class.Label, c.accountName(), c.output)
		}
		w.end(c, stateCompleted)
		return true
	case engine.JobFailed:
		s.forget(c)
		w.end(c, stateLost)
		return true
	}
	return false
}

// token records one token of a call.
func (w *world) token(s *server, c *call) {
	if gap := c.token(w.now); gap > 0 && c.measured {
		recordMicros(w.report.of(c).Gap, gap)
	}
	if s.book != nil && c.produced%progressTokens == 0 {
		_ = s.book.Progress(c.id, c.produced)
	}
}

// cached tells the entry hosts of a change of a prefix cache.
func (w *world) cached(s *server, change engine.Change) {
	for _, e := range w.entries {
		if change.Kind == engine.PrefixStored {
			e.prefixes[s.index][change.PrefixHash] = true
			continue
		}
		delete(e.prefixes[s.index], change.PrefixHash)
	}
}

// startNext puts the waiting calls that fit now on the engine.
func (w *world) startNext(s *server) {
	if s.book == nil {
		return
	}
	s.book.SetStep(int(s.stepMicros))
	for _, admit := range s.book.Next(clock(w.now)) {
		s.place(s.byID[admit.RequestID])
	}
	w.wake(s)
}

// poll lets a backend server look through its queue.
func (w *world) poll(s *server) {
	w.agenda.schedule(w.now+pollMicros, poll{s})
	if !s.alive || s.book == nil {
		return
	}
	for _, refuse := range s.book.Expire(clock(w.now)) {
		c := s.byID[refuse.RequestID]
		s.forget(c)
		w.refused(c, s, refuse.RetryAt)
	}
	w.startNext(s)
}

// makeRoom preempts generations of the project's choice when the next step
// would exceed the memory.
func (w *world) makeRoom(s *server) {
	f, ok := w.trial.Policy.(Forecast)
	if !ok || f.EngineChooses {
		return
	}
	need := s.need()
	if !need.Urgent {
		return
	}
	rules := preemption.CostWeights{
		StallWeight:      f.Booking.StallWeight,
		PreemptionWeight: f.Booking.PreemptionWeight,
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
	need := preemption.Need{Tokens: s.batch.Running() - free, Slots: s.book.Excess()}
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
	for _, r := range s.book.Running() {
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
			Remaining:    s.book.Lengths.Remaining(r.Class, r.Account, c.produced, 0.5),
			Preemptions:  c.preemptions,
		})
	}
	return out
}

// probe refreshes what an entry host knows of one backend server.
func (w *world) probe(p probe) {
	w.agenda.schedule(w.now+probeMicros, p)
	if s := w.servers[p.index]; s.alive {
		p.entry.see(s, w.now)
	} else {
		p.entry.avoid(s, clock(w.now).Add(lostMillis*time.Millisecond))
	}
}

// lose takes backend servers away with all that runs on them.
func (w *world) lose() {
	lost := w.victims()
	for _, s := range lost {
		s.alive = false
		s.life++
		for _, c := range s.open() {
			s.drop(c)
			if c.started && !c.class.Repeatable {
				w.end(c, stateLost)
				continue
			}
			c.restart()
			w.repeat(c, retrybudget.OutcomeUnknown, time.Time{})
		}
	}
	w.agenda.schedule(w.now+outageSeconds*microsPerSecond, recovery{lost})
}

// victims returns the backend servers that a scenario takes away.
func (w *world) victims() []*server {
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

// open returns the open calls in the order of their keys.
func (s *server) open() []*call {
	out := make([]*call, 0, len(s.calls))
	for _, c := range s.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(first, second *call) int {
		return int(first.key) - int(second.key)
	})
	return out
}

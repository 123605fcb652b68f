package simulation

import (
	"fmt"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
)

// simulator is the state of a running trial.
type simulator struct {
	trial   Trial
	now     int64
	events  eventQueue
	servers []*server
	entries []*entry
	report  Report
	// openCalls counts the measured calls that have not ended.
	openCalls int
}

// warmUpSeconds is the time at the beginning of a trial whose arrivals are not
// measured.
const warmUpSeconds = 120

// Run carries out the trial. Arrivals go on from beginning to end, but only
// requests after the warm-up whose deadline lies before the end are measured, so
// that no policy gains by a backlog that it leaves or works off unmeasured.
func (t Trial) Run() Report {
	w := &simulator{trial: t, report: newReport(t.Deployment)}
	w.addServers()
	w.addEntries()
	w.addCalls()
	if _, none := t.Scenario.Loss.(NoLoss); !none {
		w.events.schedule(int64(t.Seconds)*microsPerSecond*lossAtPermille/1000, outageEvent{})
	}
	for w.openCalls > 0 {
		item, ok := w.events.next()
		if !ok {
			break
		}
		w.now = item.at
		w.handle(item.event)
	}
	return w.report
}

func (w *simulator) addServers() {
	for zone, count := range w.trial.Deployment.ZoneServers {
		for range count {
			s := newServer(w.trial, len(w.servers), zone)
			w.servers = append(w.servers, s)
			w.events.schedule(int64(s.index)*microsPerMilli, pollEvent{s})
		}
	}
}

func (w *simulator) addEntries() {
	for zone := range w.trial.Deployment.ZoneServers {
		for range w.trial.Deployment.EntriesPerZone {
			e := newEntry(w.trial.Seed, len(w.entries), fmt.Sprint("zone ", zone), w.servers)
			w.entries = append(w.entries, e)
			for i := range w.servers {
				w.events.schedule(e.random.Int64N(probeMicros), probeEvent{entry: e, index: i})
			}
		}
	}
}

func (w *simulator) addCalls() {
	for _, c := range w.trial.arrivals() {
		c.entry = w.entries[int(c.key)%len(w.entries)]
		w.events.schedule(c.arrived, arrivalEvent{c})
		w.events.schedule(c.deadline, deadlineEvent{c})
		c.measured = c.arrived >= warmUpSeconds*microsPerSecond &&
			c.deadline <= int64(w.trial.Seconds)*microsPerSecond
		if c.measured {
			w.openCalls++
		}
	}
}

func (w *simulator) handle(e event) {
	switch e := e.(type) {
	case arrivalEvent:
		w.route(e.call)
	case deadlineEvent:
		w.timeOut(e.call)
	case stepEvent:
		if e.incarnation == e.server.incarnation {
			w.step(e.server)
		}
	case pollEvent:
		w.poll(e.server)
	case probeEvent:
		w.probe(e)
	case outageEvent:
		w.failServers()
	case recoveryEvent:
		for _, s := range e.servers {
			s.reset(w.trial.Policy)
		}
	}
}

// route sends a call to a backend server.
func (w *simulator) route(c *call) {
	if c.state != stateOpen {
		return
	}
	c.attempts++
	s, retryAt := w.chooseServer(c)
	if s == nil {
		c.refused = nil
		w.retry(c, retrybudget.OutcomeNotRun, retryAt)
		return
	}
	c.entry.view[s.index].SentSince++
	if !s.alive {
		c.entry.avoid(s, timeAt(w.now).Add(avoidMillis*time.Millisecond))
		w.recordRefusal(c, s, time.Time{})
		return
	}
	w.offer(c, s)
}

// chooseServer returns the backend server for a call, or when to come back.
func (w *simulator) chooseServer(c *call) (*server, time.Time) {
	switch w.trial.Policy.(type) {
	case RoundRobin:
		return w.roundRobin(c), time.Time{}
	case LeastOutstanding:
		return w.leastOutstanding(c), time.Time{}
	default:
		switch d := c.entry.choose(c, w.servers, w.now).(type) {
		case choice.Chosen:
			return w.serverNamed(d.Backend), time.Time{}
		case choice.None:
			return nil, d.RetryAt
		}
		return nil, time.Time{}
	}
}

func (w *simulator) serverNamed(name string) *server {
	for _, s := range w.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// roundRobin returns the next backend server that the entry host does not avoid.
func (w *simulator) roundRobin(c *call) *server {
	e := c.entry
	for range w.servers {
		s := w.servers[e.nextServer]
		e.nextServer = (e.nextServer + 1) % len(w.servers)
		if !c.refused[s] && !e.view[s.index].RefusingUntil.After(timeAt(w.now)) {
			return s
		}
	}
	return nil
}

// leastOutstanding returns the backend server with the fewest open calls.
func (w *simulator) leastOutstanding(c *call) *server {
	var best *server
	for _, s := range w.servers {
		if c.refused[s] || c.entry.view[s.index].RefusingUntil.After(timeAt(w.now)) {
			continue
		}
		if best == nil || len(s.calls) < len(best.calls) {
			best = s
		}
	}
	return best
}

// retry asks the retry budget whether a failed attempt is repeated.
func (w *simulator) retry(c *call, outcome retrybudget.Outcome, retryAt time.Time) {
	a := retrybudget.Attempt{
		Count:      c.attempts,
		Outcome:    outcome,
		Repeatable: c.class.Repeatable,
		OthersLeft: len(c.refused) < len(w.servers),
		RetryAt:    retryAt,
		Deadline:   timeAt(c.deadline),
	}
	switch d := c.entry.budget.Decide(a, c.entry.random, timeAt(w.now)).(type) {
	case retrybudget.Retry:
		w.events.schedule(d.At.Sub(epoch).Microseconds(), arrivalEvent{c})
	case retrybudget.NoRetry:
		w.end(c, map[bool]callState{true: stateRefused, false: stateLost}[outcome == retrybudget.OutcomeNotRun])
	}
}

// recordRefusal records that a backend server did not take a call.
func (w *simulator) recordRefusal(c *call, s *server, retryAt time.Time) {
	if c.refused == nil {
		c.refused = map[*server]bool{}
	}
	c.refused[s] = true
	w.retry(c, retrybudget.OutcomeNotRun, retryAt)
}

// end closes a call.
func (w *simulator) end(c *call, s callState) {
	c.state = s
	if s == stateCompleted {
		c.entry.budget.RecordSuccess()
	}
	if c.measured {
		w.openCalls--
		w.report.record(c, w.now)
	}
}

// timeOut ends a call whose caller has left.
func (w *simulator) timeOut(c *call) {
	if c.state != stateOpen {
		return
	}
	if s := c.server; s != nil {
		s.batch.Cancel(c.key)
		s.release(c)
	}
	w.end(c, stateTimedOut)
}

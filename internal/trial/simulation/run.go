package simulation

import (
	"fmt"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
)

// world is the state of a running trial.
type world struct {
	trial   Trial
	now     int64
	agenda  agenda
	servers []*server
	entries []*entry
	report  Report
	// open counts the measured calls that have not ended.
	open int
}

// warmUpSeconds is the time at the beginning of a trial whose arrivals are not
// measured.
const warmUpSeconds = 120

// Run carries out the trial. Arrivals go on from beginning to end, but only
// requests after the warm-up whose deadline lies before the end are measured, so
// that no policy gains by a backlog that it leaves or works off unmeasured.
func (t Trial) Run() Report {
	w := &world{trial: t, report: newReport(t.Deployment)}
	w.addServers()
	w.addEntries()
	w.addCalls()
	if _, none := t.Scenario.Loss.(NoLoss); !none {
		w.agenda.schedule(int64(t.Seconds)*microsPerSecond*lossPermille/1000, lose{})
	}
	for w.open > 0 {
		item, ok := w.agenda.next()
		if !ok {
			break
		}
		w.now = item.at
		w.handle(item.event)
	}
	return w.report
}

func (w *world) addServers() {
	for zone, count := range w.trial.Deployment.ZoneServers {
		for range count {
			s := newServer(w.trial, len(w.servers), zone)
			w.servers = append(w.servers, s)
			w.agenda.schedule(int64(s.index)*microsPerMilli, poll{s})
		}
	}
}

func (w *world) addEntries() {
	for zone := range w.trial.Deployment.ZoneServers {
		for range w.trial.Deployment.EntriesPerZone {
			e := newEntry(w.trial.Seed, len(w.entries), fmt.Sprint("zone ", zone), w.servers)
			w.entries = append(w.entries, e)
			for i := range w.servers {
				w.agenda.schedule(e.random.Int64N(probeMicros), probe{entry: e, index: i})
			}
		}
	}
}

func (w *world) addCalls() {
	for _, c := range w.trial.arrivals() {
		c.entry = w.entries[int(c.key)%len(w.entries)]
		w.agenda.schedule(c.arrived, arrive{c})
		w.agenda.schedule(c.deadline, giveUp{c})
		c.measured = c.arrived >= warmUpSeconds*microsPerSecond &&
			c.deadline <= int64(w.trial.Seconds)*microsPerSecond
		if c.measured {
			w.open++
		}
	}
}

func (w *world) handle(e event) {
	switch e := e.(type) {
	case arrive:
		w.route(e.call)
	case giveUp:
		w.giveUp(e.call)
	case step:
		if e.life == e.server.life {
			w.step(e.server)
		}
	case poll:
		w.poll(e.server)
	case probe:
		w.probe(e)
	case lose:
		w.lose()
	case recovery:
		for _, s := range e.servers {
			s.begin(w.trial.Policy)
		}
	}
}

// route sends a call to a backend server.
func (w *world) route(c *call) {
	if c.state != stateOpen {
		return
	}
	c.attempts++
	s, retryAt := w.pick(c)
	if s == nil {
		c.refused = nil
		w.repeat(c, retrybudget.OutcomeNotRun, retryAt)
		return
	}
	c.entry.view[s.index].SentSince++
	if !s.alive {
		c.entry.avoid(s, clock(w.now).Add(lostMillis*time.Millisecond))
		w.refused(c, s, time.Time{})
		return
	}
	w.offer(c, s)
}

// pick returns the backend server for a call, or when to come back.
func (w *world) pick(c *call) (*server, time.Time) {
	switch w.trial.Policy.(type) {
	case RoundRobin:
		return w.inTurn(c), time.Time{}
	case LeastOutstanding:
		return w.leastOutstanding(c), time.Time{}
	default:
		switch d := c.entry.choose(c, w.servers, w.now).(type) {
		case choice.Chosen:
			return w.named(d.Backend), time.Time{}
		case choice.None:
			return nil, d.RetryAt
		}
		return nil, time.Time{}
	}
}

func (w *world) named(name string) *server {
	for _, s := range w.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// inTurn returns the next backend server that the entry host does not avoid.
func (w *world) inTurn(c *call) *server {
	e := c.entry
	for range w.servers {
		s := w.servers[e.turn]
		e.turn = (e.turn + 1) % len(w.servers)
		if !c.refused[s] && !e.view[s.index].RefusingUntil.After(clock(w.now)) {
			return s
		}
	}
	return nil
}

// leastOutstanding returns the backend server with the fewest open calls.
func (w *world) leastOutstanding(c *call) *server {
	var best *server
	for _, s := range w.servers {
		if c.refused[s] || c.entry.view[s.index].RefusingUntil.After(clock(w.now)) {
			continue
		}
		if best == nil || len(s.calls) < len(best.calls) {
			best = s
		}
	}
	return best
}

// repeat asks the retry budget whether a failed attempt is repeated.
func (w *world) repeat(c *call, outcome retrybudget.Outcome, retryAt time.Time) {
	a := retrybudget.Attempt{
		Count:      c.attempts,
		Outcome:    outcome,
		Repeatable: c.class.Repeatable,
		OthersLeft: len(c.refused) < len(w.servers),
		RetryAt:    retryAt,
		Deadline:   clock(c.deadline),
	}
	switch d := c.entry.budget.Decide(a, c.entry.random, clock(w.now)).(type) {
	case retrybudget.Retry:
		w.agenda.schedule(d.At.Sub(epoch).Microseconds(), arrive{c})
	case retrybudget.NoRetry:
		w.end(c, map[bool]state{true: stateRefused, false: stateLost}[outcome == retrybudget.OutcomeNotRun])
	}
}

// refused records that a backend server did not take a call.
func (w *world) refused(c *call, s *server, retryAt time.Time) {
	if c.refused == nil {
		c.refused = map[*server]bool{}
	}
	c.refused[s] = true
	w.repeat(c, retrybudget.OutcomeNotRun, retryAt)
}

// end closes a call.
func (w *world) end(c *call, s state) {
	c.state = s
	if s == stateCompleted {
		c.entry.budget.RecordSuccess()
	}
	if c.measured {
		w.open--
		w.report.record(c, w.now)
	}
}

// giveUp ends a call whose caller has left.
func (w *world) giveUp(c *call) {
	if c.state != stateOpen {
		return
	}
	if s := c.server; s != nil {
		s.batch.Cancel(c.key)
		s.forget(c)
	}
	w.end(c, stateGaveUp)
}

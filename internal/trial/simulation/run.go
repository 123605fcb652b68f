package simulation

import (
	"fmt"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
)

// simulator holds the state of a running trial.
type simulator struct {
	trial Trial
	// now is the current virtual time, in microseconds.
	now     int64
	events  eventQueue
	servers []*server
	entries []*entry
	report  Report
	// openCalls is the number of measured calls that have not ended.
	openCalls int
}

// warmUpSeconds is the duration of the warm-up at the start of a trial. Requests that
// arrive in it are not measured.
const warmUpSeconds = 120

// Run runs the trial. Requests arrive during the whole trial, but only those that
// arrive after the warm-up and have their deadline before the end are measured.
// Otherwise a policy could gain from a backlog that it leaves at the end or clears
// outside the measured time.
func (t Trial) Run() Report {
	m := &simulator{trial: t, report: newReport(t.Deployment)}
	m.addServers()
	m.addEntries()
	m.addCalls()
	if _, none := t.Scenario.Loss.(NoLoss); !none {
		m.events.schedule(int64(t.Seconds)*microsPerSecond*lossAtPermille/1000, outageEvent{})
	}
	for m.openCalls > 0 {
		item, ok := m.events.next()
		if !ok {
			break
		}
		m.now = item.at
		m.handle(item.event)
	}
	return m.report
}

// addServers creates the backend servers and schedules their first polls.
func (m *simulator) addServers() {
	for zone, count := range m.trial.Deployment.ZoneServers {
		for range count {
			s := newServer(m.trial, len(m.servers), zone)
			m.servers = append(m.servers, s)
			m.events.schedule(int64(s.index)*microsPerMilli, pollEvent{s})
		}
	}
}

// addEntries creates the entry hosts and schedules their first probes at random times.
func (m *simulator) addEntries() {
	for zone := range m.trial.Deployment.ZoneServers {
		for range m.trial.Deployment.EntriesPerZone {
			e := newEntry(m.trial.Seed, len(m.entries), fmt.Sprint("zone ", zone), m.servers)
			m.entries = append(m.entries, e)
			for i := range m.servers {
				m.events.schedule(e.random.Int64N(probeMicros), probeEvent{entry: e, index: i})
			}
		}
	}
}

// addCalls schedules the arrival and the deadline of each call.
func (m *simulator) addCalls() {
	for _, c := range m.trial.arrivals() {
		c.entry = m.entries[int(c.key)%len(m.entries)]
		m.events.schedule(c.arrived, arrivalEvent{c})
		m.events.schedule(c.deadline, deadlineEvent{c})
		c.measured = c.arrived >= warmUpSeconds*microsPerSecond &&
			c.deadline <= int64(m.trial.Seconds)*microsPerSecond
		if c.measured {
			m.openCalls++
		}
	}
}

func (m *simulator) handle(e event) {
	switch e := e.(type) {
	case arrivalEvent:
		m.route(e.call)
	case deadlineEvent:
		m.timeOut(e.call)
	case stepEvent:
		if e.incarnation == e.server.incarnation {
			m.step(e.server)
		}
	case pollEvent:
		m.poll(e.server)
	case probeEvent:
		m.probe(e)
	case outageEvent:
		m.failServers()
	case recoveryEvent:
		for _, s := range e.servers {
			s.reset(m.trial.Policy)
		}
	}
}

// route sends a call to a backend server, or retries it later if there is none.
func (m *simulator) route(c *call) {
	if c.state != stateOpen {
		return
	}
	c.attempts++
	s, retryAt := m.chooseServer(c)
	if s == nil {
		c.refused = nil // The next attempt may use any backend server again.
		m.retry(c, retrybudget.OutcomeNotRun, retryAt)
		return
	}
	c.entry.view[s.index].SentSince++
	if !s.alive {
		c.entry.avoid(s, timeAt(m.now).Add(avoidMillis*time.Millisecond))
		m.recordRefusal(c, s, time.Time{})
		return
	}
	m.offer(c, s)
}

// chooseServer returns the backend server for a call. If there is none, it returns
// nil and the earliest useful retry time, which is zero if unknown.
func (m *simulator) chooseServer(c *call) (*server, time.Time) {
	switch m.trial.Policy.(type) {
	case RoundRobin:
		return m.roundRobin(c), time.Time{}
	case LeastOutstanding:
		return m.leastOutstanding(c), time.Time{}
	default:
		switch d := c.entry.choose(c, m.servers, m.now).(type) {
		case choice.Chosen:
			return m.serverNamed(d.Backend), time.Time{}
		case choice.None:
			return nil, d.RetryAt
		}
		return nil, time.Time{}
	}
}

// serverNamed returns the backend server with a name, or nil.
func (m *simulator) serverNamed(name string) *server {
	for _, s := range m.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// roundRobin returns the next backend server in turn that has not refused the call
// and that the entry host does not avoid, or nil.
func (m *simulator) roundRobin(c *call) *server {
	e := c.entry
	for range m.servers {
		s := m.servers[e.nextServer]
		e.nextServer = (e.nextServer + 1) % len(m.servers)
		if !c.refused[s] && !e.view[s.index].RefusingUntil.After(timeAt(m.now)) {
			return s
		}
	}
	return nil
}

// leastOutstanding returns the backend server with the fewest open calls, among those
// that have not refused the call and that the entry host does not avoid, or nil.
func (m *simulator) leastOutstanding(c *call) *server {
	var best *server
	for _, s := range m.servers {
		if c.refused[s] || c.entry.view[s.index].RefusingUntil.After(timeAt(m.now)) {
			continue
		}
		if best == nil || len(s.calls) < len(best.calls) {
			best = s
		}
	}
	return best
}

// retry schedules a retry of a failed attempt if the retry budget permits it, and
// ends the call otherwise.
func (m *simulator) retry(c *call, outcome retrybudget.Outcome, retryAt time.Time) {
	a := retrybudget.Attempt{
		Count:      c.attempts,
		Outcome:    outcome,
		Repeatable: c.class.Repeatable,
		OthersLeft: len(c.refused) < len(m.servers),
		RetryAt:    retryAt,
		Deadline:   timeAt(c.deadline),
	}
	switch d := c.entry.budget.Decide(a, c.entry.random, timeAt(m.now)).(type) {
	case retrybudget.Retry:
		m.events.schedule(d.At.Sub(epoch).Microseconds(), arrivalEvent{c})
	case retrybudget.NoRetry:
		m.end(c, map[bool]callState{true: stateRefused, false: stateLost}[outcome == retrybudget.OutcomeNotRun])
	}
}

// recordRefusal records that a backend server refused a call, and retries the call.
func (m *simulator) recordRefusal(c *call, s *server, retryAt time.Time) {
	if c.refused == nil {
		c.refused = map[*server]bool{}
	}
	c.refused[s] = true
	m.retry(c, retrybudget.OutcomeNotRun, retryAt)
}

// end ends a call in a final state and adds it to the report if it is measured.
func (m *simulator) end(c *call, s callState) {
	c.state = s
	if s == stateCompleted {
		c.entry.budget.RecordSuccess()
	}
	if c.measured {
		m.openCalls--
		m.report.record(c, m.now)
	}
}

// timeOut ends an open call at its deadline, when its caller disconnects, and removes it
// from its backend server.
func (m *simulator) timeOut(c *call) {
	if c.state != stateOpen {
		return
	}
	if s := c.server; s != nil {
		s.batch.Cancel(c.key)
		s.release(c)
	}
	m.end(c, stateTimedOut)
}

package placement

import (
	"maps"
	"math/rand/v2"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

const (
	// failureWeight is the weight of the newest answer in the share of
	// failures.
	failureWeight = 0.15
	// failureForgetMillis is the time after which failures are forgotten, so
	// that a backend server is tried again.
	failureForgetMillis = 4000
	// reportMillis is the age up to which a report of load counts.
	reportMillis = 2500
)

// LoadTable holds what one entry host knows of the load of backend servers. It is
// safe for concurrent use.
type LoadTable struct {
	// Zone is the entry host's availability zone. It is set before use.
	Zone string
	// Policy is how servers are chosen; nil means ByForecast.
	Policy Policy

	mu sync.Mutex
	// turn counts the choices.
	turn    int
	servers map[string]*serverState
	// reports by the ID of the engine.
	reports map[string]Report
	// leaving holds when engines end, by ID.
	leaving map[string]boottime.Instant
	// avoided holds until when servers get no request, by ID.
	avoided map[string]boottime.Instant
}

// serverState is what this entry host did at one backend server.
type serverState struct {
	// assignments are the open requests.
	assignments  map[*Assignment]struct{}
	failureShare float64
	failedAt     boottime.Instant
}

// Assignment is one open request at a backend server.
type Assignment struct {
	table  *LoadTable
	server string
	tokens int
	sentAt boottime.Instant
	// started says that the server has made the first event.
	started bool
}

// Request is a request that needs a backend server.
type Request struct {
	Service routetable.Service
	// Tokens is the memory that it will need; zero for a plain service.
	Tokens int
	// Tried holds the IDs of servers that it was sent to.
	Tried map[string]bool
}

// Placement is the answer to a Request.
type Placement struct {
	// Chosen is the backend server, as it was known.
	Chosen Candidate
	// Assignment is the open assignment at the chosen server; it is nil when there is none.
	Assignment *Assignment
}

// Place chooses a backend server among those that are ready and opens an assignment
// there.
func (l *LoadTable) Place(ready []discovery.BackendServer, ask Request, now boottime.Instant) Placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := make([]Candidate, len(ready))
	points := make([]float64, len(ready))
	for i, server := range ready {
		candidates[i] = l.newCandidate(server, ask, now)
		points[i] = rand.Float64()
	}
	l.turn++
	best, ok := chooseBy(l.Policy, candidates, ask.Tokens, points, l.turn)
	if !ok {
		return Placement{}
	}
	return Placement{Chosen: candidates[best], Assignment: l.open(ready[best].ID, ask.Tokens, now)}
}

// Candidate returns a server as it is known.
func (l *LoadTable) Candidate(server discovery.BackendServer, service routetable.Service, now boottime.Instant) Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newCandidate(server, Request{Service: service}, now)
}

// OpenAt opens an assignment at a server that was chosen otherwise.
func (l *LoadTable) OpenAt(server string, tokens int, now boottime.Instant) *Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open(server, tokens, now)
}

func (l *LoadTable) open(server string, tokens int, now boottime.Instant) *Assignment {
	seat := &Assignment{table: l, server: server, tokens: tokens, sentAt: now}
	l.server(server).assignments[seat] = struct{}{}
	return seat
}

// MarkStarted notes that the server has made the first event.
func (a *Assignment) MarkStarted() {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.started = true
}

// End closes an assignment. Failed says that the server failed the request.
func (a *Assignment) End(failed bool, now boottime.Instant) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	acct := a.table.server(a.server)
	delete(acct.assignments, a)
	value := 0.0
	if failed {
		value = 1
		acct.failedAt = now
	}
	acct.failureShare += failureWeight * (value - acct.failureShare)
}

// Prune drops the accounts of servers that are no longer listed and have no
// open request.
func (l *LoadTable) Prune(list discovery.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.servers {
		if _, listed := list.Find(id); !listed && len(a.assignments) == 0 {
			delete(l.servers, id)
		}
	}
	maps.DeleteFunc(l.avoided, func(id string, _ boottime.Instant) bool {
		_, listed := list.Find(id)
		return !listed
	})
}

func (l *LoadTable) server(server string) *serverState {
	if l.servers == nil {
		l.servers = make(map[string]*serverState)
	}
	a, ok := l.servers[server]
	if !ok {
		a = &serverState{assignments: make(map[*Assignment]struct{})}
		l.servers[server] = a
	}
	return a
}

// newCandidate joins what was reported of a server with what this host sent
// there since.
func (l *LoadTable) newCandidate(server discovery.BackendServer, ask Request, now boottime.Instant) Candidate {
	a := l.server(server.ID)
	c := Candidate{
		Server:   server,
		SameZone: server.Zone == l.Zone,
		Cold:     now.Before(server.WarmAt),
		Tried:    ask.Tried[server.ID],
		Avoided:  now.Before(l.avoided[server.ID]),
		Slots:    server.Slots,
		Open:     len(a.assignments),
		Running:  len(a.assignments),
	}
	if a.failedAt.AddMillis(failureForgetMillis) > now {
		c.FailureShare = a.failureShare
	}
	if ask.Service.Engine == nil {
		return c
	}
	c.MemoryTokens = ask.Service.Engine.MemoryTokens
	_, c.Leaving = l.leaving[server.ID]
	report, reported := l.reports[server.ID]
	if !reported || now.MillisSince(report.ReceivedAt) > reportMillis {
		return c.withoutReport(a)
	}
	c.ReportMillis = now.MillisSince(report.ReceivedAt)
	return c.withReport(report, a)
}

// withoutReport returns the candidate with what this host sent there.
func (c Candidate) withoutReport(a *serverState) Candidate {
	c.ReportMillis = -1
	for seat := range a.assignments {
		c.UsedTokens += seat.tokens
		c.ExpectedTokens += seat.tokens
		if !seat.started {
			c.Starting++
		}
	}
	return c
}

// withReport returns the candidate with the load that was reported, and what
// was sent there since.
func (c Candidate) withReport(report Report, a *serverState) Candidate {
	c.Running = report.Running
	c.Queued = report.Queued
	c.UsedTokens = report.UsedTokens
	c.ExpectedTokens = report.ExpectedTokens
	c.Starting = report.Starting
	for seat := range a.assignments {
		if report.ReceivedAt.Before(seat.sentAt) {
			c.UsedTokens += seat.tokens
			c.ExpectedTokens += seat.tokens
			c.Running++
			c.Starting++
		}
	}
	return c
}

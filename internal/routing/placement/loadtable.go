package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/pauseforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverpause"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/unresponsive"
)

const (
	// failureWeight is the weight of the newest result in the moving average of
	// failures.
	failureWeight = 0.15
	// failureForgetMillis is the time since the last failure after which the
	// failures of a backend server no longer count, so that it gets requests
	// again.
	failureForgetMillis = 4000
	// reportMillis is the age up to which a load report is used.
	reportMillis = 2500
	// firstReportsMillis is the time that the monitors of engines have for their first
	// reports to a host that has started. Until then an engine without a report may be one
	// that is gone, as the discovery list is old after an outage of all hosts.
	firstReportsMillis = 500
)

// LoadTable holds the load of the backend servers as one entry host sees it: the
// reports of the engines and the requests that this host has open. It is safe for
// concurrent use.
type LoadTable struct {
	// Zone is the entry host's availability zone. It is set before use.
	Zone string
	// Policy selects the server; nil means ByForecast. It is set before use.
	Policy Policy
	// ServerLimits holds the rate limits of backend servers. Its exported fields are set
	// before use.
	ServerLimits serverlimit.Table
	// Pauses holds what backend servers have asked for in their answers. Its exported
	// fields are set before use.
	Pauses serverpause.Table
	// Unresponsive holds the servers of plain services that leave calls without an answer. Its
	// exported fields are set before use.
	Unresponsive unresponsive.Table

	mu sync.Mutex
	// entryHosts is written under mu.
	entryHosts hostCount
	// turn counts the calls of Place.
	turn int
	// unreportedFrom is the time from which engines without a report get requests if none
	// has one. It is zero before the first call of Place.
	unreportedFrom boottime.Instant
	// superseded holds the times until which servers get no request, as another one has
	// their address, by server ID.
	superseded map[string]boottime.Instant
	// servers holds this host's requests at each server, by server ID.
	servers map[string]*serverState
	// reports holds the newest report of each engine, by server ID.
	reports map[string]*Report
	// leaving holds the shutdown times of engines, by server ID.
	leaving    map[string]boottime.Instant
	promptRate promptRate
	scratch    scratch
	// pauses has its own lock.
	pauses pauseforecast.Model
	// avoided holds the times until which servers get no request unless there
	// is no other, by server ID.
	avoided map[string]boottime.Instant
}

// scratch is the memory of the comparison of candidates, which is used again: at large
// deployments it is hundreds of kilobytes for each request.
type scratch struct {
	// states holds the states of the servers of the latest request, by their place in its list.
	// Most lists name the same servers in the same order, so that no ID is looked up.
	states     []*serverState
	statuses   []serverpause.Status
	candidates []Candidate
	jitter     []float64
}

// serverState holds this entry host's requests at one backend server.
type serverState struct {
	// id is the server's ID, and report its newest report, as in reports; nil if there is none.
	id     string
	report *Report
	// assignments are the open requests, in no order. They are read for each placement, and a
	// slice is read faster than a map.
	assignments []*Assignment
	// lastSentAt is the newest sentAt of the assignments, open or not.
	lastSentAt boottime.Instant
	// failureShare is a moving average of the share of requests that failed.
	failureShare float64
	// failedAt is the time of the last failure.
	failedAt boottime.Instant
}

// Request describes a request that needs a backend server.
type Request struct {
	Service routetable.Service
	// Tokens is the memory that the request is expected to need; zero for a
	// plain service.
	Tokens int
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// Short says that the output is so short that the request ends before the other
	// runs of its engine have grown much.
	Short bool
	// Events is the number of events of its stream that are expected; zero for a request
	// without a stream.
	Events int
	// MaxPauseMillis is the longest pause between events within which the stream is on
	// time; zero means no limit.
	MaxPauseMillis int64
	// StartBy is the time by which the first event should come; zero means no limit.
	StartBy boottime.Instant
	// Tried holds the IDs of the servers that the request was already sent to.
	Tried map[string]bool
	// RefusedUntil holds the times until which engines that refused a reservation for
	// the request are taken to have no memory for it, by ID.
	RefusedUntil map[string]boottime.Instant
	// RoomOnly says that the request is not placed at an engine without room.
	RoomOnly bool
	// Repeatable says that the request may be sent again if a server does not answer it.
	Repeatable bool
	// Hedge says that the request is open at another server already. It is placed only at a
	// server with a free slot that is neither leaving, avoided, cold nor limited.
	Hedge bool
}

// Placement is the result of placing a Request.
type Placement struct {
	// Chosen is the selected server with its load at that time. With NoRoom it is the one that would
	// be selected if room did not matter; it has no server if none can take the request.
	Chosen Candidate
	// Assignment is the open assignment at the chosen server; it is nil when no
	// server can take the request.
	Assignment *Assignment
	// NoRoom says that there are engines that could take the request, but none with
	// room. Lacking then counts them by what they lack.
	NoRoom  bool
	Lacking map[Lack]int
	// LimitedUntil is set when every server that could take the request is held back, by
	// its rate limit or by a pause that it asked for. It is the time at which one of them
	// accepts a request again.
	LimitedUntil boottime.Instant
	// InsteadOf is the ID of the unresponsive server that would have been selected if it had
	// answered; empty if there is none.
	InsteadOf string
}

// Place selects one of the ready backend servers and opens an assignment there.
func (l *LoadTable) Place(ready []discovery.BackendServer, request Request, now boottime.Instant) Placement {
	return l.place(ready, request, now, rand.Float64)
}

// place is like Place, with the source of the random costs.
func (l *LoadTable) place(ready []discovery.BackendServer, request Request, now boottime.Instant, random func() float64) Placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreportedFrom == 0 {
		l.unreportedFrom = now.AddMillis(firstReportsMillis)
	}
	candidates, held := l.accepting(ready, &request, now)
	jitter := l.scratch.jitter[:0]
	for range candidates {
		jitter = append(jitter, random())
	}
	l.scratch.jitter = jitter
	l.keepForMigrations(candidates, &request, now)
	l.checkRoom(candidates, &request, now)
	l.forecastPauses(candidates, request)
	l.turn++
	best, ok := chooseBy(l.Policy, candidates, request.Tokens, jitter, l.turn)
	if !ok {
		return held.placement(request)
	}
	if request.RoomOnly && candidates[best].mustWait() {
		return Placement{Chosen: candidates[best], NoRoom: true, Lacking: countLacking(candidates)}
	}
	if candidates[best].ProbeUntil != 0 {
		l.Unresponsive.ProbeSent(candidates[best].Server.ID, now)
	}
	assignment := l.open(candidates[best].Server.ID, request.Tokens, now)
	if candidates[best].UnreadTokens == 0 {
		assignment.promptTokens = request.PromptTokens
	}
	return Placement{Chosen: candidates[best], Assignment: assignment, InsteadOf: l.insteadOf(candidates, best, request, jitter)}
}

// insteadOf returns the ID of the unresponsive server that would have been selected if it had
// answered; empty if there is none. The caller holds the mutex.
func (l *LoadTable) insteadOf(candidates []Candidate, best int, request Request, jitter []float64) string {
	if request.Service.Engine != nil || !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Unresponsive && !c.Tried }) {
		return ""
	}
	responsive := slices.Clone(candidates)
	for i := range responsive {
		responsive[i].Unresponsive, responsive[i].ProbeUntil = false, 0
	}
	usual, _ := chooseBy(l.Policy, responsive, request.Tokens, jitter, l.turn)
	if usual == best || !candidates[usual].Unresponsive {
		return ""
	}
	return candidates[usual].Server.ID
}

// Candidate returns a server with its current load.
func (l *LoadTable) Candidate(server discovery.BackendServer, service routetable.Service, now boottime.Instant) Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newCandidate(server, Request{Service: service}, now)
}

// OpenAt opens an assignment at a given server, for a request that the table did
// not place. While the server is held back, it returns nil and the time at which the server
// accepts a request again; zero means never.
func (l *LoadTable) OpenAt(server discovery.BackendServer, tokens int, now boottime.Instant) (*Assignment, boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.Pauses.Status(server, now)
	if status.Closed {
		return nil, 0
	}
	l.ServerLimits.SetCold(server.ID, server.WarmAt, now)
	until := max(status.PausedUntil, l.ServerLimits.Held(now)[server.ID])
	if until != 0 {
		return nil, until
	}
	return l.open(server.ID, tokens, now), 0
}

// open opens an assignment. Every request to a backend server has one, so that each of
// them counts against the server's rate limit.
func (l *LoadTable) open(server string, tokens int, now boottime.Instant) *Assignment {
	l.ServerLimits.Spend(server, now)
	state := l.server(server)
	assignment := &Assignment{table: l, server: server, tokens: tokens, sentAt: now, index: len(state.assignments)}
	state.assignments = append(state.assignments, assignment)
	state.lastSentAt = max(state.lastSentAt, now)
	return assignment
}

// Prune drops the state of servers that are no longer in the discovery list and
// have no open request.
func (l *LoadTable) Prune(list discovery.List) {
	listed := func(id string) bool {
		_, found := list.Find(id)
		return found
	}
	l.Pauses.Prune(listed, boottime.Now())
	l.ServerLimits.Prune(listed, boottime.Now())
	l.Unresponsive.Prune(listed)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scratch.states = nil
	for id, state := range l.servers {
		if !listed(id) && len(state.assignments) == 0 {
			delete(l.servers, id)
		}
	}
	maps.DeleteFunc(l.avoided, func(id string, _ boottime.Instant) bool { return !listed(id) })
	maps.DeleteFunc(l.superseded, func(id string, _ boottime.Instant) bool { return !listed(id) })
}

// server returns the state of a server and creates it when there is none. The
// caller holds the mutex.
func (l *LoadTable) server(server string) *serverState {
	if l.servers == nil {
		l.servers = make(map[string]*serverState)
	}
	state, ok := l.servers[server]
	if !ok {
		state = &serverState{id: server, report: l.reports[server]}
		l.servers[server] = state
	}
	return state
}

// serverAt is like server, for the one at a place of the list of a request.
func (l *LoadTable) serverAt(place int, server string) *serverState {
	for len(l.scratch.states) <= place {
		l.scratch.states = append(l.scratch.states, nil)
	}
	state := l.scratch.states[place]
	if state == nil || state.id != server {
		state = l.server(server)
		l.scratch.states[place] = state
	}
	return state
}

// newCandidate combines the last report of a server with the requests that this
// host has sent there since. The caller holds the mutex.
func (l *LoadTable) newCandidate(server discovery.BackendServer, request Request, now boottime.Instant) Candidate {
	var c Candidate
	l.setCandidate(&c, &server, l.server(server.ID), l.Pauses.Status(server, now), &request, now)
	return c
}

// setCandidate is newCandidate without copies, for the many candidates of one placement, for a server
// with the given state and status. The caller holds the mutex.
func (l *LoadTable) setCandidate(c *Candidate, server *discovery.BackendServer, state *serverState, status serverpause.Status, request *Request, now boottime.Instant) {
	*c = Candidate{
		Server:   *server,
		SameZone: server.Zone == l.Zone,
		Cold:     now.Before(server.WarmAt),
		Tried:    request.Tried[server.ID],
		Avoided:  now.Before(l.avoided[server.ID]),
		Slots:    server.Slots,
		Open:     len(state.assignments),
		Running:  len(state.assignments),
		Leaving:  status.Leaving,
	}
	if state.failedAt.AddMillis(failureForgetMillis) > now {
		c.FailureShare = state.failureShare
	}
	if request.Service.Engine == nil {
		status := l.Unresponsive.Status(*server, request.Repeatable, now)
		c.Unresponsive, c.ProbeUntil = status.Unresponsive, status.ProbeUntil
		return
	}
	c.MemoryTokens = request.Service.Engine.MemoryTokens
	if _, leaving := l.leaving[server.ID]; leaving {
		c.Leaving = true
	}
	report := state.report
	if report == nil || now.MillisSince(report.ReceivedAt) > reportMillis {
		c.countOpen(state)
		return
	}
	c.ReportMillis = now.MillisSince(report.ReceivedAt)
	c.EventMicros, c.EventAgeMillis = report.eventTime(now)
	c.countReported(report, state)
}

// countOpen sets the load to that of this host's open requests alone, as there is no recent
// report.
func (c *Candidate) countOpen(state *serverState) {
	c.ReportMillis = -1
	for _, assignment := range state.assignments {
		c.UsedTokens += assignment.tokens
		c.ExpectedTokens += assignment.tokens
		if !assignment.started {
			c.Starting++
			c.UnreadTokens += assignment.tokens
		}
	}
	c.NearTokens = c.ExpectedTokens
}

// countReported sets the load to the reported one and this host's requests that were sent
// after the report, which does not count them.
func (c *Candidate) countReported(report *Report, state *serverState) {
	c.Running = report.Running
	c.Queued = report.Queued
	c.UsedTokens = report.UsedTokens
	c.ExpectedTokens = report.ExpectedTokens
	c.NearTokens = report.NearTokens
	c.UnreadTokens = report.UnreadTokens
	c.Starting = report.Starting
	c.LongRuns = report.LongRuns
	if !report.ReceivedAt.Before(state.lastSentAt) {
		return
	}
	for _, assignment := range state.assignments {
		if report.ReceivedAt.Before(assignment.sentAt) {
			c.UsedTokens += assignment.tokens
			c.ExpectedTokens += assignment.tokens
			c.NearTokens += assignment.tokens
			c.UnreadTokens += assignment.tokens
			c.Running++
			c.Starting++
		}
	}
}

package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

const (
	// failureWeight is the weight of the newest result in the moving average of
	// failures.
	failureWeight = 0.15
	// failureForgetMillis is the time since the last failure after which the
	// failures of a backend server no longer count, so that it gets requests
	// again.
	failureForgetMillis = 4000
	// migrationShare is the share of the memory on engines that are about to shut down
	// that is kept free elsewhere. Some of the runs end before their engine does.
	migrationShare = 0.5
	// reportMillis is the age up to which a load report is used.
	reportMillis = 2500
)

// LoadTable holds the load of the backend servers as one entry host sees it: the
// reports of the engines and the requests that this host has open. It is safe for
// concurrent use.
type LoadTable struct {
	// Zone is the entry host's availability zone. It is set before use.
	Zone string
	// Policy selects the server; nil means ByForecast. It is set before use.
	Policy Policy

	mu sync.Mutex
	// turn counts the calls of Place.
	turn int
	// servers holds this host's requests at each server, by server ID.
	servers map[string]*serverState
	// reports holds the newest report of each engine, by server ID.
	reports map[string]Report
	// leaving holds the shutdown times of engines, by server ID.
	leaving    map[string]boottime.Instant
	promptRate promptRate
	// avoided holds the times until which servers get no request unless there
	// is no other, by server ID.
	avoided map[string]boottime.Instant
}

// serverState holds this entry host's requests at one backend server.
type serverState struct {
	// assignments are the open requests.
	assignments map[*Assignment]struct{}
	// failureShare is a moving average of the share of requests that failed.
	failureShare float64
	// failedAt is the time of the last failure.
	failedAt boottime.Instant
}

// Assignment is one open request of this entry host at a backend server.
type Assignment struct {
	table *LoadTable
	// server is the server's ID.
	server string
	// tokens is the memory that the request is expected to need.
	tokens int
	// promptTokens is the size of the prompt if no other prompt was ahead of it; zero
	// otherwise.
	promptTokens int
	sentAt       boottime.Instant
	// started says that the server has sent the first event of the answer.
	started bool
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
	// StartBy is the time by which the first event should come; zero means no limit.
	StartBy boottime.Instant
	// Tried holds the IDs of the servers that the request was already sent to.
	Tried map[string]bool
	// RefusedUntil holds the times until which engines that refused a reservation for
	// the request are taken to have no memory for it, by ID.
	RefusedUntil map[string]boottime.Instant
	// RoomOnly says that the request is not placed at an engine without room.
	RoomOnly bool
}

// Placement is the result of placing a Request.
type Placement struct {
	// Chosen is the selected server with its load at that time.
	Chosen Candidate
	// Assignment is the open assignment at the chosen server; it is nil when no
	// server can take the request.
	Assignment *Assignment
	// NoRoom says that there are engines that could take the request, but none with
	// room. Lacking then counts them by what they lack.
	NoRoom  bool
	Lacking map[Lack]int
}

// Place selects one of the ready backend servers and opens an assignment there.
func (l *LoadTable) Place(ready []discovery.BackendServer, request Request, now boottime.Instant) Placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := make([]Candidate, len(ready))
	jitter := make([]float64, len(ready))
	for i, server := range ready {
		candidates[i] = l.newCandidate(server, request, now)
		jitter[i] = rand.Float64()
	}
	l.keepForMigrations(candidates, request.Service, now)
	l.checkRoom(candidates, request, now)
	l.turn++
	best, ok := chooseBy(l.Policy, candidates, request.Tokens, jitter, l.turn)
	if !ok {
		return Placement{}
	}
	if request.RoomOnly && candidates[best].usable() && !candidates[best].hasRoom() {
		return Placement{Chosen: candidates[best], NoRoom: true, Lacking: countLacking(candidates)}
	}
	assignment := l.open(ready[best].ID, request.Tokens, now)
	if candidates[best].UnreadTokens == 0 {
		assignment.promptTokens = request.PromptTokens
	}
	return Placement{Chosen: candidates[best], Assignment: assignment}
}

// keepForMigrations divides the memory of the runs on engines that are about to shut
// down among the engines that can take these runs. The caller holds the mutex.
func (l *LoadTable) keepForMigrations(candidates []Candidate, service routetable.Service, now boottime.Instant) {
	moving := 0
	for id, leavesAt := range l.leaving {
		if report, ok := l.reports[id]; ok && report.Service == service.Name && now.Before(leavesAt) {
			moving += report.UsedTokens
		}
	}
	usable := 0
	for _, c := range candidates {
		if c.usable() {
			usable++
		}
	}
	for i := range candidates {
		candidates[i].KeptTokens = int(migrationShare*float64(moving)) / max(usable, 1)
	}
}

// checkRoom sets which of the candidates have room for the request. An engine without a
// report has none as long as there are others with one, as all entry hosts would take an
// engine that has just started for idle. The caller holds the mutex.
func (l *LoadTable) checkRoom(candidates []Candidate, request Request, now boottime.Instant) {
	reported := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.usable() && c.ReportMillis >= 0 })
	for i, c := range candidates {
		switch {
		case c.ReportMillis < 0 && reported:
			candidates[i].Lacking = LacksReport
		case !c.hasSlot():
			candidates[i].Lacking = LacksSlot
		case !c.fits(request), now.Before(request.RefusedUntil[c.Server.ID]):
			candidates[i].Lacking = LacksMemory
		case !l.startsInTime(c, request, now):
			candidates[i].Lacking = LacksTime
		}
	}
}

// startsInTime reports whether the first event of the request would come in time,
// after the prompts that the engine has yet to process. The caller holds the mutex.
func (l *LoadTable) startsInTime(c Candidate, request Request, now boottime.Instant) bool {
	if request.StartBy == 0 || c.UnreadTokens == 0 {
		return true
	}
	millis := l.promptRate.millisPerToken() * float64(c.UnreadTokens+request.PromptTokens)
	return now.AddMillis(int64(millis)) <= request.StartBy
}

// PromptMillis returns the usual time to the first event after a prompt.
func (l *LoadTable) PromptMillis(tokens int) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.promptRate.millisPerToken() * float64(tokens))
}

// Candidate returns a server with its current load.
func (l *LoadTable) Candidate(server discovery.BackendServer, service routetable.Service, now boottime.Instant) Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newCandidate(server, Request{Service: service}, now)
}

// OpenAt opens an assignment at a given server, for a request that the table did
// not place.
func (l *LoadTable) OpenAt(server string, tokens int, now boottime.Instant) *Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open(server, tokens, now)
}

func (l *LoadTable) open(server string, tokens int, now boottime.Instant) *Assignment {
	assignment := &Assignment{table: l, server: server, tokens: tokens, sentAt: now}
	l.server(server).assignments[assignment] = struct{}{}
	return assignment
}

// Cancel closes the assignment of a request that was not sent.
func (a *Assignment) Cancel() {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	delete(a.table.server(a.server).assignments, a)
}

// MarkStarted records that the server has sent the first event of the answer.
func (a *Assignment) MarkStarted(now boottime.Instant) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.started = true
	if a.promptTokens > 0 {
		a.table.promptRate.add(now.MillisSince(a.sentAt), a.promptTokens)
	}
}

// End closes the assignment. The argument failed says that the server failed the
// request.
func (a *Assignment) End(failed bool, now boottime.Instant) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	state := a.table.server(a.server)
	delete(state.assignments, a)
	value := 0.0
	if failed {
		value = 1
		state.failedAt = now
	}
	state.failureShare += failureWeight * (value - state.failureShare)
}

// Prune drops the state of servers that are no longer in the discovery list and
// have no open request.
func (l *LoadTable) Prune(list discovery.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, state := range l.servers {
		if _, listed := list.Find(id); !listed && len(state.assignments) == 0 {
			delete(l.servers, id)
		}
	}
	maps.DeleteFunc(l.avoided, func(id string, _ boottime.Instant) bool {
		_, listed := list.Find(id)
		return !listed
	})
}

// server returns the state of a server and creates it when there is none. The
// caller holds the mutex.
func (l *LoadTable) server(server string) *serverState {
	if l.servers == nil {
		l.servers = make(map[string]*serverState)
	}
	state, ok := l.servers[server]
	if !ok {
		state = &serverState{assignments: make(map[*Assignment]struct{})}
		l.servers[server] = state
	}
	return state
}

// newCandidate combines the last report of a server with the requests that this
// host has sent there since. The caller holds the mutex.
func (l *LoadTable) newCandidate(server discovery.BackendServer, request Request, now boottime.Instant) Candidate {
	state := l.server(server.ID)
	c := Candidate{
		Server:   server,
		SameZone: server.Zone == l.Zone,
		Cold:     now.Before(server.WarmAt),
		Tried:    request.Tried[server.ID],
		Avoided:  now.Before(l.avoided[server.ID]),
		Slots:    server.Slots,
		Open:     len(state.assignments),
		Running:  len(state.assignments),
	}
	if state.failedAt.AddMillis(failureForgetMillis) > now {
		c.FailureShare = state.failureShare
	}
	if request.Service.Engine == nil {
		return c
	}
	c.MemoryTokens = request.Service.Engine.MemoryTokens
	_, c.Leaving = l.leaving[server.ID]
	report, reported := l.reports[server.ID]
	if !reported || now.MillisSince(report.ReceivedAt) > reportMillis {
		return c.withoutReport(state)
	}
	c.ReportMillis = now.MillisSince(report.ReceivedAt)
	return c.withReport(report, state)
}

// withoutReport returns the candidate with a load that counts only this host's
// open requests, as there is no recent report.
func (c Candidate) withoutReport(state *serverState) Candidate {
	c.ReportMillis = -1
	for assignment := range state.assignments {
		c.UsedTokens += assignment.tokens
		c.ExpectedTokens += assignment.tokens
		if !assignment.started {
			c.Starting++
			c.UnreadTokens += assignment.tokens
		}
	}
	c.NearTokens = c.ExpectedTokens
	return c
}

// withReport returns the candidate with the reported load and this host's
// requests that were sent after the report, which does not count them.
func (c Candidate) withReport(report Report, state *serverState) Candidate {
	c.Running = report.Running
	c.Queued = report.Queued
	c.UsedTokens = report.UsedTokens
	c.ExpectedTokens = report.ExpectedTokens
	c.NearTokens = report.NearTokens
	c.UnreadTokens = report.UnreadTokens
	c.Starting = report.Starting
	for assignment := range state.assignments {
		if report.ReceivedAt.Before(assignment.sentAt) {
			c.UsedTokens += assignment.tokens
			c.ExpectedTokens += assignment.tokens
			c.NearTokens += assignment.tokens
			c.UnreadTokens += assignment.tokens
			c.Running++
			c.Starting++
		}
	}
	return c
}

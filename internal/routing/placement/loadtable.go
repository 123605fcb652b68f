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
	// Placing is how servers are chosen; nil means ByForecast.
	Placing Policy

	mu sync.Mutex
	// turn counts the choices.
	turn     int
	accounts map[string]*account
	// reports by the ID of the engine.
	reports map[string]Report
	// leaving holds when engines end, by ID.
	leaving map[string]boottime.Instant
	// avoided holds until when servers get no request, by ID.
	avoided map[string]boottime.Instant
}

// account is what this entry host did at one backend server.
type account struct {
	// seats are the open requests.
	seats        map[*Assignment]struct{}
	failureShare float64
	failedAt     boottime.Instant
}

// Assignment is one open request at a backend server.
type Assignment struct {
	ledger *LoadTable
	server string
	tokens int
	sentAt boottime.Instant
	// begun says that the server has made the first event.
	begun bool
}

// Request is a request that needs a backend server.
type Request struct {
	Service routetable.Service
	// Tokens is the memory that it will need; zero for a plain service.
	Tokens int
	// Tried holds the IDs of servers that it was sent to.
	Tried map[string]bool
}

// Placer is the answer to a Request.
type Placer struct {
	// Chosen is the backend server, as it was known.
	Chosen Candidate
	// Seat is the open assignment at the chosen server; it is nil when there is none.
	Seat *Assignment
}

// Take chooses a backend server among those that are ready and opens an assignment
// there.
func (l *LoadTable) Take(ready []discovery.BackendServer, ask Request, now boottime.Instant) Placer {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := make([]Candidate, len(ready))
	points := make([]float64, len(ready))
	for i, server := range ready {
		candidates[i] = l.candidate(server, ask, now)
		points[i] = rand.Float64()
	}
	l.turn++
	best, ok := chooseBy(l.Placing, candidates, ask.Tokens, points, l.turn)
	if !ok {
		return Placer{}
	}
	return Placer{Chosen: candidates[best], Seat: l.open(ready[best].ID, ask.Tokens, now)}
}

// Look returns a server as it is known.
func (l *LoadTable) Look(server discovery.BackendServer, service routetable.Service, now boottime.Instant) Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate(server, Request{Service: service}, now)
}

// OpenAt opens an assignment at a server that was chosen otherwise.
func (l *LoadTable) OpenAt(server string, tokens int, now boottime.Instant) *Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open(server, tokens, now)
}

func (l *LoadTable) open(server string, tokens int, now boottime.Instant) *Assignment {
	seat := &Assignment{ledger: l, server: server, tokens: tokens, sentAt: now}
	l.account(server).seats[seat] = struct{}{}
	return seat
}

// Begin notes that the server has made the first event.
func (a *Assignment) Begin() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.begun = true
}

// End closes an assignment. Failed says that the server failed the request.
func (a *Assignment) End(failed bool, now boottime.Instant) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	acct := a.ledger.account(a.server)
	delete(acct.seats, a)
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
	for id, a := range l.accounts {
		if _, listed := list.Find(id); !listed && len(a.seats) == 0 {
			delete(l.accounts, id)
		}
	}
	maps.DeleteFunc(l.avoided, func(id string, _ boottime.Instant) bool {
		_, listed := list.Find(id)
		return !listed
	})
}

func (l *LoadTable) account(server string) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a, ok := l.accounts[server]
	if !ok {
		a = &account{seats: make(map[*Assignment]struct{})}
		l.accounts[server] = a
	}
	return a
}

// candidate joins what was reported of a server with what this host sent
// there since.
func (l *LoadTable) candidate(server discovery.BackendServer, ask Request, now boottime.Instant) Candidate {
	a := l.account(server.ID)
	c := Candidate{
		Server:   server,
		SameZone: server.Zone == l.Zone,
		Cold:     now.Before(server.WarmAt),
		Tried:    ask.Tried[server.ID],
		Avoided:  now.Before(l.avoided[server.ID]),
		Slots:    server.Slots,
		Open:     len(a.seats),
		Running:  len(a.seats),
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
func (c Candidate) withoutReport(a *account) Candidate {
	c.ReportMillis = -1
	for seat := range a.seats {
		c.UsedTokens += seat.tokens
		c.ExpectedTokens += seat.tokens
		if !seat.begun {
			c.Starting++
		}
	}
	return c
}

// withReport returns the candidate with the load that was reported, and what
// was sent there since.
func (c Candidate) withReport(report Report, a *account) Candidate {
	c.Running = report.Running
	c.Queued = report.Queued
	c.UsedTokens = report.UsedTokens
	c.ExpectedTokens = report.Expected
	c.Starting = report.Starting
	for seat := range a.seats {
		if report.ReceivedAt.Before(seat.sentAt) {
			c.UsedTokens += seat.tokens
			c.ExpectedTokens += seat.tokens
			c.Running++
			c.Starting++
		}
	}
	return c
}

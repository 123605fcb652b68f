package placement

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// Report is the load of an engine, as reported by its monitor, the process beside
// the engine.
type Report struct {
	// Service is the name of the engine's service.
	Service string
	// Running and Queued are numbers of requests, from all entry hosts.
	Running int
	Queued  int
	// UsedTokens is the memory in use.
	UsedTokens int
	// ExpectedTokens is the memory that will be in use once all requests at the
	// engine have grown to their expected size.
	ExpectedTokens int
	// NearTokens is the most memory that will be in use while the next short request
	// runs.
	NearTokens int
	// Starting is the number of requests whose answer has no event yet.
	Starting int
	// UnreadTokens is the size of their prompts.
	UnreadTokens int
	// EventMicros is the usual time between two events of a run in microseconds; zero
	// when unknown. EventAt is the time of its estimate.
	EventMicros int64
	EventAt     boottime.Instant
	// LongRuns is the number of runs that are expected to produce a long further output.
	LongRuns int
	// Watchers is the number of entry hosts that watch the engine.
	Watchers   int
	ReceivedAt boottime.Instant
}

// SetReport stores the newest report of an engine.
func (l *LoadTable) SetReport(server string, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = make(map[string]*Report)
	}
	l.reports[server] = &report
	if state, known := l.servers[server]; known {
		state.report = &report
	}
	l.entryHosts.observe(report.Watchers, report.ReceivedAt)
}

// SetLeaving stores the time at which an engine will shut down.
func (l *LoadTable) SetLeaving(server string, at boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving == nil {
		l.leaving = make(map[string]boottime.Instant)
	}
	l.leaving[server] = at
}

// Leaving reports whether an engine is about to shut down.
func (l *LoadTable) Leaving(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leaving := l.leaving[server]
	return leaving
}

// Avoid keeps requests away from a server until the given time, unless there is
// no other server.
func (l *LoadTable) Avoid(server string, until boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoided == nil {
		l.avoided = make(map[string]boottime.Instant)
	}
	l.avoided[server] = until
}

// Supersede keeps requests away from a server until the given time, as another one has its
// address.
func (l *LoadTable) Supersede(server string, until boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.superseded == nil {
		l.superseded = make(map[string]boottime.Instant)
	}
	l.superseded[server] = until
}

// Forget drops the report and the shutdown time of an engine that is no longer
// watched.
func (l *LoadTable) Forget(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reports, server)
	if state, known := l.servers[server]; known {
		state.report = nil
	}
	delete(l.leaving, server)
}

// LeavingEngines returns the IDs of the engines that are about to shut down.
func (l *LoadTable) LeavingEngines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.leaving))
	for id := range l.leaving {
		ids = append(ids, id)
	}
	return ids
}

// Capacity is the free capacity of one engine.
type Capacity struct {
	Server discovery.BackendServer
	// FreeTokens is the memory that is free now.
	FreeTokens int
	// SpareTokens is the memory that stays free once all requests at the engine
	// have grown to their expected size. It may be negative.
	SpareTokens int
	// FreeSlots is the number of further requests that could run at once. It may
	// be negative.
	FreeSlots int
	// LongPauses says that the longest pause that is forecast for the streams of the
	// service exceeds their limit at this engine.
	LongPauses bool
	// LatePercent is the probability that a pause of such a stream exceeds the limit at this
	// engine, in percent and rounded up; zero when it is not known, or none.
	LatePercent int
}

// FreeCapacity returns the free capacity of the servers that have a recent report,
// are not about to shut down and are not avoided. Servers with a rate limit are left out
// unless there are no others.
func (l *LoadTable) FreeCapacity(ready []discovery.BackendServer, service routetable.Service) []Capacity {
	return l.capacities(ready, service, true)
}

// AssumedCapacity is like FreeCapacity. If no server has a recent report, it returns what the
// requests of this host leave free.
func (l *LoadTable) AssumedCapacity(ready []discovery.BackendServer, service routetable.Service) []Capacity {
	if reported := l.capacities(ready, service, true); len(reported) > 0 {
		return reported
	}
	return l.capacities(ready, service, false)
}

func (l *LoadTable) capacities(ready []discovery.BackendServer, service routetable.Service, reportedOnly bool) []Capacity {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	runs := l.runPauses(service)
	var candidates []Candidate
	for _, server := range l.withoutLimits(ready) {
		c := l.newCandidate(server, Request{Service: service}, now)
		if (reportedOnly && c.ReportMillis < 0) || c.Leaving || c.Avoided || now.Before(l.superseded[server.ID]) {
			continue
		}
		candidates = append(candidates, c)
	}
	l.compareRuns(candidates, service)
	capacities := make([]Capacity, 0, len(candidates))
	for _, c := range candidates {
		capacities = append(capacities, Capacity{
			Server:      c.Server,
			FreeTokens:  c.MemoryTokens - c.UsedTokens,
			SpareTokens: c.MemoryTokens - c.ExpectedTokens,
			FreeSlots:   c.Slots - c.Running - c.Queued,
			LongPauses:  runs.excess(c.EventMicros) > 0,
			LatePercent: c.RunsLate.Percent(),
		})
	}
	return capacities
}

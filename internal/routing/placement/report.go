package placement

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// Report is the load of an engine as the process beside it reported it.
type Report struct {
	Running    int
	Queued     int
	UsedTokens int
	// ExpectedTokens is the memory that will be taken once all requests there have
	// grown to their expected size, in tokens.
	ExpectedTokens int
	// Starting are the requests that have made no event yet.
	Starting int
	// Watchers are the entry hosts that watch the engine.
	Watchers   int
	ReceivedAt boottime.Instant
}

// SetReport takes over a report of an engine.
func (l *LoadTable) SetReport(server string, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = make(map[string]Report)
	}
	l.reports[server] = report
}

// SetLeaving takes over when an engine ends.
func (l *LoadTable) SetLeaving(server string, at boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving == nil {
		l.leaving = make(map[string]boottime.Instant)
	}
	l.leaving[server] = at
}

// Leaving reports whether an engine is known to end soon.
func (l *LoadTable) Leaving(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leaving := l.leaving[server]
	return leaving
}

// Avoid keeps requests away from a server until a moment.
func (l *LoadTable) Avoid(server string, until boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoided == nil {
		l.avoided = make(map[string]boottime.Instant)
	}
	l.avoided[server] = until
}

// Forget drops what was reported of an engine that is no longer watched.
func (l *LoadTable) Forget(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reports, server)
	delete(l.leaving, server)
}

// assumedEntryHosts is assumed while no engine says how many entry hosts there are.
const assumedEntryHosts = 32

// EntryHosts returns the number of entry hosts, as the engines see it.
func (l *LoadTable) EntryHosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, report := range l.reports {
		most = max(most, report.Watchers)
	}
	if most == 0 {
		return assumedEntryHosts
	}
	return most
}

// LeavingEngines returns the IDs of the engines that are known to end soon.
func (l *LoadTable) LeavingEngines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.leaving))
	for id := range l.leaving {
		ids = append(ids, id)
	}
	return ids
}

// Capacity is the room of one engine.
type Capacity struct {
	Server     discovery.BackendServer
	FreeTokens int
	// SpareTokens is what stays free once all requests there have grown; it may
	// be negative.
	SpareTokens int
	FreeSlots   int
}

// FreeCapacity returns the room of the servers that stay and of which there is a
// recent report.
func (l *LoadTable) FreeCapacity(ready []discovery.BackendServer, service routetable.Service) []Capacity {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	var rooms []Capacity
	for _, server := range ready {
		report, reported := l.reports[server.ID]
		if !reported || now.MillisSince(report.ReceivedAt) > reportMillis {
			continue
		}
		c := l.newCandidate(server, Request{Service: service}, now)
		if c.Leaving || c.Avoided {
			continue
		}
		rooms = append(rooms, Capacity{
			Server:      server,
			FreeTokens:  c.MemoryTokens - c.UsedTokens,
			SpareTokens: c.MemoryTokens - c.ExpectedTokens,
			FreeSlots:   c.Slots - c.Running - c.Queued,
		})
	}
	return rooms
}

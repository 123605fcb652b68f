package placement

import (
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/memoryforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// migrationShare is the share of the memory on engines that are about to shut down
// that is kept free elsewhere. Some of the runs end before their engine does.
const migrationShare = 0.5

// checkRoom sets which of the candidates have room for the request. An engine without a
// report has none as long as there are others with one, as all entry hosts would take an
// engine that has just started for idle, and while this host has just started and the request
// can wait for the first reports. The caller holds the mutex.
func (l *LoadTable) checkRoom(candidates []Candidate, request *Request, now boottime.Instant) {
	reported := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.usable() && c.ReportMillis >= 0 })
	needsReport := reported || l.awaitsReports(request, now)
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.ReportMillis < 0 && needsReport:
			c.Lacking = LacksReport
		case !c.hasSlot():
			c.Lacking = LacksSlot
		case !c.fits(request), now.Before(request.RefusedUntil[c.Server.ID]):
			c.Lacking = LacksMemory
		case !l.startsInTime(c, request, now):
			c.Lacking = LacksTime
		}
	}
}

// awaitsReports reports whether the request can wait until the monitors of engines have had
// the time for their first reports to this host. The caller holds the mutex.
func (l *LoadTable) awaitsReports(request *Request, now boottime.Instant) bool {
	promptMillis := int64(l.promptRate.millisPerToken() * float64(request.PromptTokens))
	return now.Before(l.unreportedFrom) && !request.StartBy.AddMillis(-promptMillis).Before(l.unreportedFrom)
}

// startsInTime reports whether the first event of the request would come in time,
// after the prompts that the engine has yet to process. The caller holds the mutex.
func (l *LoadTable) startsInTime(c *Candidate, request *Request, now boottime.Instant) bool {
	if request.StartBy == 0 || c.UnreadTokens == 0 {
		return true
	}
	millis := l.promptRate.millisPerToken() * float64(c.UnreadTokens+request.PromptTokens)
	return now.AddMillis(int64(millis)) <= request.StartBy
}

// keepForMigrations divides the memory of the runs on engines that are about to shut
// down among the engines that can take these runs. The caller holds the mutex.
func (l *LoadTable) keepForMigrations(candidates []Candidate, request *Request, now boottime.Instant) {
	kept := l.movingTokens(request, now)
	usable := 0
	for i := range candidates {
		if candidates[i].usable() {
			usable++
		}
	}
	for i := range candidates {
		candidates[i].KeptTokens = kept / max(usable, 1)
	}
}

// movingTokens returns the memory that a request leaves to the runs of engines that are about
// to shut down. A request that can be on time after the last shutdown leaves them all that they
// will need. The others, and those without StartBy, leave them a share of what they use. It answers
// the load of many engines that shut down while the memory of the others is nearly full. The caller
// holds the mutex.
func (l *LoadTable) movingTokens(request *Request, now boottime.Instant) int {
	used, expected := 0, 0
	lastAt := now
	for id, leavesAt := range l.leaving {
		report, ok := l.reports[id]
		if !ok || report.Service != request.Service.Name || !now.Before(leavesAt) {
			continue
		}
		used += report.UsedTokens
		expected += max(report.UsedTokens, report.ExpectedTokens)
		lastAt = max(lastAt, leavesAt)
	}
	promptMillis := int64(l.promptRate.millisPerToken() * float64(request.PromptTokens))
	if lastAt.AddMillis(promptMillis).Before(request.StartBy) {
		return expected
	}
	return int(migrationShare * float64(used))
}

// PromptMillis returns the usual time to the first event after a prompt.
func (l *LoadTable) PromptMillis(tokens int) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.promptRate.millisPerToken() * float64(tokens))
}

// usable reports whether the candidate may get requests at all.
func (c *Candidate) usable() bool {
	return !c.Leaving && !c.Avoided && !c.Tried
}

// mustWait reports whether a request that can still be on time waits rather than being sent
// to the candidate.
func (c *Candidate) mustWait() bool {
	return c.Avoided || (c.usable() && !c.hasRoom())
}

// hasRoom reports whether the candidate lacks nothing for the request.
func (c *Candidate) hasRoom() bool {
	return c.Lacking == LacksNothing
}

// hasSlot reports whether the candidate could run a further request at once. A plain
// service queues its requests.
func (c *Candidate) hasSlot() bool {
	return c.MemoryTokens == 0 || c.Running < c.Slots
}

// fits reports whether an engine has the memory for a further request beside all that
// it is expected to need while the request runs.
func (c *Candidate) fits(request *Request) bool {
	if c.MemoryTokens == 0 {
		return true
	}
	if c.ExpectedTokens == 0 {
		return request.PromptTokens <= c.MemoryTokens
	}
	if request.Short {
		return c.NearTokens+request.Tokens <= c.MemoryTokens
	}
	growth := min(request.Tokens-request.PromptTokens, memoryforecast.MaxGrowthTokens)
	return c.ExpectedTokens+c.KeptTokens+request.PromptTokens+growth <= c.MemoryTokens
}

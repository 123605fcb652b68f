package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// loadDelayMillis is the time after which a run that was given to a destination
// shows in the load that entry hosts know of it.
const loadDelayMillis = 400

// advice is what the entry hosts said since the notice, and what was made of it.
// It is not safe for concurrent use; its zero value is ready.
type advice struct {
	// runs by request identity.
	runs map[string]advisedRun
	// byAddress by address.
	byAddress map[string]advisedDestination
	// assigned holds the runs that were given to destinations, in order.
	assigned []assignedRun
	// refusedAt holds when destinations refused a copy, by address.
	refusedAt map[string]boottime.Instant
}

// advisedRun is what an entry host said of a run.
type advisedRun struct {
	remaining int
	worth     int64
}

// advisedDestination is what an entry host said of a destination.
type advisedDestination struct {
	destination migration.Destination
	receivedAt  boottime.Instant
}

// assignedRun is a run that was given to a destination.
type assignedRun struct {
	step migration.Step
	at   boottime.Instant
}

// take takes over the advice of one entry host. Of two that differ about a
// destination the newer one counts.
func (a *advice) take(message *sighting.Advice, now boottime.Instant) {
	if a.runs == nil {
		a.runs = make(map[string]advisedRun)
		a.byAddress = make(map[string]advisedDestination)
	}
	for _, run := range message.GetRuns() {
		a.runs[run.GetRequestId()] = advisedRun{
			remaining: int(run.GetRemainingTokens()),
			worth:     int64(run.GetWorth()),
		}
	}
	for _, d := range message.GetDestinations() {
		a.byAddress[d.GetAddress()] = advisedDestination{
			destination: migration.Destination{
				Address:     d.GetAddress(),
				FreeTokens:  int(d.GetFreeTokens()),
				SpareTokens: int(d.GetSpareTokens()),
				FreeSlots:   int(d.GetFreeSlots()),
				SameZone:    d.GetSameZone(),
				Contended:   d.GetContended(),

				CopyTokensPerSecond: int(d.GetCopyTokensPerSecond()),
			},
			receivedAt: now,
		}
	}
}

// run joins a run of the engine with what was said of it.
func (a *advice) run(run platform.EngineRun) migration.Run {
	said, ok := a.runs[run.RequestID]
	if !ok {
		said.remaining = -1
	}
	return migration.Run{
		RequestID: run.RequestID,
		Tokens:    run.Tokens,
		Remaining: said.remaining,
		Worth:     said.worth,
	}
}

// assign notes that a run was given to its destination.
func (a *advice) assign(step migration.Step, now boottime.Instant) {
	a.assigned = append(a.assigned, assignedRun{step: step, at: now})
}

// markRefused notes that a destination refused a copy.
func (a *advice) markRefused(address string, now boottime.Instant) {
	if a.refusedAt == nil {
		a.refusedAt = make(map[string]boottime.Instant)
	}
	a.refusedAt[address] = now
}

// destinations returns the destinations with the room that the runs given to
// them leave. What was said too early to show a run is reduced by it.
func (a *advice) destinations() []migration.Destination {
	all := make([]migration.Destination, 0, len(a.byAddress))
	for _, place := range a.byAddress {
		all = append(all, a.available(place))
	}
	return all
}

func (a *advice) available(place advisedDestination) migration.Destination {
	d := place.destination
	if closedAt, closed := a.refusedAt[d.Address]; closed && place.receivedAt.Before(closedAt.AddMillis(loadDelayMillis)) {
		d.FreeSlots = 0
	}
	for _, g := range a.assigned {
		if g.step.Destination.Address != d.Address {
			continue
		}
		d.Assigned++
		if place.receivedAt.Before(g.at.AddMillis(loadDelayMillis)) {
			d.FreeSlots--
			d.FreeTokens -= g.step.Run.Tokens
			d.SpareTokens -= g.step.Run.Tokens + max(g.step.Run.Remaining, 0)
		}
	}
	return d
}

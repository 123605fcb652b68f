package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// shownMillis is the time after which a run that was given to a destination
// shows in the load that entry hosts know of it.
const shownMillis = 400

// advice is what the entry hosts said since the notice, and what was made of it.
// It is not safe for concurrent use; its zero value is ready.
type advice struct {
	// runs by request identity.
	runs map[string]advisedRun
	// places by address.
	places map[string]advisedPlace
	// given holds the runs that were given to destinations, in order.
	given []givenRun
	// closedAt holds when destinations refused a copy, by address.
	closedAt map[string]boottime.Instant
}

// advisedRun is what an entry host said of a run.
type advisedRun struct {
	remaining int
	worth     int64
}

// advisedPlace is what an entry host said of a destination.
type advisedPlace struct {
	destination migration.Destination
	saidAt      boottime.Instant
}

// givenRun is a run that was given to a destination.
type givenRun struct {
	step migration.Step
	at   boottime.Instant
}

// take takes over the advice of one entry host. Of two that differ about a
// destination the newer one counts.
func (a *advice) take(message *sighting.Advice, now boottime.Instant) {
	if a.runs == nil {
		a.runs = make(map[string]advisedRun)
		a.places = make(map[string]advisedPlace)
	}
	for _, run := range message.GetRuns() {
		a.runs[run.GetRequestId()] = advisedRun{
			remaining: int(run.GetRemainingTokens()),
			worth:     int64(run.GetWorth()),
		}
	}
	for _, d := range message.GetDestinations() {
		a.places[d.GetAddress()] = advisedPlace{
			destination: migration.Destination{
				Address:     d.GetAddress(),
				FreeTokens:  int(d.GetFreeTokens()),
				SpareTokens: int(d.GetSpareTokens()),
				FreeSlots:   int(d.GetFreeSlots()),
				SameZone:    d.GetSameZone(),
				Contended:   d.GetContended(),

				CopyTokensPerSecond: int(d.GetCopyTokensPerSecond()),
			},
			saidAt: now,
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
	a.given = append(a.given, givenRun{step: step, at: now})
}

// close notes that a destination refused a copy.
func (a *advice) close(address string, now boottime.Instant) {
	if a.closedAt == nil {
		a.closedAt = make(map[string]boottime.Instant)
	}
	a.closedAt[address] = now
}

// destinations returns the destinations with the room that the runs given to
// them leave. What was said too early to show a run is reduced by it.
func (a *advice) destinations() []migration.Destination {
	all := make([]migration.Destination, 0, len(a.places))
	for _, place := range a.places {
		all = append(all, a.room(place))
	}
	return all
}

func (a *advice) room(place advisedPlace) migration.Destination {
	d := place.destination
	if closedAt, closed := a.closedAt[d.Address]; closed && place.saidAt.Before(closedAt.AddMillis(shownMillis)) {
		d.FreeSlots = 0
	}
	for _, g := range a.given {
		if g.step.Destination.Address != d.Address {
			continue
		}
		d.Assigned++
		if place.saidAt.Before(g.at.AddMillis(shownMillis)) {
			d.FreeSlots--
			d.FreeTokens -= g.step.Run.Tokens
			d.SpareTokens -= g.step.Run.Tokens + max(g.step.Run.Remaining, 0)
		}
	}
	return d
}

package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// loadDelayMillis is the time after which the advice of the entry hosts counts a run
// that was assigned to a destination in the load of that destination.
const loadDelayMillis = 400

// advice holds the advice of the entry hosts since the shutdown notice, and the
// runs that were assigned to destinations by it. It is not safe for concurrent use.
// The zero value is ready to use.
type advice struct {
	// byAddress holds the destinations by address.
	byAddress map[string]advisedDestination
	// assigned holds the runs that were assigned to destinations, in order.
	assigned []assignedRun
	// refusedAt holds the times at which destinations refused a copy, by address.
	refusedAt map[string]boottime.Instant
	// busyUntil holds the times until which the links of destinations are in use by
	// other engines, by address.
	busyUntil map[string]boottime.Instant
}

// advisedDestination is an entry host's advice about a destination.
type advisedDestination struct {
	destination migration.Destination
	receivedAt  boottime.Instant
}

// assignedRun is a run that was assigned to a destination.
type assignedRun struct {
	step migration.Step
	at   boottime.Instant
}

// store stores the advice of one entry host. Newer advice about a destination replaces
// older advice of any host.
func (a *advice) store(message *sighting.Advice, now boottime.Instant) {
	if a.byAddress == nil {
		a.byAddress = make(map[string]advisedDestination)
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
				LongPauses:  d.GetLongPauses(),
				LatePercent: int(d.GetLatePercent()),

				CopyTokensPerSecond: int(d.GetCopyTokensPerSecond()),
			},
			receivedAt: now,
		}
	}
}

// setRoom stores what the monitor of a destination has told of its room.
func (a *advice) setRoom(address string, r room, now boottime.Instant) {
	advised := a.byAddress[address]
	advised.destination.FreeTokens = r.free
	advised.destination.SpareTokens = r.spare
	advised.receivedAt = now
	a.byAddress[address] = advised
}

// assign records that a run was assigned to its destination.
func (a *advice) assign(step migration.Step, now boottime.Instant) {
	a.assigned = append(a.assigned, assignedRun{step: step, at: now})
}

// markRefused records that a destination refused a copy.
func (a *advice) markRefused(address string, now boottime.Instant) {
	if a.refusedAt == nil {
		a.refusedAt = make(map[string]boottime.Instant)
	}
	a.refusedAt[address] = now
}

// markBusy records that the link of a destination is in use by another engine.
func (a *advice) markBusy(address string, until boottime.Instant) {
	if a.busyUntil == nil {
		a.busyUntil = make(map[string]boottime.Instant)
	}
	a.busyUntil[address] = until
}

// destinations returns the destinations with the capacity that their assigned runs
// leave free.
func (a *advice) destinations(now boottime.Instant) []migration.Destination {
	all := make([]migration.Destination, 0, len(a.byAddress))
	for address, advised := range a.byAddress {
		destination := a.available(advised)
		destination.Busy = now.Before(a.busyUntil[address])
		all = append(all, destination)
	}
	return all
}

// available returns a destination with its free capacity. Advice that is too old to
// count an assigned run is reduced by that run. A destination that refused a copy
// has no free slot until advice arrives at least loadDelayMillis after the refusal.
func (a *advice) available(advised advisedDestination) migration.Destination {
	d := advised.destination
	if refusedAt, refused := a.refusedAt[d.Address]; refused && advised.receivedAt.Before(refusedAt.AddMillis(loadDelayMillis)) {
		d.FreeSlots = 0
	}
	for _, r := range a.assigned {
		if r.step.Destination.Address != d.Address {
			continue
		}
		d.Assigned++
		if advised.receivedAt.Before(r.at.AddMillis(loadDelayMillis)) {
			d.FreeSlots--
			d.FreeTokens -= r.step.Run.Tokens
			d.SpareTokens -= r.step.Run.Tokens + max(r.step.Run.Remaining, 0)
		}
	}
	return d
}

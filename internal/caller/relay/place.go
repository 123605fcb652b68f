package relay

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/memoryforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placementqueue"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

const (
	// refusedMillis is the time for which an engine that refused a reservation is not
	// asked again for the same request.
	refusedMillis = 40
	// pendingMillis is the pause after which an urgent request that waits for room asks a full
	// engine again to keep memory for it. It is shorter than the time for which a monitor does.
	pendingMillis = 100
	// unknownAimShare is the share of the time until the deadline that is taken as the
	// aim of a route without one.
	unknownAimShare = 0.1
)

// placeWithRoom selects a backend server and opens an assignment there. A request for
// an engine waits until one has room for it, as long as it can still be on time. It
// returns the outcome of the request when no server can take it.
func (q *request) placeWithRoom(ctx context.Context) (*attempt, outcome) {
	// A request that was sent before and may run again is late at worst. One that servers only
	// declined waits like a new one, as an engine without room would push out other runs.
	if q.service.Engine == nil || len(q.tried) > q.declines {
		return q.placeAnywhere()
	}
	if memory := q.service.Engine.MemoryTokens; memory > 0 && q.caller.PromptTokens > memory {
		q.log("prompt exceeds the memory of the engines", "Prompt", q.caller.PromptTokens, "MemoryTokens", memory)
		return nil, tooLarge{}
	}
	aim, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(q.aimAt().MillisSince(boottime.Now()))*time.Millisecond))
	defer stop()
	for {
		placed, ok := q.awaitRoomOrReserve(aim)
		if !ok {
			q.log("no engine has room", "Tokens", q.tokens(), "Waiting", q.relay.Waiting.Length(),
				"LackReport", placed.Lacking[placement.LacksReport], "LackSlot", placed.Lacking[placement.LacksSlot],
				"LackMemory", placed.Lacking[placement.LacksMemory], "LackTime", placed.Lacking[placement.LacksTime],
				"LackRate", placed.Lacking[placement.LacksRate],
				"KeptTokens", placed.Chosen.KeptTokens)
			return nil, noRoom{}
		}
		if placed.Assignment == nil && q.quarantined() {
			return nil, quarantined{}
		}
		if placed.Assignment == nil && !q.endsInTime(boottime.Now()) {
			return nil, stopping{}
		}
		if placed.Assignment == nil {
			return nil, unplacedOutcome(placed)
		}
		server := placed.Chosen.Server
		if q.relay.Reserve(ctx, server.ID, q.caller.ID, q.generation(0)) {
			now := boottime.Now()
			q.reservationPendingAt = ""
			q.relay.returns.recordPlaced(now.MillisSince(q.arrivedAt), now)
			q.recordPlaced(placed.Chosen)
			return &attempt{server: server, assignment: placed.Assignment}, nil
		}
		placed.Assignment.Cancel()
		q.refusedUntil[server.ID] = boottime.Now().AddMillis(refusedMillis)
	}
}

// awaitRoomOrReserve is like awaitRoom. While no engine has room, a request that is more urgent than
// others of its service asks a full engine every pendingMillis, whose monitor then keeps the memory
// that becomes free from the less urgent ones. The monitor decides on that by the priority of the
// client account first, which the check here leaves out: a request of a less urgent account then
// asks in vain. A request that would not end before a planned stop does asks no more.
func (q *request) awaitRoomOrReserve(ctx context.Context) (placement.Placement, bool) {
	if q.route.Priority >= q.service.LowestPriority {
		return q.awaitRoom(ctx)
	}
	for {
		untilReservation, stop := context.WithDeadline(ctx, time.Now().Add(pendingMillis*time.Millisecond))
		placed, ok := q.awaitRoom(untilReservation)
		stop()
		if ok || ctx.Err() != nil {
			return placed, ok
		}
		if !q.endsInTime(boottime.Now()) {
			return placement.Placement{}, true
		}
		if full := q.placeAtFullEngine(placed.Chosen); full.Assignment != nil {
			return full, true
		}
	}
}

// placeAtFullEngine opens an assignment at the engine that keeps memory for the request, or at the
// one with the least load, which is none if the request was not tried yet. An engine without a
// recent report may have no monitor to ask.
func (q *request) placeAtFullEngine(leastLoaded placement.Candidate) placement.Placement {
	now := boottime.Now()
	chosen := leastLoaded
	for _, server := range q.relay.StoreWatcher.Ready(q.service.Name, now) {
		if server.ID == q.reservationPendingAt {
			chosen = q.relay.LoadTable.Candidate(server, q.service, now)
		}
	}
	if chosen.Server.ID == "" || q.tried[chosen.Server.ID] || chosen.ReportMillis < 0 || chosen.Leaving || chosen.Avoided {
		q.reservationPendingAt = ""
		return placement.Placement{}
	}
	assignment, _ := q.relay.LoadTable.OpenAt(chosen.Server, q.tokens(), now)
	if assignment == nil {
		return placement.Placement{}
	}
	q.reservationPendingAt = chosen.Server.ID
	return placement.Placement{Chosen: chosen, Assignment: assignment}
}

// awaitRoom waits for an engine with room until ctx ends, which it reports as false. The
// placement has no assignment when no engine could take the request at all, and when the wait
// is in vain since the request was quarantined or would not end before a planned stop does.
func (q *request) awaitRoom(ctx context.Context) (placement.Placement, bool) {
	var placed placement.Placement
	ok := q.relay.Waiting.Wait(ctx, q.rank(), func() bool {
		if q.quarantined() || !q.endsInTime(boottime.Now()) {
			placed = placement.Placement{}
			return true
		}
		placed = q.place(true)
		return !placed.NoRoom
	})
	return placed, ok
}

// placeAnywhere selects a backend server, if need be an engine without room.
func (q *request) placeAnywhere() (*attempt, outcome) {
	placed := q.place(false)
	if placed.Assignment == nil {
		return nil, unplacedOutcome(placed)
	}
	a := &attempt{server: placed.Chosen.Server, assignment: placed.Assignment}
	if q.service.Engine != nil {
		q.relay.OnPlaced(placed.Chosen.Server.ID, q.caller.ID, q.generation(0))
		q.recordPlaced(placed.Chosen)
		return a, nil
	}
	q.logUnresponsive(placed)
	if q.repeatable() {
		a.answerBy = placed.Chosen.ProbeUntil
	}
	return a, nil
}

// repeatable reports whether the request may be sent to a further server if the next one does
// not answer it.
func (q *request) repeatable() bool {
	return q.route.Kind == routetable.Idempotent && q.runs+1 < q.route.MaxAttempts
}

// logUnresponsive logs and counts a request that is sent elsewhere because a server is
// unresponsive, and one that finds out whether it still is.
func (q *request) logUnresponsive(placed placement.Placement) {
	if placed.InsteadOf != "" {
		q.relay.Metrics.CountUnresponsive(metrics.SentElsewhere)
		q.log("sent elsewhere, backend server is unresponsive", "Server", placed.InsteadOf, "Chosen", placed.Chosen.Server.ID)
	}
	if placed.Chosen.ProbeUntil != 0 {
		q.relay.Metrics.CountUnresponsive(metrics.SentAsProbe)
		q.log("sent to unresponsive backend server as probe", "Server", placed.Chosen.Server.ID, "MayRepeat", q.repeatable())
	}
}

// unplacedOutcome returns the outcome of a request that no server can take now.
func unplacedOutcome(placed placement.Placement) outcome {
	if placed.LimitedUntil != 0 {
		return rateLimited{placed.LimitedUntil}
	}
	return unplaced{}
}

func (q *request) place(roomOnly bool) placement.Placement {
	now := boottime.Now()
	ready := q.relay.StoreWatcher.Ready(q.service.Name, now)
	return q.relay.LoadTable.Place(ready, placement.Request{
		Service:      q.service,
		Tokens:       q.tokens(),
		PromptTokens: q.caller.PromptTokens,
		Short:        q.short(),
		StartBy:      q.startBy(),
		Tried:        q.tried,
		RefusedUntil: q.refusedUntil,
		RoomOnly:     roomOnly,
		Repeatable:   q.repeatable(),

		Events:         q.expectedEvents(),
		MaxPauseMillis: q.route.MaxPauseMillis,
	}, now)
}

// short reports whether the output of the request is expected to be short.
func (q *request) short() bool {
	return q.outputTokens <= memoryforecast.ShortOutputTokens
}

// expectedEvents returns the number of events of the stream that are expected; zero for a
// request without a stream.
func (q *request) expectedEvents() int {
	if q.service.Engine == nil || q.route.Kind != routetable.Stream {
		return 0
	}
	return max(q.outputTokens/max(q.service.Engine.TokensPerEvent, 1), 1)
}

// recordPlaced records in the log and the metrics where the request was placed.
func (q *request) recordPlaced(chosen placement.Candidate) {
	if limit := q.route.MaxPauseMillis; limit > 0 && !q.short() && chosen.PauseMillis > limit {
		q.relay.Metrics.CountLongPauseForecast()
	}
	q.log("placed", "Server", chosen.Server.ID, "Tokens", q.tokens(), "Prompt", q.caller.PromptTokens, "Hint", q.caller.HintTokens,
		"LacksRoom", chosen.Lacking != placement.LacksNothing, "Starting", chosen.Starting, "UnreadTokens", chosen.UnreadTokens,
		"Running", chosen.Running, "UsedTokens", chosen.UsedTokens, "ExpectedTokens", chosen.ExpectedTokens, "KeptTokens", chosen.KeptTokens,
		"SameZone", chosen.SameZone, "Leaving", chosen.Leaving, "ReportMillis", chosen.ReportMillis,
		"EventMicros", chosen.EventMicros, "EventAgeMillis", chosen.EventAgeMillis,
		"PauseForecastMillis", chosen.PauseMillis, "LatePercent", chosen.Late.Percent(), "LongRuns", chosen.LongRuns,
		"Parts", q.caller.SharedParts)
}

// rank returns the order of the request among those that wait for room.
func (q *request) rank() placementqueue.Rank {
	return placementqueue.Rank{Account: q.accountPriority(), Route: q.route.Priority, AimAt: q.startBy()}
}

// startBy returns the time by which the first event should come.
func (q *request) startBy() boottime.Instant {
	aim := q.route.FirstEventMillis
	if aim == 0 {
		aim = int64(unknownAimShare * float64(q.deadlineAt.MillisSince(q.arrivedAt)))
	}
	return q.arrivedAt.AddMillis(aim)
}

// aimAt returns the time by which the request must be placed for its first event to be
// on time, at an engine that has no other prompt to process.
func (q *request) aimAt() boottime.Instant {
	startBy := q.startBy()
	return max(startBy.AddMillis(-q.relay.LoadTable.PromptMillis(q.caller.PromptTokens)), q.arrivedAt)
}

package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
)

const (
	rateStart    = boottime.Instant(1_000_000_000_000)
	spentService = "desk"
)

// newRateTable returns a load table of the only entry host, with servers that each name a
// limit of two requests a second.
func newRateTable(limited ...string) *LoadTable {
	l := &LoadTable{Zone: "a", ServerLimits: serverlimit.Table{Host: 1, Hosts: func() int { return 1 }}}
	for _, id := range limited {
		l.ServerLimits.Observe(id, serverlimit.Answer{Limited: true, PerSecond: 2, RequestSentAt: rateStart, ReceivedAt: rateStart})
	}
	return l
}

func plainServers(ids ...string) []discovery.BackendServer {
	var all []discovery.BackendServer
	for _, id := range ids {
		all = append(all, discovery.BackendServer{ID: id, Zone: "a", Slots: 6})
	}
	return all
}

// TestLimitedServerLeavesRequestsToOthers replays a demand far over the limit of one of two
// servers: the limited one gets what it accepts, and the other one the rest.
func TestLimitedServerLeavesRequestsToOthers(t *testing.T) {
	is := is.New(t)
	l := newRateTable("limited")
	placed := make(map[string]int)
	for millis := int64(0); millis < 10_000; millis += 20 {
		now := rateStart.AddMillis(millis)
		got := l.Place(plainServers("limited", "free"), Request{Service: routetable.Service{Name: spentService}}, now)
		is.True(got.Assignment != nil)
		placed[got.Chosen.Server.ID]++
		got.Assignment.End(false, now)
	}
	is.True(placed["limited"] >= 10 && placed["limited"] <= 21)
	is.Equal(placed["limited"]+placed["free"], 500)
}

// TestAllServersLimited replays the same demand when every server has a limit: what is over
// it is not placed, with the time at which the next request can be.
func TestAllServersLimited(t *testing.T) {
	is := is.New(t)
	l := newRateTable("one", "two")
	request := Request{Service: routetable.Service{Name: spentService}}
	got := l.Place(plainServers("one", "two"), request, rateStart)
	is.True(got.Assignment == nil)
	is.Equal(got.LimitedUntil, rateStart.AddMillis(500))
	is.True(l.Place(plainServers("one", "two"), request, rateStart.AddMillis(500)).Assignment != nil)

	request.Tried = map[string]bool{"one": true, "two": true}
	is.Equal(l.Place(plainServers("one", "two"), request, rateStart).LimitedUntil, boottime.Instant(0))
}

// TestGenerationWaitsForLimitedEngine checks that a generation waits for an engine that will
// accept it while it can still be on time, and is refused at once otherwise.
func TestGenerationWaitsForLimitedEngine(t *testing.T) {
	is := is.New(t)
	l := newRateTable("engine")
	request := draft
	request.Service = routetable.Service{Name: roomService, Engine: &routetable.Engine{MemoryTokens: roomMemory}}
	request.RoomOnly = true
	request.StartBy = rateStart.AddMillis(1500)
	got := l.Place(plainServers("engine"), request, rateStart)
	is.True(got.NoRoom)
	is.Equal(got.Lacking[LacksRate], 1)
	request.StartBy = rateStart.AddMillis(300)
	got = l.Place(plainServers("engine"), request, rateStart)
	is.True(!got.NoRoom)
	is.Equal(got.LimitedUntil, rateStart.AddMillis(500))
}

// TestCancelledAssignmentSpendsNothing checks that a request that was placed and not sent
// does not count against the limit, and that resumed streams do.
func TestCancelledAssignmentSpendsNothing(t *testing.T) {
	is := is.New(t)
	l := newRateTable("engine")
	at := rateStart.AddMillis(600)
	for range 5 {
		assignment, _ := l.OpenAt(discovery.BackendServer{ID: "engine"}, 100, at)
		is.True(assignment != nil)
		assignment.Cancel()
	}
	assignment, _ := l.OpenAt(discovery.BackendServer{ID: "engine"}, 100, at)
	is.True(assignment != nil)
	assignment, until := l.OpenAt(discovery.BackendServer{ID: "engine"}, 100, at)
	is.True(assignment == nil)
	is.True(until > at)
}

// TestDestinationsWithoutLimit checks that generations are migrated to engines without a
// limit, unless there are none.
func TestDestinationsWithoutLimit(t *testing.T) {
	is := is.New(t)
	l := newRateTable("limited")
	is.Equal(l.withoutLimits(plainServers("limited", "free")), plainServers("free"))
	is.Equal(l.withoutLimits(plainServers("limited")), plainServers("limited"))
}

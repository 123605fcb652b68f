package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// TestStartWithAnOldList replays the return of all hosts after an outage: the discovery list
// still names engines that are gone, and the monitors of the others report within moments. A
// request waits for them instead of being sent to an engine that is gone.
func TestStartWithAnOldList(t *testing.T) {
	is := is.New(t)
	const start = boottime.Instant(1_000_000_000_000)
	l := &LoadTable{Zone: "a"}
	var list []discovery.BackendServer
	for n := range 20 {
		list = append(list, discovery.BackendServer{ID: fmt.Sprint("gone-", n), Zone: "a", Slots: 24})
	}
	list = append(list, discovery.BackendServer{ID: "new", Zone: "b", Slots: 24})
	request := Request{
		Service: routetable.Service{Name: "lm", Engine: &routetable.Engine{MemoryTokens: 30_000}},
		Tokens:  3000, PromptTokens: 2500, RoomOnly: true, StartBy: start.AddMillis(1500),
	}
	is.True(l.Place(list, request, start).NoRoom)
	l.SetReport("new", Report{Service: "lm", ReceivedAt: start.AddMillis(60)})
	placed := l.Place(list, request, start.AddMillis(70))
	is.Equal(placed.Chosen.Server.ID, "new")
	is.True(placed.Assignment != nil)
}

// TestStartWithoutMonitors checks that engines without monitors get requests soon after the
// start.
func TestStartWithoutMonitors(t *testing.T) {
	is := is.New(t)
	const start = boottime.Instant(1_000_000_000_000)
	l := &LoadTable{Zone: "a"}
	list := []discovery.BackendServer{{ID: "engine", Zone: "a", Slots: 24}}
	request := Request{
		Service: routetable.Service{Name: "lm", Engine: &routetable.Engine{MemoryTokens: 30_000}},
		Tokens:  3000, PromptTokens: 2500, RoomOnly: true, StartBy: start.AddMillis(1500),
	}
	is.True(l.Place(list, request, start).NoRoom)
	is.True(l.Place(list, request, start.AddMillis(firstReportsMillis)).Assignment != nil)

	urgent := request
	urgent.StartBy = start.AddMillis(firstReportsMillis - 1)
	l = &LoadTable{Zone: "a"}
	is.True(l.Place(list, urgent, start).Assignment != nil) // it can't wait for the first reports
}

// TestSupersededServer checks that a server whose address another one has gets no request,
// that a request for an engine waits for the one that replaces it, and that one for a plain
// service learns at once that there is none.
func TestSupersededServer(t *testing.T) {
	const start = boottime.Instant(1_000_000_000_000)
	engine := &routetable.Engine{MemoryTokens: 30_000}
	tests := []struct {
		name     string
		engine   *routetable.Engine
		roomOnly bool
		noRoom   bool
	}{
		{"engine, in time", engine, true, true},
		{"engine, late", engine, false, false},
		{"plain service", nil, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := &LoadTable{Zone: "a"}
			l.Supersede("gone", start.AddMillis(6000))
			request := Request{Service: routetable.Service{Engine: tt.engine}, RoomOnly: tt.roomOnly, StartBy: start.AddMillis(1500)}
			list := []discovery.BackendServer{{ID: "gone", Zone: "a", Slots: 24}}
			placed := l.Place(list, request, start)
			is.True(placed.Assignment == nil)
			is.Equal(placed.NoRoom, tt.noRoom)
			is.True(l.Place(list, request, start.AddMillis(6000)).Assignment != nil)
		})
	}
}

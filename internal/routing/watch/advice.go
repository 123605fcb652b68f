package watch

import (
	"context"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// advicePauseMillis is the least pause between two rounds of advice. Engines often announce
// their shutdown in groups; the pause lets one round answer a whole group.
const advicePauseMillis = 20

// adviceRequests holds the leaving engines whose monitors wait for advice. It is safe for
// concurrent use. The zero value is ready to use.
type adviceRequests struct {
	mu sync.Mutex
	// pending holds the leaving engines by ID.
	pending map[string]discovery.BackendServer
	// wake says that there are pending requests.
	wake signal.Signal
}

// add adds a request. A request that is already pending is answered once.
func (r *adviceRequests) add(leaving discovery.BackendServer) {
	r.mu.Lock()
	if r.pending == nil {
		r.pending = make(map[string]discovery.BackendServer)
	}
	r.pending[leaving.ID] = leaving
	r.mu.Unlock()
	r.wake.Set()
}

// take returns the pending requests and removes them.
func (r *adviceRequests) take() map[string]discovery.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending = nil
	return pending
}

// answerAdviceRequests sends advice to the monitors that ask for it, until ctx ends.
func (w *Watch) answerAdviceRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.adviceRequests.wake.C():
		}
		w.advise(w.adviceRequests.take())
		boottime.Pause(ctx, advicePauseMillis)
	}
}

// advise sends advice to the monitors of leaving engines. The state of the engines of a
// service is read once, however many of them leave.
func (w *Watch) advise(leaving map[string]discovery.BackendServer) {
	plans := make(map[string]destinationPlan)
	for id, server := range leaving {
		o, open := w.streams.find(id)
		if !open {
			continue
		}
		plan, known := plans[server.Service]
		if !known {
			plan = w.newDestinationPlan(server.Service)
			plans[server.Service] = plan
		}
		if err := o.send(plan.adviceFor(server)); err != nil {
			w.Log.Warn("migration advice not sent to leaving engine", "Server", id, "Error", err)
		}
	}
}

// destinationPlan divides the engines of a service among those that leave. It is immutable.
type destinationPlan struct {
	// capacities are the engines that runs can be migrated to.
	capacities []placement.Capacity
	// assigned holds the leaving engine to which each of them is assigned, by ID; see
	// migration.AssignDestinations.
	assigned map[string]string
	// copyTokensPerSecond is the rate of copies within an availability zone.
	copyTokensPerSecond uint32
}

// newDestinationPlan returns the plan for the engines of a service; it is empty when the
// service is not known or has no engines.
func (w *Watch) newDestinationPlan(name string) destinationPlan {
	service, ok := w.StoreWatcher.EngineService(name)
	if !ok {
		return destinationPlan{}
	}
	capacities := w.LoadTable.FreeCapacity(w.StoreWatcher.Ready(name, boottime.Now()), service)
	destinations := make([]migration.Engine, 0, len(capacities))
	for _, capacity := range capacities {
		destinations = append(destinations, migration.Engine{ID: capacity.Server.ID, Zone: capacity.Server.Zone})
	}
	return destinationPlan{
		capacities:          capacities,
		assigned:            migration.AssignDestinations(w.leavingEngines(name), destinations),
		copyTokensPerSecond: uint32(service.Engine.CopyTokensPerSecond()),
	}
}

// leavingEngines returns the engines of a service that are about to shut down.
func (w *Watch) leavingEngines(service string) []migration.Engine {
	list := w.StoreWatcher.Servers().List
	var leaving []migration.Engine
	for _, id := range w.LoadTable.LeavingEngines() {
		if server, ok := list.Find(id); ok && server.Service == service {
			leaving = append(leaving, migration.Engine{ID: id, Zone: server.Zone})
		}
	}
	return leaving
}

// adviceFor returns the advice for the monitor of a leaving engine.
func (p destinationPlan) adviceFor(leaving discovery.BackendServer) *sighting.Advice {
	advice := &sighting.Advice{Destinations: make([]*sighting.Destination, 0, len(p.capacities))}
	for _, capacity := range p.capacities {
		if capacity.Server.ID == leaving.ID {
			continue
		}
		advice.Destinations = append(advice.Destinations, &sighting.Destination{
			Address:     capacity.Server.Address,
			FreeTokens:  uint32(max(capacity.FreeTokens, 0)),
			SpareTokens: uint32(max(capacity.SpareTokens, 0)),
			FreeSlots:   uint32(max(capacity.FreeSlots, 0)),
			SameZone:    capacity.Server.Zone == leaving.Zone,
			Contended:   p.assigned[capacity.Server.ID] != leaving.ID,
			LongPauses:  capacity.LongPauses,
			LatePercent: uint32(capacity.LatePercent),

			CopyTokensPerSecond: p.copyTokensPerSecond,
		})
	}
	return advice
}

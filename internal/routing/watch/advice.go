package watch

import (
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// adviseAll sends advice to the monitors of all engines that are about to shut
// down. Each further engine that shuts down, and each one that has just started,
// changes the advice for all of them.
func (w *Watch) adviseAll() {
	for _, o := range w.streams.list() {
		if !w.LoadTable.Leaving(o.server.ID) {
			continue
		}
		if err := o.send(w.newAdvice(o.server)); err != nil {
			w.Log.Warn("migration advice not sent to leaving engine", "Server", o.server.ID, "Error", err)
		}
	}
}

// newAdvice returns the advice for the monitor of an engine that is about to shut
// down: the engines that its runs can be migrated to.
func (w *Watch) newAdvice(leaving discovery.BackendServer) *sighting.Advice {
	advice := &sighting.Advice{}
	table := w.StoreWatcher.Configuration().RouteTable
	if table == nil {
		return advice
	}
	service, ok := table.Service(leaving.Service)
	if !ok || service.Engine == nil {
		return advice
	}
	capacities := w.LoadTable.FreeCapacity(w.StoreWatcher.Ready(leaving.Service, boottime.Now()), service)
	assigned := w.assignDestinations(leaving, capacities)
	for _, capacity := range capacities {
		if capacity.Server.ID == leaving.ID {
			continue
		}
		advice.Destinations = append(advice.Destinations, &sighting.Destination{
			Address:     capacity.Server.Address,
			FreeTokens:  uint32(max(capacity.FreeTokens, 0)),
			SpareTokens: uint32(max(capacity.SpareTokens, 0)),
			FreeSlots:   uint32(max(capacity.FreeSlots, 0)),
			SameZone:    capacity.Server.Zone == leaving.Zone,
			Contended:   assigned[capacity.Server.ID] != leaving.ID,

			CopyTokensPerSecond: uint32(service.Engine.CopyTokensPerSecond()),
		})
	}
	return advice
}

// assignDestinations assigns each engine with free capacity to one of the leaving
// engines of the same service; see migration.AssignDestinations.
func (w *Watch) assignDestinations(leaving discovery.BackendServer, capacities []placement.Capacity) map[string]string {
	var sources, destinations []migration.Engine
	list := w.StoreWatcher.Servers().List
	for _, id := range w.LoadTable.LeavingEngines() {
		if server, ok := list.Find(id); ok && server.Service == leaving.Service {
			sources = append(sources, migration.Engine{ID: id, Zone: server.Zone})
		}
	}
	for _, capacity := range capacities {
		destinations = append(destinations, migration.Engine{ID: capacity.Server.ID, Zone: capacity.Server.Zone})
	}
	return migration.AssignDestinations(sources, destinations)
}

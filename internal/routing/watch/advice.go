package watch

import (
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// adviseAll advises every engine that ends, as a further one, or one that has
// just started, changes the advice for all.
func (w *Watch) adviseAll() {
	for _, o := range w.streams.list() {
		if !w.LoadTable.Leaving(o.server.ID) {
			continue
		}
		if err := o.send(w.newAdvice(o.server)); err != nil {
			w.Log.Warn("engine that leaves not advised", "Server", o.server.ID, "Error", err)
		}
	}
}

// newAdvice tells an engine that ends which runs are this host's, and which
// engines have room.
func (w *Watch) newAdvice(leaving discovery.BackendServer) *sighting.Advice {
	advice := &sighting.Advice{}
	for _, run := range w.Migrations.RunsOn(leaving.Address) {
		advice.Runs = append(advice.Runs, &sighting.Run{
			RequestId:       run.RequestID,
			RemainingTokens: uint32(run.Estimate.RemainingTokens),
			Worth:           uint64(run.Estimate.Worth),
		})
	}
	table := w.StoreWatcher.Configuration().RouteTable
	if table == nil {
		return advice
	}
	service, ok := table.Service(leaving.Service)
	if !ok || service.Engine == nil {
		return advice
	}
	rooms := w.LoadTable.FreeCapacity(w.StoreWatcher.Servers().List.Ready(leaving.Service, boottime.Now()), service)
	owners := w.assignDestinations(leaving, rooms)
	ending := max(len(w.LoadTable.LeavingEngines()), 1)
	for _, room := range rooms {
		if room.Server.ID == leaving.ID {
			continue
		}
		contended := owners[room.Server.ID] != leaving.ID
		if contended {
			// The others that end are told of the same room.
			room.FreeTokens /= ending
			room.SpareTokens /= ending
		}
		advice.Destinations = append(advice.Destinations, &sighting.Destination{
			Address:     room.Server.Address,
			FreeTokens:  uint32(max(room.FreeTokens, 0)),
			SpareTokens: uint32(max(room.SpareTokens, 0)),
			FreeSlots:   uint32(max(room.FreeSlots, 0)),
			SameZone:    room.Server.Zone == leaving.Zone,
			Contended:   contended,

			CopyTokensPerSecond: uint32(service.Engine.CopyTokensPerSecond()),
		})
	}
	return advice
}

// assignDestinations gives each destination to one of the engines of a service that end.
func (w *Watch) assignDestinations(leaving discovery.BackendServer, rooms []placement.Capacity) map[string]string {
	var ending, destinations []migration.Engine
	list := w.StoreWatcher.Servers().List
	for _, id := range w.LoadTable.LeavingEngines() {
		if server, ok := list.Find(id); ok && server.Service == leaving.Service {
			ending = append(ending, migration.Engine{ID: id, Zone: server.Zone})
		}
	}
	for _, room := range rooms {
		destinations = append(destinations, migration.Engine{ID: room.Server.ID, Zone: room.Server.Zone})
	}
	return migration.AssignDestinations(ending, destinations)
}

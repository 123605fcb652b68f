package directentry

import (
	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/unresponsive"
)

const (
	// roleName is the role in the status and in the log line of the calls to the store.
	roleName = "DirectEntry"
	permille = 1000
	// unknownAge is the reported age of unknown state.
	unknownAge = -1
)

// States of a backend server that the status reports.
const (
	stateReady        = "Ready"
	stateDraining     = "Draining"
	stateLeaving      = "Leaving"
	stateAvoided      = "Avoided"
	stateUnresponsive = "Unresponsive"
)

// status returns the state of the process and its cached state with the age of each
// part.
func (h *Host) status() peer.Status {
	now := boottime.Now()
	configuration, servers := h.storeWatcher.Configuration(), h.storeWatcher.Servers()
	status := peer.Status{
		Name:              h.Settings.Name,
		Role:              roleName,
		Zone:              h.Settings.Zone,
		Leaving:           h.plannedStop() != (relay.Stop{}),
		OpenRequests:      h.server.Open(),
		QuarantinedTraits: h.quarantine.QuarantinedTraits(),
		Beliefs: []peer.CachedState{
			{Name: "Configuration", AgeMillis: ageOf(configuration.ConfirmedAt, now)},
			{Name: "Servers", AgeMillis: ageOf(servers.ConfirmedAt, now), Entries: len(servers.List.All())},
		},
	}
	for _, change := range h.loadTable.Unresponsive.List(now) {
		status.UnresponsiveServers = append(status.UnresponsiveServers, unresponsiveStatus(change))
	}
	if table := configuration.RouteTable; table != nil {
		status.ConfigVersion = uint64(table.Version)
		status.Beliefs[0].Entries = table.Size()
		status.Hosts = h.hostStatuses(table, servers.List, now)
	}
	return status
}

func unresponsiveStatus(c unresponsive.Change) peer.UnresponsiveStatus {
	return peer.UnresponsiveStatus{
		Server:            c.Server,
		Calls:             c.Calls,
		WaitingMillis:     c.WaitingMillis,
		QuantileMillis:    c.QuantileMillis,
		QuantileAgeMillis: c.QuantileAgeMillis,
		StatedByHosts:     c.Hosts,
	}
}

// hostStatuses returns the known state of each backend server whose service is in the
// table.
func (h *Host) hostStatuses(table *routetable.Table, list discovery.List, now boottime.Instant) []peer.HostStatus {
	var all []peer.HostStatus
	for _, server := range list.All() {
		service, ok := table.Service(server.Service)
		if !ok {
			continue
		}
		all = append(all, hostStatus(h.loadTable.Candidate(server, service, now)))
	}
	return all
}

func hostStatus(c placement.Candidate) peer.HostStatus {
	status := peer.HostStatus{
		Name:        c.Server.ID,
		Role:        c.Server.Service,
		Zone:        c.Server.Zone,
		PeerAddress: c.Server.Address,
		State:       stateOf(c),
		Running:     uint32(c.Running),
		Waiting:     uint32(c.Queued),
		AgeMillis:   unknownAge,
	}
	if c.MemoryTokens > 0 {
		status.MemoryPermille = uint32(c.UsedTokens * permille / c.MemoryTokens)
		status.AgeMillis = c.ReportMillis
	}
	return status
}

func stateOf(c placement.Candidate) string {
	switch {
	case c.Avoided:
		return stateAvoided
	case c.Unresponsive:
		return stateUnresponsive
	case c.Leaving:
		return stateLeaving
	case c.Server.State == discovery.Draining:
		return stateDraining
	default:
		return stateReady
	}
}

// ageOf returns the age in milliseconds of state that was confirmed at confirmedAt.
func ageOf(confirmedAt, now boottime.Instant) int64 {
	if confirmedAt == 0 {
		return unknownAge
	}
	return now.MillisSince(confirmedAt)
}

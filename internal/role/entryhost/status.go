package entryhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
)

func (h *Host) status() peer.Status {
	return peer.Status{
		Name:          h.Settings.Name,
		Role:          hostlist.RoleEntry,
		Region:        h.Settings.Region,
		Zone:          h.Settings.Zone,
		Version:       h.Version,
		ConfigVersion: h.configuration.Version(),
		Leaving:       h.leaving.isSet(),
		OpenRequests:  h.rateLimiter.Open(),
		Hosts:         h.hostStatus(time.Now()),

		QuarantinedTraits: h.quarantine.QuarantinedTraits(),
	}
}

// records returns the decision records of a request. They come from this host and
// from the processes beside the backend servers to which the request was routed.
func (h *Host) records(ctx context.Context, id string) []explanation.Record {
	own := h.ring.Find(id)
	all := own
	queried := make(map[string]bool)
	for _, record := range own {
		routed, ok := record.Decision.(explanation.Routed)
		if !ok || queried[routed.Backend] {
			continue
		}
		queried[routed.Backend] = true
		all = append(all, h.backendRecords(ctx, routed.Backend, id)...)
	}
	return all
}

// explainTimeoutMillis limits the request for the records of one backend server.
const explainTimeoutMillis = 1000

func (h *Host) backendRecords(ctx context.Context, backend, id string) []explanation.Record {
	member, known := h.members.Snapshot().Find(backend)
	if !known {
		return nil
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(explainTimeoutMillis*time.Millisecond))
	defer stop()
	held, err := peer.FetchRecords(ctx, member.Host.PeerAddress, id)
	if err != nil {
		logging.For(h.Log, logging.Peer).Warn("reading the decision records of a backend server failed", "Backend", backend, "Cause", err)
	}
	return held
}

// explain returns the decision records of a request as JSON for callers. It reports
// false if there are none.
func (h *Host) explain(ctx context.Context, id string) ([]byte, bool) {
	records := h.records(ctx, id)
	if len(records) == 0 {
		return nil, false
	}
	text, err := json.Marshal(records)
	return text, err == nil
}

// hostStatus returns the known state of the other hosts.
func (h *Host) hostStatus(now time.Time) []peer.HostStatus {
	var all []peer.HostStatus
	for m := range h.members.Snapshot().All() {
		status := peer.HostStatus{
			Name:           m.Host.Name,
			Role:           string(m.Host.Role),
			Zone:           m.Host.AvailabilityZone,
			PeerAddress:    m.Host.PeerAddress,
			State:          string(m.Host.State),
			Running:        m.Load.Running,
			Waiting:        m.Load.Waiting,
			MemoryPermille: m.Load.MemoryPermille,
			AgeMillis:      -1,
		}
		if age, seen := m.Age(now); seen {
			status.AgeMillis = age.Milliseconds()
		}
		if m.Leaving() {
			status.State = hostlist.StateLeaving
		}
		all = append(all, status)
	}
	return all
}

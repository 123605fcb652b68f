package monitor

import (
	"context"
	"net"
	"strconv"
	"time"

	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/memoryforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/pendingreservation"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// lastCopyMillis is the usual time of the last copy of a run, after it was stopped.
	lastCopyMillis = 40
	// reserveTimeoutMillis bounds a reservation at another monitor.
	reserveTimeoutMillis = 150
)

// Reserve serves the monitor of an engine that is about to shut down. It grants the
// migration of a run to this engine if the engine has the memory for the run and for
// what it will still generate, and if no other engine is copying runs to it: copies of
// two engines would delay each other, and a run pauses during its last copy.
func (m *Monitor) Reserve(_ context.Context, message *sighting.Migration) (*sighting.Room, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	if m.inbound.takenByOther(message.GetSource(), now) {
		busy := m.inbound.until.MillisSince(now)
		m.Log.Info("reservation refused, link in use", "Request", message.GetRun().GetRequestId(), "Source", message.GetSource(),
			"UsedBy", m.inbound.source, "BusyMillis", busy)
		return &sighting.Room{RequestId: message.GetRun().GetRequestId(), BusyMillis: uint32(busy)}, nil
	}
	reply := m.decideReservation(message.GetRun(), kindOf(message))
	if reply.GetGranted() {
		m.inbound = inbound{source: message.GetSource(), until: now.AddMillis(int64(message.GetCopyMillis()))}
	}
	return reply, nil
}

// inbound is the use of the engine's link by copies of runs from another engine.
type inbound struct {
	// source is the address of the other engine; empty when there was none.
	source string
	// until is the time at which the last copy that was granted is expected to end.
	until boottime.Instant
}

// takenByOther reports whether the link is in use by another engine than source.
func (i inbound) takenByOther(source string, now boottime.Instant) bool {
	return i.source != source && now.Before(i.until)
}

// answerReservation decides on a new request of an entry host, answers the host and
// reports the engine's load: to all hosts when the request is about to arrive.
func (m *Monitor) answerReservation(w *watcher, p *sighting.Placement) {
	m.mu.Lock()
	reply := m.decideReservation(p, newRequest)
	if reply.GetGranted() {
		m.placed++
	}
	report := m.latest
	report.Queued += m.placed
	load := m.load(report)
	m.mu.Unlock()
	m.send(w, &sighting.Sighting{Room: reply})
	if reply.GetGranted() {
		m.publish(load)
		return
	}
	m.send(w, load)
}

// reservationKind is what memory is reserved for.
type reservationKind int

const (
	// newRequest is a request that an entry host is about to send.
	newRequest reservationKind = iota
	// copiedRun is a run whose memory will be copied from another engine.
	copiedRun
	// lastResortRun is a copied run that no engine is known to have room for until it ends.
	lastResortRun
)

func kindOf(message *sighting.Migration) reservationKind {
	if message.GetLastResort() {
		return lastResortRun
	}
	return copiedRun
}

// deviations returns the number of standard deviations above its mean to which the memory of
// the engine is forecast. Without the reservation, a last resort loses its run for sure, so that it
// is worth an even chance that the engine has to preempt a run.
func (k reservationKind) deviations() float64 {
	if k == lastResortRun {
		return 0
	}
	return forecastDeviations
}

// decideReservation grants memory for a request if the engine has it. The caller holds the
// mutex.
func (m *Monitor) decideReservation(p *sighting.Placement, kind reservationKind) *sighting.Room {
	now := boottime.Now()
	forecast := m.forecasts.at(m.latest, now)
	before := m.room(forecast)
	request := newAnnounced(p, now)
	request.reserved = kind != newRequest
	tokens := request.promptTokens + request.produced
	run := memoryforecast.Run{Tokens: tokens, Produced: request.produced, Output: request.output}
	peak := forecast.peakWith(run, kind.deviations())
	pending := 0
	if kind == newRequest {
		pending = m.pending.TokensAhead(request.priority, now)
	}
	fits := before.free >= tokens+pending && peak+pending <= m.latest.TotalTokens
	// An idle engine takes what its memory holds, and one that does not report its
	// memory decides by itself.
	idle := before.free == m.latest.TotalTokens && tokens <= m.latest.TotalTokens
	granted := m.leavesAt == 0 && m.reportedAt != 0 && (fits || idle || m.latest.TotalTokens == 0)
	switch {
	case granted:
		m.forecasts.put(p.GetRequestId(), request)
		m.pending.Remove(p.GetRequestId())
	case kind == newRequest && m.leavesAt == 0 && m.reportedAt != 0:
		m.pending.Add(pendingreservation.Request{ID: p.GetRequestId(), Priority: request.priority, Tokens: tokens}, now)
	}
	m.Log.Info("reservation decided", "Request", p.GetRequestId(), "Granted", granted, "Tokens", tokens,
		"FreeTokens", before.free, "PeakTokens", peak, "TotalTokens", m.latest.TotalTokens,
		"ReportMillis", now.MillisSince(m.reportedAt), "PendingTokens", pending, "Leaving", m.leavesAt != 0, "Copied", kind != newRequest,
		"LastResort", kind == lastResortRun)
	return &sighting.Room{
		RequestId:   p.GetRequestId(),
		Granted:     granted,
		FreeTokens:  uint32(max(before.free, 0)),
		SpareTokens: uint32(max(before.spare, 0)),
	}
}

// room is the memory of an engine that is not taken.
type room struct {
	// free is the memory that is free now, without what is reserved.
	free int
	// spare is the memory that stays free once all requests have grown to their
	// expected size.
	spare int
}

// room returns the engine's room by a forecast. The caller holds the mutex.
func (m *Monitor) room(f forecast) room {
	return room{
		free:  m.latest.TotalTokens - m.latest.UsedTokens - f.arrivingTokens,
		spare: m.latest.TotalTokens - f.expected(),
	}
}

// reserve asks the monitor of the destination for memory. Without an answer, the
// migration goes on, as the engine itself refuses a copy that it has no memory for.
func (m *Monitor) reserve(ctx context.Context, step migration.Step) bool {
	host, _, err := net.SplitHostPort(step.Destination.Address)
	if err != nil {
		m.Log.Warn("destination has no valid address", "Destination", step.Destination.Address, "Error", err)
		m.markRefused(step.Destination.Address)
		return false
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(reserveTimeoutMillis*time.Millisecond))
	defer stop()
	reply, err := transport.Call(ctx, net.JoinHostPort(host, strconv.Itoa(m.PeerPort)),
		func(ctx context.Context, conn drpc.Conn) (*sighting.Room, error) {
			return sighting.NewDRPCLookoutClient(conn).Reserve(ctx, &sighting.Migration{
				Run:        m.reservation(step.Run),
				Source:     m.EngineAddress,
				CopyMillis: uint32(step.CopyMillis() + lastCopyMillis),
				LastResort: step.LastResort,
			})
		})
	if err != nil {
		m.Log.Warn("memory not reserved at destination", "Request", step.Run.RequestID, "Destination", step.Destination.Address, "Error", err)
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case reply.GetBusyMillis() > 0:
		m.advice.markBusy(step.Destination.Address, boottime.Now().AddMillis(int64(reply.GetBusyMillis())))
	case !reply.GetGranted():
		m.advice.setRoom(step.Destination.Address, refusedRoom(step, reply), boottime.Now())
	}
	return reply.GetGranted()
}

// refusedRoom returns the room of a destination that refused a run, so that it is
// not asked again for a run of that size until there is newer advice.
func refusedRoom(step migration.Step, reply *sighting.Room) room {
	refused := room{
		free:  int(reply.GetFreeTokens()),
		spare: min(int(reply.GetSpareTokens()), step.Run.NeededTokens()-1),
	}
	if step.LastResort {
		refused.free = min(refused.free, step.Run.Tokens-1)
	}
	return refused
}

// reservation returns the message that announces a run at its destination.
func (m *Monitor) reservation(run migration.Run) *sighting.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	request, ok := m.forecasts.all[run.RequestID]
	if !ok {
		request = announced{promptTokens: run.Tokens, output: unknownOutput}
	}
	return &sighting.Placement{
		RequestId:      run.RequestID,
		PromptTokens:   uint32(request.promptTokens),
		ProducedTokens: uint32(max(run.Tokens-request.promptTokens, 0)),
		MedianTokens:   request.output.MedianTokens,
		Spread:         request.output.Spread,
		MaxTokens:      uint32(request.output.MaxTokens),
	}
}

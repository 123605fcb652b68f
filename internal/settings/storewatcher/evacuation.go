package storewatcher

import (
	"maps"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// evacuationMarginMillis is the time that a request may take from its placement to its server.
const evacuationMarginMillis = 400

// Ready returns the servers of a service that accept new requests and are in no availability
// zone that is or may be evacuated, in order of ID.
func (w *Watcher) Ready(service string, now boottime.Instant) []discovery.BackendServer {
	if w.missesEvacuations(now) {
		return nil
	}
	ready := w.Servers().List.Ready(service, now)
	evacuated := w.evacuated()
	if len(evacuated) == 0 {
		return ready
	}
	var usable []discovery.BackendServer
	for _, server := range ready {
		if !evacuated[server.Zone] {
			usable = append(usable, server)
		}
	}
	return usable
}

// Evacuated reports whether no further request may be sent to an availability zone.
func (w *Watcher) Evacuated(zone string) bool {
	return w.evacuated()[zone] || w.missesEvacuations(boottime.Now())
}

// missesEvacuations reports whether any zone may have been evacuated without this host's knowledge
// for as long as requests may still be sent there. That is so when neither the store nor another
// entry host has confirmed the configuration for EvacMillis.
func (w *Watcher) missesEvacuations(now boottime.Instant) bool {
	return w.EvacMillis > 0 && now.MillisSince(w.Configuration().ConfirmedAt) > w.EvacMillis-evacuationMarginMillis
}

// evacuated returns the availability zones that are being evacuated. The map never changes.
func (w *Watcher) evacuated() map[string]bool {
	if known := w.evacuatedZones.Load(); known != nil {
		return *known
	}
	return nil
}

// updateEvacuations applies the orders in a read of the configuration topic. An older copy of
// the store may lack an order, which the operator writes again.
func (w *Watcher) updateEvacuations(r topicRead) {
	before := w.evacuated()
	after := make(map[string]bool)
	if !r.complete || r.restored {
		maps.Copy(after, before)
	}
	for _, order := range platform.Evacuations(r.records.List) {
		if order.TakenBack {
			delete(after, order.Zone)
			continue
		}
		after[order.Zone] = true
	}
	if maps.Equal(before, after) {
		return
	}
	w.evacuatedZones.Store(&after)
	for zone := range after {
		if !before[zone] {
			w.Log.Info("availability zone is being evacuated", "Zone", zone)
		}
	}
	for zone := range before {
		if !after[zone] {
			w.Log.Info("availability zone is usable again", "Zone", zone)
		}
	}
}

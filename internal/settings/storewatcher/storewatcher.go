// Package storewatcher watches the platform's store. It keeps the newest configuration
// and the list of backend servers, each with the time up to which this host or another entry
// host has confirmed it. Both are read from topics of the store, which are logs of keyed
// records. It also passes on the records of crashes. A host may read the topics through other
// entry hosts, which serve them from their caches; see package storecache.
package storewatcher

import (
	"context"
	"log/slog"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// changeWaitMillis is how long a read at the store waits for a change. While
	// nothing changes, the confirmed state is up to twice that old.
	changeWaitMillis = 600
	// serversPauseMillis is the pause between reads of the list of backend servers.
	// It batches changes of the list, which arrive several at a time.
	serversPauseMillis = 250
	// crashesWaitMillis is how long a read of crash records waits for one. They are rare, and
	// the other topics show sooner that the store is not reached.
	crashesWaitMillis = 10_000
	// crashesPeerWaitMillis is the same for a read at another entry host.
	crashesPeerWaitMillis = 1500
	// crashesPauseMillis batches crash records, as several hosts see the same crash.
	crashesPauseMillis = 30
	// crashesPatienceMillis is the time for which a host waits for a reader of crash records.
	crashesPatienceMillis = 2500
	// crashesRetryMillis is the pause after a failed read of crash records.
	crashesRetryMillis = 1500
)

// Configuration is a configuration with the time up to which it is confirmed.
type Configuration struct {
	// RouteTable is nil until the first configuration was read.
	RouteTable *routetable.Table
	// ConfirmedAt is the latest time at which the configuration is known to have
	// been the newest one.
	ConfirmedAt boottime.Instant
}

// Servers is the list of backend servers with the time up to which it is confirmed.
type Servers struct {
	List discovery.List
	// ConfirmedAt is zero until the list was read for the first time.
	ConfirmedAt boottime.Instant
}

// Watcher watches the store. Its exported fields must be set before Run.
type Watcher struct {
	// Store is the client of the platform's store.
	Store *platform.Store
	// Readers are the addresses of the entry hosts that read the store on behalf of the others,
	// the same ones at each host. Without any, this host reads the store itself.
	Readers []string
	// Address is the address of this host in Readers; empty or another one if it is no reader.
	Address string
	// Cache receives every result that this host reads from the store and, if it is a reader, at
	// another one.
	Cache *storecache.Cache
	// EvacMillis is the time for which an availability zone may get requests after the order to
	// evacuate it; zero means no limit.
	EvacMillis int64
	// OnServers is called after each change of the list of backend servers; it must not
	// block. It may be nil.
	OnServers func()
	// OnEnded is called with the backend servers that have ended without notice; it must not
	// block. It may be nil.
	OnEnded func([]discovery.BackendServer)
	// OnCrashes is called with the crash records of each read, of which there may be none.
	// Restored says that they are all that is left in a store that was restored from an older
	// copy. The topic is not read if it is nil.
	OnCrashes func(records []platform.Record, restored bool)
	Log       *slog.Logger

	configuration atomic.Pointer[Configuration]
	servers       atomic.Pointer[Servers]
	// evacuatedZones holds the availability zones that are being evacuated.
	evacuatedZones atomic.Pointer[map[string]bool]
	// longRead ends the read of crash records that waits at the store.
	longRead interrupt
}

// Configuration returns the newest configuration that was read.
func (w *Watcher) Configuration() Configuration {
	if known := w.configuration.Load(); known != nil {
		return *known
	}
	return Configuration{}
}

// EngineService returns a service of the newest configuration. It returns false when there is none
// with that name, or when it is a plain service.
func (w *Watcher) EngineService(name string) (routetable.Service, bool) {
	table := w.Configuration().RouteTable
	if table == nil {
		return routetable.Service{}, false
	}
	service, ok := table.Service(name)
	return service, ok && service.Engine != nil
}

// Servers returns the newest list of backend servers that was read.
func (w *Watcher) Servers() Servers {
	if known := w.servers.Load(); known != nil {
		return *known
	}
	return Servers{}
}

// Run watches the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	configuration := &follower{
		topic:          platform.ConfigurationTopic,
		waitMillis:     changeWaitMillis,
		peerWaitMillis: w.statePeerWaitMillis(),
		retryMillis:    stateRetryMillis,
		watcher:        w,
	}
	group.Go(func() error { return configuration.run(ctx, w.updateConfiguration) })
	servers := &follower{
		topic:          platform.ServersTopic,
		waitMillis:     changeWaitMillis,
		peerWaitMillis: w.statePeerWaitMillis(),
		pauseMillis:    serversPauseMillis,
		retryMillis:    stateRetryMillis,
		watcher:        w,
	}
	group.Go(func() error { return servers.run(ctx, w.updateServers) })
	if w.OnCrashes != nil {
		crashes := &follower{
			topic:          platform.CrashesTopic,
			waitMillis:     crashesWaitMillis,
			peerWaitMillis: crashesPeerWaitMillis,
			pauseMillis:    crashesPauseMillis,
			patienceMillis: crashesPatienceMillis,
			retryMillis:    crashesRetryMillis,
			interrupt:      &w.longRead,
			watcher:        w,
		}
		group.Go(func() error { return crashes.run(ctx, func(r topicRead) { w.OnCrashes(r.records.List, r.restored) }) })
	}
	return group.Wait()
}

// topicRead is the result of one read of a topic.
type topicRead struct {
	records platform.Records
	// complete reports whether the records are the newest ones of all keys, instead
	// of the changes since the previous read.
	complete bool
	// confirmedAt is the time up to which the records are confirmed.
	confirmedAt boottime.Instant
	// recoveredAt is when reads last succeeded again after a failure. It is zero
	// when none has failed.
	recoveredAt boottime.Instant
	// restored reports whether the store was restored from an older copy since the
	// previous read. The read is then complete.
	restored bool
	// relayed reports whether the records were read at another entry host.
	relayed bool
}

// updateConfiguration stores the configuration of a read when it is newer, and the orders to
// evacuate availability zones. It ignores an older configuration, which a stale read may
// return.
func (w *Watcher) updateConfiguration(r topicRead) {
	w.updateEvacuations(r)
	known := w.Configuration()
	read, err := platform.Configuration(r.records.List)
	if err != nil {
		w.Log.Error("invalid configuration ignored", "Error", err)
		return
	}
	if read != nil && known.RouteTable != nil && read.Version < known.RouteTable.Version {
		w.Log.Warn("older configuration ignored", "Version", read.Version, "Known", known.RouteTable.Version)
		return
	}
	if read != nil && (known.RouteTable == nil || read.Version > known.RouteTable.Version) {
		w.Log.Info("configuration in force", "Version", read.Version, "Routes", read.Size())
		known.RouteTable = read
	}
	known.ConfirmedAt = max(known.ConfirmedAt, r.confirmedAt)
	w.configuration.Store(&known)
}

// updateServers applies the changes of a read to the list of backend servers.
func (w *Watcher) updateServers(r topicRead) {
	// The entries may have been written during the read, and servers count as cold for a time from
	// then on.
	changes, faults := platform.Servers(r.records.List, boottime.Now())
	for _, err := range faults {
		w.Log.Warn("invalid backend server entry ignored", "Error", err)
	}
	before := w.Servers().List
	after := before.With(discovery.Update{
		Changes:     changes,
		Complete:    r.complete,
		Restored:    r.restored,
		ReadAt:      boottime.Now(),
		RecoveredAt: r.recoveredAt,
	})
	w.logDifferences(before, after)
	w.servers.Store(&Servers{List: after, ConfirmedAt: r.confirmedAt})
	if len(changes) > 0 && w.OnServers != nil {
		w.OnServers()
	}
	if ended := before.EndedBy(after); len(ended) > 0 && w.OnEnded != nil {
		w.OnEnded(ended)
	}
}

// maxLoggedServers bounds the servers of one read that have a log line each. A host that
// starts reads the whole list while callers wait.
const maxLoggedServers = 200

// logDifferences writes a log line for each server that was added or removed, or
// whose state or incarnation changed, or one line for many of them.
func (w *Watcher) logDifferences(before, after discovery.List) {
	listed := changedServers(before, after)
	if len(listed) > maxLoggedServers {
		w.Log.Info("many backend servers listed", "Servers", len(listed), "Draining", countDraining(listed))
		listed = nil
	}
	for _, server := range listed {
		w.Log.Info("backend server listed", "Server", server.ID, "Service", server.Service,
			"Address", server.Address, "Zone", server.Zone, "Born", server.BornUnixMillis, "Draining", server.State == discovery.Draining)
	}
	for _, server := range before.All() {
		if _, stays := after.Find(server.ID); !stays {
			w.Log.Info("backend server removed", "Server", server.ID, "Address", server.Address)
		}
	}
}

// changedServers returns the servers that were added, or whose state or incarnation changed.
func changedServers(before, after discovery.List) []discovery.BackendServer {
	var changed []discovery.BackendServer
	for _, server := range after.All() {
		old, known := before.Find(server.ID)
		if !known || old.State != server.State || old.BornUnixMillis != server.BornUnixMillis {
			changed = append(changed, server)
		}
	}
	return changed
}

func countDraining(servers []discovery.BackendServer) int {
	count := 0
	for _, server := range servers {
		if server.State == discovery.Draining {
			count++
		}
	}
	return count
}

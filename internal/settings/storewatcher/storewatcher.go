// Package storewatcher follows the platform's store: it keeps the newest
// configuration and the list of backend servers, each with the moment up to
// which it is known to hold.
package storewatcher

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// changeWaitMillis is how long the store holds a read until there is a
	// change. Knowledge is up to twice that old while nothing changes.
	changeWaitMillis = 600
	// replyTimeoutMillis bounds a call to the store beyond the wait it asks for.
	replyTimeoutMillis = 700
	// serversPauseMillis is the pause between reads of the list, as its changes come
	// several at a time.
	serversPauseMillis = 250
	// retryMillis is the pause after a call that failed.
	retryMillis = 300
)

// Configuration is a configuration and its age.
type Configuration struct {
	// RouteTable is nil while no configuration is known.
	RouteTable *routetable.Table
	// ConfirmedAt is a moment at which it was the newest one.
	ConfirmedAt boottime.Instant
}

// Servers is the list of backend servers and its age.
type Servers struct {
	List discovery.List
	// ConfirmedAt is zero while the list was never read.
	ConfirmedAt boottime.Instant
}

// Watcher follows the store. Its exported fields are set before Run.
type Watcher struct {
	Store *platform.Store
	// Readers are the addresses of entry hosts that read the store for all;
	// empty when this host reads it itself.
	Readers []string
	// Cache takes over what this host reads from the store.
	Cache *storecache.Cache
	Log   *slog.Logger

	configuration atomic.Pointer[Configuration]
	servers       atomic.Pointer[Servers]
}

// Configuration returns the newest configuration that is known.
func (w *Watcher) Configuration() Configuration {
	if known := w.configuration.Load(); known != nil {
		return *known
	}
	return Configuration{}
}

// Servers returns the newest list that is known.
func (w *Watcher) Servers() Servers {
	if known := w.servers.Load(); known != nil {
		return *known
	}
	return Servers{}
}

// Run follows the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		f := follower{topic: platform.ConfigurationTopic, waitMillis: changeWaitMillis, watcher: w}
		return f.run(ctx, w.updateConfiguration)
	})
	group.Go(func() error {
		f := follower{topic: platform.ServersTopic, waitMillis: changeWaitMillis, pauseMillis: serversPauseMillis, watcher: w}
		return f.run(ctx, w.updateServers)
	})
	return group.Wait()
}

// topicRead is what one read of a topic returned.
type topicRead struct {
	records platform.Records
	// whole says that the records are the newest of all keys.
	whole bool
	// confirmedAt is the moment up to which the records are known to hold.
	confirmedAt boottime.Instant
	recoveredAt boottime.Instant
}

// updateConfiguration takes over a newer configuration. An older one, which a
// stale read may return, changes nothing.
func (w *Watcher) updateConfiguration(r topicRead) {
	known := w.Configuration()
	read, err := platform.Configuration(r.records.List)
	if err != nil {
		w.Log.Error("configuration cannot be read", "Error", err)
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

// updateServers takes over the changes of the list.
func (w *Watcher) updateServers(r topicRead) {
	changes, faults := platform.Servers(r.records.List, r.confirmedAt)
	for _, err := range faults {
		w.Log.Warn("entry of a backend server ignored", "Error", err)
	}
	before := w.Servers().List
	after := before.With(discovery.Update{
		Changes:     changes,
		Complete:    r.whole,
		ReadAt:      boottime.Now(),
		RecoveredAt: r.recoveredAt,
	})
	w.logDifferences(before, after)
	w.servers.Store(&Servers{List: after, ConfirmedAt: r.confirmedAt})
}

// logDifferences writes one line for each server that came, left, or changed
// its state or incarnation.
func (w *Watcher) logDifferences(before, after discovery.List) {
	for _, server := range after.All() {
		old, known := before.Find(server.ID)
		if known && old.State == server.State && old.BornUnixMillis == server.BornUnixMillis {
			continue
		}
		w.Log.Info("backend server listed", "Server", server.ID, "Service", server.Service,
			"Address", server.Address, "Zone", server.Zone, "Born", server.BornUnixMillis, "Draining", server.State == discovery.Draining)
	}
	for _, server := range before.All() {
		if _, stays := after.Find(server.ID); !stays {
			w.Log.Info("backend server gone", "Server", server.ID, "Address", server.Address)
		}
	}
}

// follower reads one topic over and over.
type follower struct {
	topic string
	// waitMillis is how long a read waits in the store for a change.
	waitMillis int64
	// pauseMillis is the pause between reads.
	pauseMillis int64
	watcher     *Watcher

	// synced says that all keys were read, and that next is where to go on.
	synced bool
	next   int64
	// failing says that the last call failed.
	failing     bool
	recoveredAt boottime.Instant
	peer        peerConn
}

func (f *follower) run(ctx context.Context, learn func(topicRead)) error {
	defer f.peer.close()
	for ctx.Err() == nil {
		boottime.Pause(ctx, f.readOnce(ctx, learn))
	}
	return nil
}

// readOnce reads the topic once and returns the pause before the next read.
func (f *follower) readOnce(ctx context.Context, learn func(topicRead)) int64 {
	r, err := f.read(ctx)
	if err != nil {
		f.recordFailure(ctx, err)
		return retryMillis
	}
	f.recordRecovery()
	r.recoveredAt = f.recoveredAt
	learn(r)
	f.synced = true
	f.next = r.records.Next
	return f.pauseMillis
}

// read asks another entry host, or the store when none answers with fresh
// knowledge.
func (f *follower) read(ctx context.Context) (topicRead, error) {
	if r, ok := f.readPeers(ctx); ok {
		return r, nil
	}
	return f.readStore(ctx)
}

// readStore reads the store and shares what it returned.
func (f *follower) readStore(ctx context.Context) (topicRead, error) {
	startedAt := boottime.Now()
	waitMillis := f.waitMillis
	if f.failing {
		// An answer at once ends the time in which nothing is confirmed.
		waitMillis = 0
	}
	deadline := time.Now().Add(time.Duration(waitMillis+replyTimeoutMillis) * time.Millisecond)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	records, err := f.readRecords(ctx, waitMillis)
	if err != nil {
		return topicRead{}, err
	}
	f.peer.ahead = true
	f.watcher.Cache.Update(storecache.TopicRead{
		Topic:       f.topic,
		Records:     records,
		Whole:       !f.synced,
		ConfirmedAt: startedAt,
	})
	return topicRead{records: records, whole: !f.synced, confirmedAt: startedAt}, nil
}

func (f *follower) readRecords(ctx context.Context, waitMillis int64) (platform.Records, error) {
	if !f.synced {
		return f.watcher.Store.Newest(ctx, f.topic)
	}
	return f.watcher.Store.Read(ctx, f.topic, f.next, waitMillis)
}

// recordFailure notes a failed call. Deleted history is read anew and is no outage.
func (f *follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrHistoryGone) {
		f.watcher.Log.Warn("history of the store was deleted", "Topic", f.topic)
		f.synced = false
		return
	}
	f.watcher.Store.HTTP.CloseIdleConnections()
	f.peer.directUntil = 0
	if !f.failing {
		f.watcher.Log.Warn("store lost", "Topic", f.topic, "Error", err)
	}
	f.failing = true
}

func (f *follower) recordRecovery() {
	if !f.failing {
		return
	}
	f.failing = false
	f.recoveredAt = boottime.Now()
	f.watcher.Log.Info("store regained", "Topic", f.topic)
}

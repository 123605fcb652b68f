// Package courier follows the platform's store: it keeps the newest
// configuration and the list of backend servers, each with the moment up to
// which it is known to hold.
package courier

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/moment"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/muster"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/timetable"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/mirror"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// changeWaitMillis is how long the store holds a read until there is a
	// change. Knowledge is up to twice that old while nothing changes.
	changeWaitMillis = 600
	// replyMillis bounds a call to the store beyond the wait it asks for.
	replyMillis = 700
	// listMillis is the pause between reads of the list, as its changes come
	// several at a time.
	listMillis = 250
	// retryMillis is the pause after a call that failed.
	retryMillis = 300
)

// Configuration is a configuration and its age.
type Configuration struct {
	// Timetable is nil while no configuration is known.
	Timetable *timetable.Timetable
	// ConfirmedAt is a moment at which it was the newest one.
	ConfirmedAt moment.Moment
}

// Servers is the list of backend servers and its age.
type Servers struct {
	List muster.List
	// ConfirmedAt is zero while the list was never read.
	ConfirmedAt moment.Moment
}

// Courier follows the store. Its exported fields are set before Run.
type Courier struct {
	Store *platform.Store
	// Readers are the addresses of entry hosts that read the store for all;
	// empty when this host reads it itself.
	Readers []string
	// Mirror takes over what this host reads from the store.
	Mirror *mirror.Mirror
	Log    *slog.Logger

	configuration atomic.Pointer[Configuration]
	servers       atomic.Pointer[Servers]
}

// Configuration returns the newest configuration that is known.
func (c *Courier) Configuration() Configuration {
	if known := c.configuration.Load(); known != nil {
		return *known
	}
	return Configuration{}
}

// Servers returns the newest list that is known.
func (c *Courier) Servers() Servers {
	if known := c.servers.Load(); known != nil {
		return *known
	}
	return Servers{}
}

// Run follows the store until ctx ends.
func (c *Courier) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		f := follower{topic: platform.ConfigurationTopic, waitMillis: changeWaitMillis, courier: c}
		return f.run(ctx, c.learnConfiguration)
	})
	group.Go(func() error {
		f := follower{topic: platform.ServersTopic, waitMillis: changeWaitMillis, pauseMillis: listMillis, courier: c}
		return f.run(ctx, c.learnServers)
	})
	return group.Wait()
}

// reading is what one read of a topic returned.
type reading struct {
	records platform.Records
	// whole says that the records are the newest of all keys.
	whole bool
	// confirmedAt is the moment up to which the records are known to hold.
	confirmedAt moment.Moment
	regainedAt  moment.Moment
}

// learnConfiguration takes over a newer configuration. An older one, which a
// stale read may return, changes nothing.
func (c *Courier) learnConfiguration(r reading) {
	known := c.Configuration()
	read, err := platform.Configuration(r.records.List)
	if err != nil {
		c.Log.Error("configuration cannot be read", "Error", err)
		return
	}
	if read != nil && known.Timetable != nil && read.Version < known.Timetable.Version {
		c.Log.Warn("older configuration ignored", "Version", read.Version, "Known", known.Timetable.Version)
		return
	}
	if read != nil && (known.Timetable == nil || read.Version > known.Timetable.Version) {
		c.Log.Info("configuration in force", "Version", read.Version, "Routes", read.Size())
		known.Timetable = read
	}
	known.ConfirmedAt = max(known.ConfirmedAt, r.confirmedAt)
	c.configuration.Store(&known)
}

// learnServers takes over the changes of the list.
func (c *Courier) learnServers(r reading) {
	changes, faults := platform.Servers(r.records.List, r.confirmedAt)
	for _, err := range faults {
		c.Log.Warn("entry of a backend server ignored", "Error", err)
	}
	before := c.Servers().List
	after := before.With(muster.Event{
		Changes:    changes,
		Whole:      r.whole,
		ReadAt:     moment.Now(),
		RegainedAt: r.regainedAt,
	})
	c.logDifferences(before, after)
	c.servers.Store(&Servers{List: after, ConfirmedAt: r.confirmedAt})
}

// logDifferences writes one line for each server that came, left, or changed
// its state or incarnation.
func (c *Courier) logDifferences(before, after muster.List) {
	for _, server := range after.All() {
		old, known := before.Find(server.ID)
		if known && old.State == server.State && old.BornUnixMillis == server.BornUnixMillis {
			continue
		}
		c.Log.Info("backend server listed", "Server", server.ID, "Service", server.Service,
			"Address", server.Address, "Zone", server.Zone, "Born", server.BornUnixMillis, "Draining", server.State == muster.Draining)
	}
	for _, server := range before.All() {
		if _, stays := after.Find(server.ID); !stays {
			c.Log.Info("backend server gone", "Server", server.ID, "Address", server.Address)
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
	courier     *Courier

	// listed says that all keys were read, and that next is where to go on.
	listed bool
	next   int64
	// away says that the last call failed.
	away       bool
	regainedAt moment.Moment
	peers      peers
}

func (f *follower) run(ctx context.Context, learn func(reading)) error {
	defer f.peers.hangUp()
	for ctx.Err() == nil {
		moment.Pause(ctx, f.readOnce(ctx, learn))
	}
	return nil
}

// readOnce reads the topic once and returns the pause before the next read.
func (f *follower) readOnce(ctx context.Context, learn func(reading)) int64 {
	r, err := f.read(ctx)
	if err != nil {
		f.lose(ctx, err)
		return retryMillis
	}
	f.regain()
	r.regainedAt = f.regainedAt
	learn(r)
	f.listed = true
	f.next = r.records.Next
	return f.pauseMillis
}

// read asks another entry host, or the store when none answers with fresh
// knowledge.
func (f *follower) read(ctx context.Context) (reading, error) {
	if r, ok := f.readPeers(ctx); ok {
		return r, nil
	}
	return f.readStore(ctx)
}

// readStore reads the store and shares what it returned.
func (f *follower) readStore(ctx context.Context) (reading, error) {
	startedAt := moment.Now()
	waitMillis := f.waitMillis
	if f.away {
		// An answer at once ends the time in which nothing is confirmed.
		waitMillis = 0
	}
	deadline := time.Now().Add(time.Duration(waitMillis+replyMillis) * time.Millisecond)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	records, err := f.readRecords(ctx, waitMillis)
	if err != nil {
		return reading{}, err
	}
	f.peers.ahead = true
	f.courier.Mirror.Learn(mirror.Reading{
		Topic:       f.topic,
		Records:     records,
		Whole:       !f.listed,
		ConfirmedAt: startedAt,
	})
	return reading{records: records, whole: !f.listed, confirmedAt: startedAt}, nil
}

func (f *follower) readRecords(ctx context.Context, waitMillis int64) (platform.Records, error) {
	if !f.listed {
		return f.courier.Store.Newest(ctx, f.topic)
	}
	return f.courier.Store.Read(ctx, f.topic, f.next, waitMillis)
}

// lose notes a failed call. Deleted history is read anew and is no outage.
func (f *follower) lose(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrHistoryGone) {
		f.courier.Log.Warn("history of the store was deleted", "Topic", f.topic)
		f.listed = false
		return
	}
	f.courier.Store.HTTP.CloseIdleConnections()
	f.peers.directUntil = 0
	if !f.away {
		f.courier.Log.Warn("store lost", "Topic", f.topic, "Error", err)
	}
	f.away = true
}

func (f *follower) regain() {
	if !f.away {
		return
	}
	f.away = false
	f.regainedAt = moment.Now()
	f.courier.Log.Info("store regained", "Topic", f.topic)
}

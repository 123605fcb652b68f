// Package watch follows the processes beside engines: an entry host learns the
// load of each engine and of moves, and advises engines that end.
package watch

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// pollMillis is the pause between looks at the list of backend servers.
	pollMillis = 200
	// reconnectMillis is the pause before a stream that ended is opened anew.
	reconnectMillis = 500
	// supersededMillis is how long an engine gets no request after another one
	// was found in its place.
	supersededMillis = 2000
	// receiveTimeoutMillis is the silence after which a stream counts as dead. It is
	// longer than the pause between reports.
	receiveTimeoutMillis = 3000
)

// Watch follows the engines of the list. Its exported fields are set before
// Run.
type Watch struct {
	StoreWatcher *storewatcher.Watcher
	LoadTable    *placement.LoadTable
	Migrations   *relay.Migrations
	Log          *slog.Logger
	// PeerPort is the port of the processes beside engines.
	PeerPort int

	streams streams
}

// identity names one incarnation of an engine.
type identity struct {
	id   string
	born int64
}

// Run follows the engines until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		w.follow(ctx, group)
		return nil
	})
	return group.Wait()
}

// follow keeps one stream open to each engine that is listed.
func (w *Watch) follow(ctx context.Context, group *errgroup.Group) {
	watched := make(map[identity]*engine)
	ticker := time.NewTicker(pollMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		listed := w.engines()
		for key, server := range listed {
			if _, ok := watched[key]; ok {
				continue
			}
			e := &engine{server: server}
			watched[key] = e
			group.Go(func() error {
				w.keepWatching(ctx, e)
				return nil
			})
		}
		for key, e := range watched {
			if _, ok := listed[key]; !ok && e.unlist() {
				delete(watched, key)
			}
		}
		w.LoadTable.Prune(w.StoreWatcher.Servers().List)
		w.adviseAll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// engine is one engine that is watched.
type engine struct {
	server discovery.BackendServer
	// unlisted says that its entry is gone. Its stream stays open, as the engine
	// may still serve and move its runs, and is not opened anew.
	unlisted atomic.Bool
	ended    atomic.Bool
}

// unlist notes that the entry is gone, and reports whether the watch has ended.
func (e *engine) unlist() bool {
	e.unlisted.Store(true)
	return e.ended.Load()
}

// engines returns the listed servers of services with engines.
func (w *Watch) engines() map[identity]discovery.BackendServer {
	engines := make(map[identity]discovery.BackendServer)
	table := w.StoreWatcher.Configuration().RouteTable
	if table == nil {
		return engines
	}
	for _, server := range w.StoreWatcher.Servers().List.All() {
		service, ok := table.Service(server.Service)
		if ok && service.Engine != nil {
			engines[identity{server.ID, server.BornUnixMillis}] = server
		}
	}
	return engines
}

// keepWatching watches one engine, over fresh connections while it is listed.
func (w *Watch) keepWatching(ctx context.Context, e *engine) {
	defer e.ended.Store(true)
	defer w.LoadTable.Forget(e.server.ID)
	lost := false
	for ctx.Err() == nil && !e.unlisted.Load() {
		err := w.watch(ctx, e.server, func() {
			if lost {
				w.Log.Info("engine's process regained", "Server", e.server.ID)
			}
			lost = false
		})
		if ctx.Err() != nil {
			return
		}
		if !lost {
			w.Log.Warn("engine's process lost", "Server", e.server.ID, "Address", e.server.Address, "Error", err)
		}
		lost = true
		boottime.Pause(ctx, reconnectMillis)
	}
}

// watch opens one stream and takes over what it brings.
func (w *Watch) watch(ctx context.Context, server discovery.BackendServer, opened func()) error {
	host, _, err := net.SplitHostPort(server.Address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conn, err := transport.Dial(ctx, net.JoinHostPort(host, strconv.Itoa(w.PeerPort)))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := sighting.NewDRPCLookoutClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&sighting.Advice{}); err != nil {
		return err
	}
	w.streams.open(server, stream)
	defer w.streams.close(server.ID)
	silence := time.AfterFunc(receiveTimeoutMillis*time.Millisecond, stop)
	defer silence.Stop()
	for {
		s, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(receiveTimeoutMillis * time.Millisecond)
		if otherIncarnation(server, s) {
			w.LoadTable.Avoid(server.ID, boottime.Now().AddMillis(supersededMillis))
			return errOtherIncarnation
		}
		opened()
		w.apply(server, s)
	}
}

// errOtherIncarnation says that the process stands beside another incarnation
// of the engine than the one that is listed.
var errOtherIncarnation = errors.New("the engine has started anew")

func otherIncarnation(server discovery.BackendServer, s *sighting.Sighting) bool {
	if s.GetEngineId() != "" && s.GetEngineId() != server.ID {
		return true
	}
	born := s.GetEngineBornUnixMillis()
	return born != 0 && server.BornUnixMillis != 0 && born != server.BornUnixMillis
}

// apply acts on one report of an engine.
func (w *Watch) apply(server discovery.BackendServer, s *sighting.Sighting) {
	now := boottime.Now()
	switch {
	case s.GetLoad() != nil:
		load := s.GetLoad()
		w.LoadTable.SetReport(server.ID, placement.Report{
			Running:        int(load.GetRunning()),
			Queued:         int(load.GetQueued()),
			UsedTokens:     int(load.GetUsedTokens()),
			ExpectedTokens: int(load.GetExpectedTokens()),
			Starting:       int(load.GetStarting()),
			Watchers:       int(load.GetWatchers()),
			ReceivedAt:     now,
		})
	case s.GetNotice() != nil:
		left := int64(s.GetNotice().GetLeavesInMillis())
		w.Log.Info("engine leaves", "Server", server.ID, "InMillis", left)
		w.LoadTable.SetLeaving(server.ID, now.AddMillis(left))
		w.adviseAll()
	case s.GetMove() != nil:
		move := s.GetMove()
		w.Migrations.Announce(relay.Migration{
			RequestID:   move.GetRequestId(),
			Stopped:     move.GetStopped(),
			Final:       move.GetFinal(),
			Source:      platform.Handle{Address: server.Address, ID: move.GetHandle()},
			Destination: move.GetDestination(),
		})
	}
}

// Package watch connects an entry host to the monitors of all engines; a monitor is
// the process beside an engine. The monitors report the load, the shutdown and the
// migrated runs (generations) of their engines. The entry host reports the requests
// that it sends to the engines. When the monitor of an engine that is about to shut down
// asks for advice, the entry host names the engines that runs can be migrated to.
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
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placementqueue"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/unresponsive"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// pollMillis is the pause between reads of the discovery list.
	pollMillis = 200
	// reconnectMillis is the pause before a stream that ended is opened again.
	reconnectMillis = 500
	// supersededMillis is the time for which a server is avoided after another
	// incarnation was found in its place.
	supersededMillis = 2000
	// receiveTimeoutMillis is the time without a message after which a stream is
	// closed as dead. It is longer than the pause between reports.
	receiveTimeoutMillis = 3000
)

// Watch follows the engines of the discovery list. Its exported fields are set
// before Run.
type Watch struct {
	StoreWatcher *storewatcher.Watcher
	LoadTable    *placement.LoadTable
	Migrations   *relay.Migrations
	// Waiting holds the requests that wait for room at an engine.
	Waiting *placementqueue.Queue
	// Ends is told when engines were up.
	Ends *serverend.Watch
	Log  *slog.Logger
	// Memory bounds what the monitors make the process hold; nil for no bound.
	Memory *heldbytes.Budget
	// PeerPort is the port of the engines' monitors.
	PeerPort int
	// ServerLimits holds the rate limits that the entry hosts share. Its OnChange calls
	// StateRateLimits.
	ServerLimits *serverlimit.Table
	// Unresponsive holds the unresponsive servers that the entry hosts share. Its OnChange calls
	// StateUnresponsive.
	Unresponsive *unresponsive.Table

	streams        streams
	adviceRequests adviceRequests
	// limitsChanged says that the statements on rate limits have changed.
	limitsChanged signal.Signal
	// unresponsiveChanged says that Unresponsive is to be refreshed.
	unresponsiveChanged signal.Signal
}

// identity names one incarnation of an engine.
type identity struct {
	id string
	// bornUnixMillis is the start time of the incarnation.
	bornUnixMillis int64
}

// Run follows the engines until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		w.stateRateLimits(ctx)
		return nil
	})
	group.Go(func() error {
		w.stateUnresponsive(ctx)
		return nil
	})
	group.Go(func() error {
		w.answerAdviceRequests(ctx)
		return nil
	})
	group.Go(func() error {
		w.follow(ctx, group)
		return nil
	})
	return group.Wait()
}

// follow keeps one stream open to the monitor of each engine in the discovery
// list.
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
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// engine is one incarnation of an engine that is watched.
type engine struct {
	server discovery.BackendServer
	// unlisted says that the engine's entry was removed from the discovery list.
	// Its stream stays open, as the engine may still run and migrate generations.
	// A stream that ends is not opened again.
	unlisted atomic.Bool
	// ended says that the engine is no longer watched.
	ended atomic.Bool
}

// unlist records that the engine's entry was removed, and reports whether the
// engine is no longer watched.
func (e *engine) unlist() bool {
	e.unlisted.Store(true)
	return e.ended.Load()
}

// engines returns the engines in the discovery list.
func (w *Watch) engines() map[identity]discovery.BackendServer {
	engines := make(map[identity]discovery.BackendServer)
	for _, server := range w.StoreWatcher.Servers().List.All() {
		if _, ok := w.StoreWatcher.EngineService(server.Service); ok {
			engines[identity{server.ID, server.BornUnixMillis}] = server
		}
	}
	return engines
}

// keepWatching watches one engine. It connects again after an error while the
// engine is in the discovery list.
func (w *Watch) keepWatching(ctx context.Context, e *engine) {
	defer e.ended.Store(true)
	defer w.LoadTable.Forget(e.server.ID)
	lost := false
	for ctx.Err() == nil && !e.unlisted.Load() {
		err := w.watch(ctx, e.server, func() {
			if lost {
				w.Log.Info("connection to engine monitor restored", "Server", e.server.ID)
			}
			lost = false
		})
		if ctx.Err() != nil {
			return
		}
		if !lost {
			w.Log.Warn("connection to engine monitor failed", "Server", e.server.ID, "Address", e.server.Address, "Error", err)
		}
		lost = true
		boottime.Pause(ctx, reconnectMillis)
	}
}

// watch opens a stream to the engine's monitor and applies its messages until the
// stream fails. It calls received for each message before applying it.
func (w *Watch) watch(ctx context.Context, server discovery.BackendServer, received func()) error {
	host, _, err := net.SplitHostPort(server.Address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	conn, err := transport.DialHeld(ctx, net.JoinHostPort(host, strconv.Itoa(w.PeerPort)), w.Memory)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := sighting.NewDRPCLookoutClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	// The client library buffers the call. Sending an empty advice flushes it, so that
	// the monitor adds this host as a watcher at once.
	if err := stream.Send(&sighting.Advice{}); err != nil {
		return err
	}
	// A monitor that was restarted does not know the runs of its engine.
	for _, run := range w.Migrations.RunsOn(server.Address) {
		if err := stream.Send(newPlacement(run.RequestID, run.Generation)); err != nil {
			return err
		}
	}
	opened := w.streams.open(server, stream)
	defer w.streams.close(opened)
	timeout := time.AfterFunc(receiveTimeoutMillis*time.Millisecond, stop)
	defer timeout.Stop()
	for {
		s, err := stream.Recv()
		if err != nil {
			return err
		}
		timeout.Reset(receiveTimeoutMillis * time.Millisecond)
		opened.heardAt.Store(int64(boottime.Now()))
		if otherIncarnation(server, s) {
			w.LoadTable.Avoid(server.ID, boottime.Now().AddMillis(supersededMillis))
			return errOtherIncarnation
		}
		received()
		w.apply(server, s)
	}
}

// errOtherIncarnation says that a monitor reports another incarnation of the
// engine than the one in the discovery list.
var errOtherIncarnation = errors.New("monitor reports another incarnation of the engine than the discovery list")

// otherIncarnation reports whether a message names another incarnation of the
// engine than the one in the discovery list.
func otherIncarnation(server discovery.BackendServer, s *sighting.Sighting) bool {
	if s.GetEngineId() != "" && s.GetEngineId() != server.ID {
		return true
	}
	born := s.GetEngineBornUnixMillis()
	return born != 0 && server.BornUnixMillis != 0 && born != server.BornUnixMillis
}

// apply applies one message from the monitor of an engine.
func (w *Watch) apply(server discovery.BackendServer, s *sighting.Sighting) {
	now := boottime.Now()
	switch {
	case len(s.GetRateLimits()) > 0:
		w.applyRateLimits(s.GetRateLimits())
	case len(s.GetUnresponsive()) > 0:
		w.applyUnresponsive(s.GetUnresponsive(), now)
	case s.GetLoad() != nil:
		w.LoadTable.SetReport(server.ID, newReport(server, s.GetLoad(), now))
		if age := s.GetLoad().GetReportAgeMillis(); age > 0 {
			w.Ends.ConfirmUp(serverend.IncarnationOf(server), now.AddMillis(-int64(age)))
		}
		w.Waiting.Signal()
	case s.GetRoom() != nil:
		w.streams.answer(s.GetRoom())
	case s.GetNotice() != nil:
		w.applyNotice(server, s.GetNotice(), now)
	case s.GetMove() != nil:
		move := s.GetMove()
		w.Migrations.Announce(relay.Migration{
			RequestID:   move.GetRequestId(),
			Stopped:     move.GetStopped(),
			StopOrder:   move.GetStopOrder(),
			EndedAnswer: move.GetEndedAnswer(),
			Final:       move.GetFinal(),
			Source:      platform.Handle{Address: server.Address, ID: move.GetHandle()},
			Destination: move.GetDestination(),
		})
	}
}

// newReport decodes the load of an engine.
func newReport(server discovery.BackendServer, load *sighting.Load, now boottime.Instant) placement.Report {
	return placement.Report{
		Service:        server.Service,
		Running:        int(load.GetRunning()),
		Queued:         int(load.GetQueued()),
		UsedTokens:     int(load.GetUsedTokens()),
		ExpectedTokens: int(load.GetExpectedTokens()),
		NearTokens:     int(load.GetNearTokens()),
		Starting:       int(load.GetStarting()),
		UnreadTokens:   int(load.GetUnreadTokens()),
		EventMicros:    int64(load.GetEventMicros()),
		EventAt:        now.AddMillis(-int64(load.GetEventAgeMillis())),
		LongRuns:       int(load.GetLongRuns()),
		Watchers:       int(load.GetWatchers()),
		ReceivedAt:     now,
	}
}

// applyNotice applies a shutdown notice, which may be a repeated one.
func (w *Watch) applyNotice(server discovery.BackendServer, notice *sighting.Notice, now boottime.Instant) {
	left := int64(notice.GetLeavesInMillis())
	if !w.LoadTable.Leaving(server.ID) {
		w.Log.Info("engine announced its shutdown", "Server", server.ID, "InMillis", left)
	}
	w.LoadTable.SetLeaving(server.ID, now.AddMillis(left))
	if notice.GetWantsAdvice() {
		w.adviceRequests.add(server)
	}
}

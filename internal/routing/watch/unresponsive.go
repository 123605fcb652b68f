package watch

import (
	"context"
	"log/slog"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/unresponsive"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

const (
	// refreshMillis is the pause between two decisions while calls are open.
	refreshMillis = 50
	// renewMillis is the pause between two statements on unresponsive servers. Others keep a
	// statement for unresponsive.StaleMillis, in which some may be lost.
	renewMillis = 300
)

// StateUnresponsive says that Unresponsive is to be refreshed. It does not block.
func (w *Watch) StateUnresponsive() {
	w.unresponsiveChanged.Set()
}

// stateUnresponsive decides on unresponsive servers while calls are open, and tells the other
// entry hosts of those that this host has found, until ctx ends.
func (w *Watch) stateUnresponsive(ctx context.Context) {
	var renewAt boottime.Instant
	repeatStatements(ctx, &w.unresponsiveChanged, func() int64 {
		now := boottime.Now()
		changes, active, statementsChanged := w.Unresponsive.Refresh(now)
		for _, change := range changes {
			w.logUnresponsive(ctx, change)
		}
		if statementsChanged || !now.Before(renewAt) {
			w.sendUnresponsive(w.Unresponsive.Statements(now))
			renewAt = now.AddMillis(renewMillis)
		}
		if !active {
			return 0
		}
		return refreshMillis
	})
}

// logUnresponsive logs a change of the state of a server with what it was decided by.
func (w *Watch) logUnresponsive(ctx context.Context, c unresponsive.Change) {
	level, message := slog.LevelWarn, "backend server unresponsive"
	switch {
	case c.Unresponsive:
	case c.Cause == unresponsive.CauseAnswered:
		level, message = slog.LevelInfo, "backend server responds again"
	default:
		level, message = slog.LevelInfo, "backend server not held unresponsive any more"
	}
	w.Log.Log(ctx, level, message, "Server", c.Server, "Cause", c.Cause, "Calls", c.Calls,
		"WaitingMillis", c.WaitingMillis, "QuantileMillis", c.QuantileMillis, "QuantileAgeMillis", c.QuantileAgeMillis,
		"StatedByHosts", c.Hosts)
}

// sendUnresponsive sends each statement to the monitors that pass it on. A monitor gets all that
// this host has to state, as it keeps the newest message of each host only.
func (w *Watch) sendUnresponsive(statements []unresponsive.Statement) {
	if len(statements) == 0 {
		return
	}
	message := &sighting.Unresponsive{Host: w.Unresponsive.Host}
	for _, s := range statements {
		message.Servers = append(message.Servers, encodeUnresponsive(s))
	}
	usable := w.streams.heardSince(boottime.Now().AddMillis(-relayMillis))
	for _, o := range relaysOf(statements[0].Server, false, usable) {
		if err := o.send(&sighting.Advice{Unresponsive: message}); err != nil {
			w.Log.Warn("unresponsive servers not sent to engine monitor", "Server", o.server.ID, "Error", err)
		}
	}
}

// applyUnresponsive applies the statements of entry hosts.
func (w *Watch) applyUnresponsive(all []*sighting.Unresponsive, now boottime.Instant) {
	for _, stated := range all {
		servers := stated.GetServers()
		for _, s := range servers[:min(len(servers), unresponsive.MaxStatements)] {
			w.Unresponsive.Apply(stated.GetHost(), decodeUnresponsive(s), int64(stated.GetAgeMillis()), now)
		}
	}
}

func encodeUnresponsive(s unresponsive.Statement) *sighting.UnresponsiveServer {
	return &sighting.UnresponsiveServer{
		ServerId:           s.Server,
		BornUnixMillis:     s.BornUnixMillis,
		Unanswered:         uint32(s.Unanswered),
		WaitingMillis:      uint32(s.WaitingMillis),
		AnsweredSentMillis: uint32(s.AnsweredSentMillis),
		SentMillis:         uint32(s.SentMillis),
	}
}

func decodeUnresponsive(s *sighting.UnresponsiveServer) unresponsive.Statement {
	return unresponsive.Statement{
		Server:             s.GetServerId(),
		BornUnixMillis:     s.GetBornUnixMillis(),
		Unanswered:         int(s.GetUnanswered()),
		WaitingMillis:      int64(s.GetWaitingMillis()),
		AnsweredSentMillis: int64(s.GetAnsweredSentMillis()),
		SentMillis:         int64(s.GetSentMillis()),
	}
}

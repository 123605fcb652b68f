package watch

import (
	"cmp"
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

const (
	// repeatMillis is the pause between repetitions of the statements on rate limits.
	repeatMillis = 300
	// relays is the number of monitors that a statement is sent to. Any one of them passes
	// it on to all entry hosts.
	relays = 2
	// relaysUnconfirmed is their number while no statement comes back.
	relaysUnconfirmed = 4
	// relayMillis is the time since its last message up to which a monitor counts as able
	// to pass statements on. It is longer than the pause between reports.
	relayMillis = 1500
)

// StateRateLimits says that the statements on rate limits have changed. It does not block.
func (w *Watch) StateRateLimits() {
	w.limitsChanged.Set()
}

// stateRateLimits tells the other entry hosts of the rate limits of backend servers and of
// the requests that this host sends to these servers, until ctx ends.
func (w *Watch) stateRateLimits(ctx context.Context) {
	shared := true
	repeatStatements(ctx, &w.limitsChanged, func() int64 {
		statements := w.ServerLimits.Statements(boottime.Now())
		w.sendStatements(statements)
		shared = w.logSharing(shared, statements)
		if len(statements) == 0 {
			return 0
		}
		return repeatMillis
	})
}

// logSharing logs when this host begins or ceases to share the limits with the others. It
// returns whether it shares them.
func (w *Watch) logSharing(before bool, statements []serverlimit.Statement) bool {
	unconfirmed := 0
	for _, s := range statements {
		if s.Unconfirmed {
			unconfirmed++
		}
	}
	shared := unconfirmed == 0
	switch {
	case before && !shared:
		w.Log.Warn("rate limits not shared with other entry hosts, this host keeps to its share",
			"Servers", unconfirmed, "EntryHosts", w.LoadTable.EntryHosts())
	case !before && shared:
		w.Log.Info("rate limits shared with other entry hosts again", "Servers", len(statements))
	}
	return shared
}

// sendStatements sends each statement to the monitors that pass it on.
func (w *Watch) sendStatements(statements []serverlimit.Statement) {
	if len(statements) == 0 {
		return
	}
	usable := w.streams.heardSince(boottime.Now().AddMillis(-relayMillis))
	messages := make(map[*openStream]*sighting.RateLimits)
	for _, s := range statements {
		for _, o := range relaysOf(s.Server, s.Unconfirmed, usable) {
			if messages[o] == nil {
				messages[o] = &sighting.RateLimits{Host: w.ServerLimits.Host}
			}
			messages[o].Limits = append(messages[o].Limits, encodeStatement(s))
		}
	}
	for o, limits := range messages {
		if err := o.send(&sighting.Advice{RateLimits: limits}); err != nil {
			w.Log.Warn("rate limits not sent to engine monitor", "Server", o.server.ID, "Error", err)
		}
	}
}

// relaysOf returns the monitors that pass a statement on. They depend on the backend server,
// so that statements on different servers are passed on by different monitors, and those of
// different hosts on the same server mostly by the same ones. Unconfirmed says that statements of
// this host do not come back to it.
func relaysOf(server string, unconfirmed bool, usable []*openStream) []*openStream {
	if unconfirmed {
		shuffled := slices.Clone(usable)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		return shuffled[:min(relaysUnconfirmed, len(shuffled))]
	}
	ranked := make([]rankedStream, 0, len(usable))
	for _, o := range usable {
		ranked = append(ranked, rankedStream{stream: o, rank: relayRank(server, o)})
	}
	slices.SortFunc(ranked, func(a, b rankedStream) int { return cmp.Compare(a.rank, b.rank) })
	var chosen []*openStream
	for _, r := range ranked[:min(relays, len(ranked))] {
		chosen = append(chosen, r.stream)
	}
	return chosen
}

// rankedStream is a stream with its rank for the statements on one backend server.
type rankedStream struct {
	stream *openStream
	rank   uint64
}

// relayRank orders the monitors for the statements on a backend server.
func relayRank(server string, o *openStream) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, server+" "+o.server.ID)
	return h.Sum64()
}

// applyRateLimits applies the statements of entry hosts.
func (w *Watch) applyRateLimits(all []*sighting.RateLimits) {
	now := boottime.Now()
	for _, stated := range all {
		for _, limit := range stated.GetLimits() {
			if w.ServerLimits.Apply(stated.GetHost(), decodeStatement(limit), now) {
				answer := limit.GetAnswer()
				w.Log.Info("rate limit of backend server stated by another entry host", "Server", limit.GetServerId(),
					"Limited", answer.GetLimited(), "PerSecond", answer.GetPerSecond(), "AgeMillis", answer.GetAgeMillis())
			}
		}
	}
}

func encodeStatement(s serverlimit.Statement) *sighting.RateLimit {
	limit := &sighting.RateLimit{ServerId: s.Server, Sent: s.Sent, CountedSinceNanos: int64(s.CountedSince)}
	if s.Observed {
		limit.Answer = &sighting.RateLimitAnswer{Limited: s.Limited, PerSecond: s.PerSecond, AgeMillis: s.AgeMillis}
	}
	return limit
}

func decodeStatement(limit *sighting.RateLimit) serverlimit.Statement {
	answer := limit.GetAnswer()
	return serverlimit.Statement{
		Server:       limit.GetServerId(),
		Sent:         limit.GetSent(),
		CountedSince: boottime.Instant(limit.GetCountedSinceNanos()),
		Observed:     answer != nil,
		Limited:      answer.GetLimited(),
		PerSecond:    answer.GetPerSecond(),
		AgeMillis:    answer.GetAgeMillis(),
	}
}

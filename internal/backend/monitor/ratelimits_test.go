package monitor

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// TestRateLimitsHoldTheNewestStatement checks that the statements of several hosts that wait
// to be passed on are merged by host and server.
func TestRateLimitsHoldTheNewestStatement(t *testing.T) {
	is := is.New(t)
	var r rateLimits
	state := func(host, sent uint64) {
		r.add(&sighting.RateLimits{Host: host, Limits: []*sighting.RateLimit{{ServerId: "desk", Sent: sent}}})
	}
	state(1, 3)
	state(2, 5)
	state(1, 4)
	sent := make(map[uint64]uint64)
	for _, stated := range r.take() {
		is.Equal(len(stated.GetLimits()), 1)
		sent[stated.GetHost()] = stated.GetLimits()[0].GetSent()
	}
	is.Equal(sent, map[uint64]uint64{1: 4, 2: 5})
	is.Equal(len(r.take()), 0)
}

// TestSlowHostKeepsItsStream checks that statements on rate limits never fill the outbox of
// an entry host, which would end its stream.
func TestSlowHostKeepsItsStream(t *testing.T) {
	is := is.New(t)
	m := newReservationMonitor(22_000, 0)
	w := &watcher{outbox: make(chan *sighting.Sighting, outboxLength)}
	m.watchers = map[*watcher]struct{}{w: {}}
	for range 2 * outboxLength {
		m.publishOptional(&sighting.Sighting{})
	}
	is.Equal(len(m.watchers), 1)
	is.Equal(len(w.outbox), outboxLength/2)
}

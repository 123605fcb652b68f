package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// loadHistory holds the measured loads that are not yet old enough to be reported,
// and the newest one that is. A load may be reported from LoadLagMillis after its
// measurement on; the cutoff is the current time less this lag.
type loadHistory struct {
	// samples holds the loads, oldest first.
	samples []engine.Load
}

// add appends a load. It removes the loads that will not be reported any more:
// those followed by another load measured at or before cutoff.
func (h *loadHistory) add(load engine.Load, cutoff time.Time) {
	h.samples = append(h.samples, load)
	for len(h.samples) > 1 && !h.samples[1].MeasuredAt.After(cutoff) {
		h.samples = h.samples[1:]
	}
}

// reported returns the newest load measured at or before cutoff. If there is none,
// the engine has just started and its load is empty.
func (h *loadHistory) reported(cutoff time.Time) engine.Load {
	var newest engine.Load
	for _, load := range h.samples {
		if load.MeasuredAt.After(cutoff) {
			break
		}
		newest = load
	}
	return newest
}

// maxCacheEvents is the maximum number of cache events that are kept.
const maxCacheEvents = 10_000

// cacheFeed holds the newest cache events, at most maxCacheEvents. An event may be
// reported from CacheEventLagMillis after it happened on.
type cacheFeed struct {
	events []timedCacheEvent
	// last is the sequence number of the newest event.
	last uint64
}

// timedCacheEvent is a cache event with the time at which it happened.
type timedCacheEvent struct {
	engine.CacheEvent
	at time.Time
}

func (f *cacheFeed) add(kind string, hash uint64, at time.Time) {
	f.last++
	event := engine.CacheEvent{Sequence: f.last, Kind: kind, PrefixHash: hash}
	f.events = append(f.events, timedCacheEvent{CacheEvent: event, at: at})
	if len(f.events) > maxCacheEvents {
		f.events = f.events[len(f.events)-maxCacheEvents:]
	}
}

// after returns the events with a sequence number above since that happened at or
// before cutoff. It omits each event whose sequence number is a multiple of
// gapEvery, if gapEvery is not zero.
func (f *cacheFeed) after(since uint64, cutoff time.Time, gapEvery int) []engine.CacheEvent {
	reported := []engine.CacheEvent{}
	for _, e := range f.events {
		if e.Sequence <= since || e.at.After(cutoff) {
			continue
		}
		if gapEvery > 0 && e.Sequence%uint64(gapEvery) == 0 {
			continue
		}
		reported = append(reported, e.CacheEvent)
	}
	return reported
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Faults.LoadStuck.Load() {
		s.lastLoad = s.loads.reported(time.Now().Add(-millis(s.LoadLagMillis)))
		s.lastLoad.MemoryTotal = s.memoryTokens()
	}
	serving.WriteJSON(w, s.lastLoad)
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no sequence", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-millis(s.CacheEventLagMillis))
	serving.WriteJSON(w, s.cacheFeed.after(since, cutoff, s.CacheEventGapEvery))
}

func (s *Server) countExecutions(w http.ResponseWriter, r *http.Request) {
	serving.WriteJSON(w, s.Executions(serving.PathValue(r, "id")))
}

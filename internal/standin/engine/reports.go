package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// loadHistory keeps the loads that are not yet reported.
type loadHistory struct {
	// samples are in order of time; the first is what is reported.
	samples []engine.Load
}

// add appends a load and drops what is superseded by one not younger than
// visible.
func (h *loadHistory) add(load engine.Load, visible time.Time) {
	h.samples = append(h.samples, load)
	for len(h.samples) > 1 && !h.samples[1].MeasuredAt.After(visible) {
		h.samples = h.samples[1:]
	}
}

// reported is the newest load that is not younger than visible, or else the
// empty load of an engine that has just started.
func (h *loadHistory) reported(visible time.Time) engine.Load {
	var newest engine.Load
	for _, load := range h.samples {
		if load.MeasuredAt.After(visible) {
			break
		}
		newest = load
	}
	return newest
}

// maxCacheEvents bounds the events that the feed keeps.
const maxCacheEvents = 10_000

// cacheFeed keeps the cache events.
type cacheFeed struct {
	events []timedCacheEvent
	// last is the sequence of the newest event.
	last uint64
}

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

// after returns the events above since that are not younger than visible,
// without each one whose sequence gapEvery divides.
func (f *cacheFeed) after(since uint64, visible time.Time, gapEvery int) []engine.CacheEvent {
	told := []engine.CacheEvent{}
	for _, e := range f.events {
		if e.Sequence <= since || e.at.After(visible) {
			continue
		}
		if gapEvery > 0 && e.Sequence%uint64(gapEvery) == 0 {
			continue
		}
		told = append(told, e.CacheEvent)
	}
	return told
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
	visible := time.Now().Add(-millis(s.CacheEventLagMillis))
	serving.WriteJSON(w, s.cacheFeed.after(since, visible, s.CacheEventGapEvery))
}

func (s *Server) countExecutions(w http.ResponseWriter, r *http.Request) {
	serving.WriteJSON(w, s.Executions(serving.PathValue(r, "id")))
}

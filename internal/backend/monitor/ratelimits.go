package monitor

import (
	"maps"
	"slices"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// rateLimits collects what entry hosts state of rate limits until it is passed on. It is
// safe for concurrent use. The zero value is ready to use.
type rateLimits struct {
	mu sync.Mutex
	// pending holds the newest statements that were not passed on yet, by host and server.
	pending map[uint64]map[string]*sighting.RateLimit
	// wake says that there are pending statements.
	wake signal.Signal
}

// add adds the statements of one host.
func (r *rateLimits) add(stated *sighting.RateLimits) {
	r.mu.Lock()
	if r.pending == nil {
		r.pending = make(map[uint64]map[string]*sighting.RateLimit)
	}
	limits, ok := r.pending[stated.GetHost()]
	if !ok {
		limits = make(map[string]*sighting.RateLimit)
		r.pending[stated.GetHost()] = limits
	}
	for _, limit := range stated.GetLimits() {
		limits[limit.GetServerId()] = limit
	}
	r.mu.Unlock()
	r.wake.Set()
}

// take returns the pending statements and removes them.
func (r *rateLimits) take() []*sighting.RateLimits {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*sighting.RateLimits
	for host, limits := range r.pending {
		all = append(all, &sighting.RateLimits{Host: host, Limits: slices.Collect(maps.Values(limits))})
	}
	r.pending = nil
	return all
}

package engineowner

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

const (
	// prefixLimit is the maximum number of prefixes in a load report.
	prefixLimit = 8
	// cacheMillis is the period at which cache events are read. It also bounds one
	// read.
	cacheMillis = 1000
)

// cachedPrefixes holds the prompt prefixes that are probably in the engine's prefix
// cache, the most recently used first.
type cachedPrefixes struct {
	hashes []uint64
}

// touch adds the hash, or moves it, to the front.
func (p *cachedPrefixes) touch(hash uint64) {
	kept := make([]uint64, 0, prefixLimit)
	kept = append(kept, hash)
	for _, h := range p.hashes {
		if h != hash && len(kept) < prefixLimit {
			kept = append(kept, h)
		}
	}
	p.hashes = kept
}

// remove removes the hash.
func (p *cachedPrefixes) remove(hash uint64) {
	p.hashes = slices.DeleteFunc(slices.Clone(p.hashes), func(h uint64) bool { return h == hash })
}

// watchCache reads the engine's cache events periodically until ctx ends. When the
// engine does not answer, the cached prefixes stay as they are.
func (o *Owner) watchCache(ctx context.Context) error {
	for ctx.Err() == nil {
		o.readCacheEvents(ctx)
		wait(ctx, time.Now().Add(cacheMillis*time.Millisecond))
	}
	return nil
}

func (o *Owner) readCacheEvents(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(cacheMillis*time.Millisecond))
	defer stop()
	events, err := o.Engine.CacheEvents(ctx, o.cacheSequence)
	if err != nil {
		o.Log.Debug("cache events not read", "Cause", err)
		return
	}
	o.applyCacheEvents(events)
}

// applyCacheEvents applies the events to the cached prefixes. A gap in the
// sequence may hide an eviction, so the prefixes from before the gap are dropped.
func (o *Owner) applyCacheEvents(events []engine.CacheEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range events {
		if e.Sequence <= o.cacheSequence {
			continue
		}
		if e.Sequence != o.cacheSequence+1 {
			o.prefixes.hashes = nil
		}
		o.cacheSequence = e.Sequence
		switch e.Kind {
		case engine.Stored:
			o.prefixes.touch(e.PrefixHash)
		case engine.Evicted:
			o.prefixes.remove(e.PrefixHash)
		}
	}
}

package engineowner

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

const (
	// prefixLimit bounds the prefixes that a load report names.
	prefixLimit = 8
	// cacheMillis is the period at which cache events are read.
	cacheMillis = 1000
)

// cachedPrefixes holds the prompt prefixes that the engine is believed to cache, the
// latest used first.
type cachedPrefixes struct {
	hashes []uint64
}

// touch moves the hash to the front.
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

// remove forgets the hash.
func (p *cachedPrefixes) remove(hash uint64) {
	p.hashes = slices.DeleteFunc(slices.Clone(p.hashes), func(h uint64) bool { return h == hash })
}

// watchCache reads the engine's cache events until ctx ends. Without an answer
// the prefixes stay as they are believed.
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

// applyCacheEvents applies the events. A gap may hide an eviction, so nothing
// that was believed before it is kept.
func (o *Owner) applyCacheEvents(events []engine.CacheEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range events {
		if e.Sequence <= o.cacheSequence {
			continue
		}
		if e.Sequence != o.cacheSequence+1 {
			o.recent.hashes = nil
		}
		o.cacheSequence = e.Sequence
		switch e.Kind {
		case engine.Stored:
			o.recent.touch(e.PrefixHash)
		case engine.Evicted:
			o.recent.remove(e.PrefixHash)
		}
	}
}

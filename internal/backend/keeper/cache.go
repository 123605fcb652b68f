package keeper

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

// prefixes holds the prompt prefixes that the engine is believed to cache, the
// latest used first.
type prefixes struct {
	hashes []uint64
}

// use moves the hash to the front.
func (p *prefixes) use(hash uint64) {
	kept := make([]uint64, 0, prefixLimit)
	kept = append(kept, hash)
	for _, h := range p.hashes {
		if h != hash && len(kept) < prefixLimit {
			kept = append(kept, h)
		}
	}
	p.hashes = kept
}

// drop forgets the hash.
func (p *prefixes) drop(hash uint64) {
	p.hashes = slices.DeleteFunc(slices.Clone(p.hashes), func(h uint64) bool { return h == hash })
}

// watchCache reads the engine's cache events until ctx ends. Without an answer
// the prefixes stay as they are believed.
func (k *Keeper) watchCache(ctx context.Context) error {
	for ctx.Err() == nil {
		k.readCacheEvents(ctx)
		wait(ctx, time.Now().Add(cacheMillis*time.Millisecond))
	}
	return nil
}

func (k *Keeper) readCacheEvents(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(cacheMillis*time.Millisecond))
	defer stop()
	events, err := k.Engine.CacheEvents(ctx, k.cacheSequence)
	if err != nil {
		k.Log.Debug("cache events not read", "Cause", err)
		return
	}
	k.takeCacheEvents(events)
}

// takeCacheEvents applies the events. A gap may hide an eviction, so nothing
// that was believed before it is kept.
func (k *Keeper) takeCacheEvents(events []engine.CacheEvent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range events {
		if e.Sequence <= k.cacheSequence {
			continue
		}
		if e.Sequence != k.cacheSequence+1 {
			k.recent.hashes = nil
		}
		k.cacheSequence = e.Sequence
		switch e.Kind {
		case engine.Stored:
			k.recent.use(e.PrefixHash)
		case engine.Evicted:
			k.recent.drop(e.PrefixHash)
		}
	}
}

package engine

// Running returns the number of jobs that hold memory.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of jobs that hold no memory.
func (b *Batch) Waiting() int { return len(b.waiting) }

// MemoryUsed returns the memory in use, in tokens, including cached prefixes.
func (b *Batch) MemoryUsed() int { return b.used }

// CachedTokens returns the memory of the cached prefixes that no running job uses,
// in tokens. It can be freed at once by eviction.
func (b *Batch) CachedTokens() int { return b.cache.idleTokens }

// Free returns the memory available to running jobs, in tokens, including that of
// idle prefixes.
func (b *Batch) Free() int { return b.MemoryTokens - b.used + b.cache.idleTokens }

// Produced returns the number of tokens that a job has produced, and whether the
// job is in the batch.
func (b *Batch) Produced(key uint64) (int, bool) {
	if i := indexOf(b.running, key); i >= 0 {
		return b.running[i].produced, true
	}
	if i := indexOf(b.waiting, key); i >= 0 {
		return b.waiting[i].produced, true
	}
	return 0, false
}

package engine

// Running counts the jobs that hold memory.
func (b *Batch) Running() int { return len(b.running) }

// Waiting counts the jobs that hold none.
func (b *Batch) Waiting() int { return len(b.waiting) }

// MemoryUsed is the memory in use, in tokens, with cached prefixes.
func (b *Batch) MemoryUsed() int { return b.used }

// CachedTokens is the memory of prefixes that no running job uses, which
// running jobs may take at once.
func (b *Batch) CachedTokens() int { return b.cache.idleTokens }

// Free is the memory that running jobs may still take, in tokens.
func (b *Batch) Free() int { return b.MemoryTokens - b.used + b.cache.idleTokens }

// Produced counts the tokens that a job has produced, and reports whether the
// batch holds it.
func (b *Batch) Produced(key uint64) (int, bool) {
	if i := indexOf(b.running, key); i >= 0 {
		return b.running[i].produced, true
	}
	if i := indexOf(b.waiting, key); i >= 0 {
		return b.waiting[i].produced, true
	}
	return 0, false
}

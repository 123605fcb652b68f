package engine

import (
	"slices"
	"sort"
)

// admit starts the waiting jobs in order until one does not fit. A job that needs
// more than the whole memory fails.
func (b *Batch) admit() {
	for len(b.waiting) > 0 && (b.MaxBatch == 0 || len(b.running) < b.MaxBatch) {
		q := b.waiting[0]
		if q.PromptTokens+q.produced+1 > b.MemoryTokens {
			b.waiting = slices.Delete(b.waiting, 0, 1)
			b.report(Change{Kind: JobFailed, Key: q.Key})
			continue
		}
		if !b.start(q) {
			return
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, q)
		if q.preempted {
			q.preempted = false
			b.report(Change{Kind: JobResumed, Key: q.Key})
		}
	}
}

// start assigns q the memory for its prompt and the output produced so far. It
// reports whether that fits together with one more token.
func (b *Batch) start(q *sequence) bool {
	cached := b.cache.find(q.PrefixHash)
	known := cached != nil
	if known && cached.tokens > q.PromptTokens {
		// The cached prefix is longer than this prompt and cannot be shared.
		cached = nil
	}
	need := q.PromptTokens + q.produced
	if cached != nil {
		need -= cached.tokens
		b.cache.acquire(cached)
	}
	if !b.reserve(need + 1) {
		b.cache.release(cached)
		return false
	}
	q.prefillLeft = need
	q.owned = need
	b.used += need
	q.shared = cached
	if !known && q.PrefixHash != 0 && q.PrefixTokens > 0 {
		b.storePrefix(q)
	}
	return true
}

// storePrefix adds the prefix of q to the cache, which accounts for its memory from
// then on.
func (b *Batch) storePrefix(q *sequence) {
	q.shared = b.cache.store(q.PrefixHash, q.PrefixTokens)
	q.owned -= q.PrefixTokens
	b.report(Change{Kind: PrefixStored, PrefixHash: q.PrefixHash})
}

// reserve frees memory for a number of tokens by evicting idle prefixes, least
// recently used first. If that would not free enough, it evicts nothing and returns
// false.
func (b *Batch) reserve(tokens int) bool {
	if b.MemoryTokens-b.used+b.cache.idleTokens < tokens {
		return false
	}
	for b.MemoryTokens-b.used < tokens {
		evicted := b.cache.evict()
		b.used -= evicted.tokens
		b.report(Change{Kind: PrefixEvicted, PrefixHash: evicted.hash})
	}
	return true
}

// advance computes one step of the running job at index i and returns the index of
// the next job. While there is no memory for the next token, it preempts jobs, which
// may include the job at i. If that job is the only one that runs, it fails.
func (b *Batch) advance(i int) int {
	q := b.running[i]
	if b.PrefillTokens > 0 && q.prefillLeft > b.PrefillTokens {
		q.prefillLeft -= b.PrefillTokens
		return i + 1
	}
	q.prefillLeft = 0
	for !b.reserve(1) {
		v := b.victim()
		if b.running[v] == q && len(b.running) == 1 {
			b.remove(v)
			b.report(Change{Kind: JobFailed, Key: q.Key})
			return v
		}
		self := b.running[v] == q
		b.preemptAt(v)
		if self {
			return i
		}
		if v < i {
			i--
		}
	}
	b.used++
	q.owned++
	b.report(Change{Kind: TokenProduced, Key: q.Key, Position: q.produced})
	q.produced++
	if q.produced < q.OutputTokens {
		return i + 1
	}
	b.remove(i)
	b.report(Change{Kind: JobFinished, Key: q.Key})
	return i
}

// victim returns the index of the running job to preempt: the one with the lowest
// priority or, among several, the one that was added last.
func (b *Batch) victim() int {
	worst := 0
	for i, q := range b.running {
		if b.running[worst].precedes(q) {
			worst = i
		}
	}
	return worst
}

// preemptAt frees the memory of the running job at index i and queues the job by
// its priority and arrival.
func (b *Batch) preemptAt(i int) {
	q := b.running[i]
	b.remove(i)
	q.preempted = true
	b.report(Change{Kind: JobPreempted, Key: q.Key})
	b.enqueue(q)
}

// remove removes the running job at index i and frees its memory.
func (b *Batch) remove(i int) {
	b.release(b.running[i])
	b.running = slices.Delete(b.running, i, i+1)
}

// release frees the memory of q; its prefix remains in the cache.
func (b *Batch) release(q *sequence) {
	b.used -= q.owned
	q.owned = 0
	b.cache.release(q.shared)
	q.shared = nil
}

// enqueue inserts q into the queue by priority and arrival.
func (b *Batch) enqueue(q *sequence) {
	i := sort.Search(len(b.waiting), func(i int) bool { return q.precedes(b.waiting[i]) })
	b.waiting = slices.Insert(b.waiting, i, q)
}

func (b *Batch) report(c Change) {
	b.changes = append(b.changes, c)
}

// precedes reports whether q goes before other: by priority, then by arrival.
func (q *sequence) precedes(other *sequence) bool {
	if q.Priority != other.Priority {
		return q.Priority > other.Priority
	}
	return q.arrival < other.arrival
}

// indexOf returns the index of the job with a key, or -1.
func indexOf(sequences []*sequence, key uint64) int {
	return slices.IndexFunc(sequences, func(q *sequence) bool { return q.Key == key })
}

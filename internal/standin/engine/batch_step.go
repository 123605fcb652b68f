package engine

import (
	"slices"
	"sort"
)

// admit starts waiting jobs in order until one does not fit.
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

// start gives q the memory of its prompt and of what it has produced, and
// reports whether that fits with one more token for q.
func (b *Batch) start(q *sequence) bool {
	cached := b.cache.find(q.PrefixHash)
	known := cached != nil
	if known && cached.tokens > q.PromptTokens {
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

// storePrefix moves the prefix of q from its own memory into the cache.
func (b *Batch) storePrefix(q *sequence) {
	q.shared = b.cache.store(q.PrefixHash, q.PrefixTokens)
	q.owned -= q.PrefixTokens
	b.report(Change{Kind: PrefixStored, PrefixHash: q.PrefixHash})
}

// reserve makes tokens free by evicting idle prefixes, least recently used
// first. It evicts nothing when that would not be enough.
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

// advance computes one step of running job i and returns the index of the
// job to go on with.
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

// victim returns the index of the running job with the lowest priority, the
// youngest among several.
func (b *Batch) victim() int {
	worst := 0
	for i, q := range b.running {
		if b.running[worst].precedes(q) {
			worst = i
		}
	}
	return worst
}

// preemptAt frees the memory of running job i and lets it wait in its order.
func (b *Batch) preemptAt(i int) {
	q := b.running[i]
	b.remove(i)
	q.preempted = true
	b.report(Change{Kind: JobPreempted, Key: q.Key})
	b.enqueue(q)
}

func (b *Batch) remove(i int) {
	b.release(b.running[i])
	b.running = slices.Delete(b.running, i, i+1)
}

// release frees the memory of q; its prefix stays in the cache.
func (b *Batch) release(q *sequence) {
	b.used -= q.owned
	q.owned = 0
	b.cache.release(q.shared)
	q.shared = nil
}

func (b *Batch) enqueue(q *sequence) {
	i := sort.Search(len(b.waiting), func(i int) bool { return q.precedes(b.waiting[i]) })
	b.waiting = slices.Insert(b.waiting, i, q)
}

func (b *Batch) report(c Change) {
	b.changes = append(b.changes, c)
}

// precedes orders by priority, then by arrival.
func (q *sequence) precedes(other *sequence) bool {
	if q.Priority != other.Priority {
		return q.Priority > other.Priority
	}
	return q.arrival < other.arrival
}

func indexOf(sequences []*sequence, key uint64) int {
	return slices.IndexFunc(sequences, func(q *sequence) bool { return q.Key == key })
}

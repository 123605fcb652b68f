package engine

import "slices"

// Job describes one generation to the batch.
type Job struct {
	// Key identifies the generation; it is unique in its batch.
	Key uint64
	// Priority orders the jobs; a higher priority goes first.
	Priority int
	// PromptTokens is the length of the prompt, including the prefix.
	PromptTokens int
	// PrefixHash identifies the prefix in the cache; 0 caches no prefix.
	PrefixHash uint64
	// PrefixTokens is the length of the prefix, at most PromptTokens.
	PrefixTokens int
	// OutputTokens is the number of tokens that the generation produces, at least
	// 1.
	OutputTokens int
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of changes.
const (
	// TokenProduced means that a generation produced the token at Position.
	TokenProduced ChangeKind = iota + 1
	// JobPreempted means that a generation lost its memory and waits.
	JobPreempted
	// JobResumed means that a preempted generation has memory again.
	JobResumed
	// JobFinished means that a generation produced its last token.
	JobFinished
	// JobFailed means that a generation needs more than the whole memory.
	JobFailed
	// PrefixStored means that a prefix was added to the cache.
	PrefixStored
	// PrefixEvicted means that a prefix was evicted from the cache.
	PrefixEvicted
)

// Change is one change of a generation or of the prefix cache.
type Change struct {
	// Kind is the kind of the change.
	Kind ChangeKind
	// Key identifies the generation; 0 for changes of the cache.
	Key uint64
	// Position is the position of the token, counted from 0, for TokenProduced.
	Position int
	// PrefixHash identifies the prefix, for changes of the cache.
	PrefixHash uint64
}

// sequence is a job with its progress.
type sequence struct {
	Job
	// arrival is the number of the job in the order of Add.
	arrival uint64
	// produced is the number of tokens produced.
	produced int
	// owned is the memory held, in tokens, without the shared prefix.
	owned int
	// prefillLeft is the number of tokens to compute before the next output token:
	// the prompt and, after a preemption, the output so far, without a prefix that
	// was already cached.
	prefillLeft int
	// shared is the cached prefix in use, or nil.
	shared *prefix
	// preempted is set from a preemption until the resumption.
	preempted bool
}

// Batch models the batch and the memory of an engine, without clock or I/O: each
// Step is one iteration of the engine. It is not safe for concurrent use.
type Batch struct {
	// MemoryTokens is the whole memory, in tokens.
	MemoryTokens int
	// MaxBatch is the maximum number of running generations; 0 sets no limit.
	MaxBatch int
	// PrefillTokens is the number of prompt tokens that a generation computes in
	// one step, before it produces output; 0 computes any prompt in no time.
	PrefillTokens int

	running []*sequence
	// waiting holds the new and the preempted jobs, which have no memory, in the
	// order of admission.
	waiting []*sequence
	cache   prefixCache
	// used is the memory in use, in tokens, including cached prefixes.
	used int
	// arrivals is the number of jobs added.
	arrivals uint64
	// changes collects the changes that the next Step returns.
	changes []Change
	// spare is the slice that the last Step returned. The next Step reuses it.
	spare []Change
}

// Add adds a job to the queue; a later Step starts it.
func (b *Batch) Add(job Job) {
	b.arrivals++
	job.OutputTokens = max(job.OutputTokens, 1)
	b.enqueue(&sequence{Job: job, arrival: b.arrivals})
}

// Cancel removes a job and reports whether it was in the batch.
func (b *Batch) Cancel(key uint64) bool {
	if i := indexOf(b.running, key); i >= 0 {
		b.release(b.running[i])
		b.running = slices.Delete(b.running, i, i+1)
		return true
	}
	if i := indexOf(b.waiting, key); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return true
	}
	return false
}

// Preempt preempts a job and reports whether it was running. The next Step returns
// the change.
func (b *Batch) Preempt(key uint64) bool {
	i := indexOf(b.running, key)
	if i < 0 {
		return false
	}
	b.preemptAt(i)
	return true
}

// Step runs one iteration: it admits the waiting jobs that fit; then each running
// generation computes a part of its prompt or produces one token. The result is
// valid until the next call of Step.
func (b *Batch) Step() []Change {
	b.admit()
	for i := 0; i < len(b.running); {
		i = b.advance(i)
	}
	done := b.changes
	b.changes, b.spare = b.spare[:0], done
	return done
}

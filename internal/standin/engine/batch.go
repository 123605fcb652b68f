package engine

import "slices"

// Job is one generation as the batch sees it.
type Job struct {
	// Key names the generation; it is unique in its batch.
	Key uint64
	// Priority orders the work; a higher one goes first.
	Priority int
	// PromptTokens is the prompt's length, with the prefix.
	PromptTokens int
	// PrefixHash names the prefix in the cache; 0 caches none.
	PrefixHash uint64
	// PrefixTokens is the prefix's length, at most PromptTokens.
	PrefixTokens int
	// OutputTokens is how many tokens the generation produces, at least 1.
	OutputTokens int
}

// ChangeKind says what a Change is about.
type ChangeKind int

// Kinds of changes.
const (
	// TokenProduced says that a generation produced the token at Position.
	TokenProduced ChangeKind = iota + 1
	// JobPreempted says that a generation lost its memory and waits.
	JobPreempted
	// JobResumed says that a preempted generation has memory again.
	JobResumed
	// JobFinished says that a generation produced its last token.
	JobFinished
	// JobFailed says that a generation needs more than the whole memory.
	JobFailed
	// PrefixStored says that a prefix came into the cache.
	PrefixStored
	// PrefixEvicted says that a prefix left the cache.
	PrefixEvicted
)

// Change is one thing that a step did.
type Change struct {
	// Kind says what happened.
	Kind ChangeKind
	// Key names the generation; 0 for changes of the cache.
	Key uint64
	// Position is the token's position, from 0, for TokenProduced.
	Position int
	// PrefixHash names the prefix for changes of the cache.
	PrefixHash uint64
}

// sequence is a job with its progress.
type sequence struct {
	Job
	// arrival grows with each job added; a larger one is younger.
	arrival uint64
	// produced counts the tokens that were produced.
	produced int
	// owned is the memory held, in tokens, without a shared prefix.
	owned int
	// prefillLeft is how many tokens must be computed before the next one.
	prefillLeft int
	// shared is the cached prefix in use; nil when none is.
	shared *prefix
	// preempted is set from preemption to resumption.
	preempted bool
}

// Batch is an engine's batch and memory, without clock or I/O: each Step is
// one iteration of the engine. It is used by one goroutine at a time.
type Batch struct {
	// MemoryTokens is the whole memory, in tokens.
	MemoryTokens int
	// MaxBatch bounds the running generations; 0 sets no bound.
	MaxBatch int
	// PrefillTokens is how many prompt tokens a generation computes in one
	// step before it produces; 0 makes the prompt free.
	PrefillTokens int

	running []*sequence
	// waiting is in order of admission.
	waiting  []*sequence
	cache    prefixCache
	used     int
	arrivals uint64
	// changes collects what the next Step will return.
	changes []Change
	// spare is what the last Step returned, to be used again.
	spare []Change
}

// Add puts a job into the queue; a later Step starts it.
func (b *Batch) Add(job Job) {
	b.arrivals++
	job.OutputTokens = max(job.OutputTokens, 1)
	b.enqueue(&sequence{Job: job, arrival: b.arrivals})
}

// Cancel stops a job and reports whether the batch held it.
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

// Preempt pushes a running job aside, and reports whether it was running. The
// next Step reports the change.
func (b *Batch) Preempt(key uint64) bool {
	i := indexOf(b.running, key)
	if i < 0 {
		return false
	}
	b.preemptAt(i)
	return true
}

// Step runs one iteration: it admits what fits, then each running generation
// produces one token. The result is valid until the next call of Step.
func (b *Batch) Step() []Change {
	b.admit()
	for i := 0; i < len(b.running); {
		i = b.advance(i)
	}
	done := b.changes
	b.changes, b.spare = b.spare[:0], done
	return done
}

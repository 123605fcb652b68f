// Package engine is the client of a model engine.
package engine

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused says that the engine certainly did not start what was asked.
var ErrRefused = errors.New("engine refused")

// ErrBroken says that the exchange broke: whether the engine started, or how
// far it came, is unknown.
var ErrBroken = errors.New("exchange with the engine broke")

// ErrFenced says that the engine checks fencing numbers and has seen a newer
// one than the order's. It is also an ErrRefused.
var ErrFenced = errors.Newf("%w: fencing number is old", ErrRefused)

// ErrNoState says that the engine does not report what its orders have made of
// it.
var ErrNoState = errors.New("engine does not report its state")

// ResumeFromStart as ResumeFrom attaches to a generation and asks for all of
// its tokens.
const ResumeFromStart = -1

// Request asks for a generation, or attaches to one.
type Request struct {
	// ID names the request; events carry it.
	ID string
	// Model names the model or adapter.
	Model string
	// Prompt is the whole prompt.
	Prompt string
	// MaxTokens bounds the output, in tokens; 0 sets no bound.
	MaxTokens int
	// Priority orders the work; a higher one goes first.
	Priority int
	// PrefixHash names the prompt's prefix in the engine's cache; 0 caches none.
	PrefixHash uint64
	// ResumeFrom is 0 to start a generation. Otherwise the stream attaches to
	// the generation that the engine holds for ID, and begins at this position,
	// or at position 0 for ResumeFromStart. An engine without it refuses.
	ResumeFrom int
}

// Load is what an engine reports of its load, with a lag.
type Load struct {
	// Running counts the generations that hold memory.
	Running int
	// Waiting counts those that hold none, new or preempted.
	Waiting int
	// MemoryUsed is the memory in use, in tokens, with cached prefixes.
	MemoryUsed int
	// MemoryTotal is the whole memory, in tokens.
	MemoryTotal int
	// MeasuredAt is when the engine took these figures, by its clock.
	MeasuredAt time.Time
}

// Kinds of cache events.
const (
	// Stored says that a prefix came into the cache.
	Stored = "Stored"
	// Evicted says that a prefix left the cache.
	Evicted = "Evicted"
)

// CacheEvent is a change of the prefix cache. Events come late, and a gap in
// the sequence means that some never come.
type CacheEvent struct {
	// Sequence grows by one for each change, from 1.
	Sequence uint64
	// Kind is Stored or Evicted.
	Kind string
	// PrefixHash names the prefix.
	PrefixHash uint64
}

// Kinds of orders.
const (
	// LoadModel loads the model named by Target.
	LoadModel = "LoadModel"
	// LoadAdapter loads the adapter named by Target.
	LoadAdapter = "LoadAdapter"
	// LoadVersion loads version Version of the model named by Target.
	LoadVersion = "LoadVersion"
	// ChangeRole gives the engine the role named by Target.
	ChangeRole = "ChangeRole"
	// Preempt pushes the generation of RequestID aside.
	Preempt = "Preempt"
)

// Order tells an engine to change what it does.
type Order struct {
	// Kind is one of the kinds of orders.
	Kind string
	// Target names the model, adapter or role.
	Target string
	// Version is the version to load.
	Version string
	// Fence is the fencing number: an engine that checks refuses one that is
	// lower than the highest it has seen.
	Fence uint64
	// RequestID names the generation that Preempt is about.
	RequestID string
}

// State is what orders have made of an engine.
type State struct {
	// Fence is the highest fencing number taken; 0 from an engine that ignores
	// the numbers.
	Fence uint64
	// Model and Version are what is loaded; empty before the first load.
	Model   string
	Version string
	// Adapters are loaded for the model's version.
	Adapters []string
	// Role is empty before the first one.
	Role string
}

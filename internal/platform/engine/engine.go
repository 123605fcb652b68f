// Package engine is the client of a model engine. Client starts generations, sends
// orders, and reads the engine's state, load and cache events. A generation is one run
// of a request on the engine; Stream reads its events. When memory runs out, the engine
// preempts a generation and resumes it later.
//
// Each order carries a fencing number, by which an engine can refuse outdated orders.
// Package instruction describes how the numbers are assigned.
package engine

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused means that the engine certainly has not started the requested work.
var ErrRefused = errors.New("engine refused")

// ErrBroken means that the exchange failed with an unknown outcome: the engine may have
// started the requested work, or completed a part of it.
var ErrBroken = errors.New("exchange with the engine broke")

// ErrFenced means that the engine checks fencing numbers and has seen a higher one than
// that of the order. It wraps ErrRefused.
var ErrFenced = errors.Newf("%w: fencing number is old", ErrRefused)

// ErrNoState means that the engine does not report its state.
var ErrNoState = errors.New("engine does not report its state")

// ResumeFromStart is the value of Request.ResumeFrom that attaches to a generation and
// requests all of its tokens.
const ResumeFromStart = -1

// Request starts a generation or attaches to one.
type Request struct {
	// ID identifies the request; its events carry the ID.
	ID string
	// Model is the name of the model or adapter.
	Model string
	// Prompt is the complete prompt.
	Prompt string
	// MaxTokens is the maximum length of the output, in tokens; 0 sets no limit.
	MaxTokens int
	// Priority orders the requests; higher priorities go first.
	Priority int
	// PrefixHash is the hash under which the engine caches the prefix of the
	// prompt; 0 disables the caching.
	PrefixHash uint64
	// ResumeFrom is 0 to start a generation. Any other value attaches to the
	// generation that the engine holds for ID. The stream then begins at this
	// position, or at position 0 for ResumeFromStart. The engine refuses the request
	// when it holds no such generation.
	ResumeFrom int
}

// Load is an engine's report of its load. It lags behind the actual load.
type Load struct {
	// Running is the number of generations that hold memory.
	Running int
	// Waiting is the number of generations that hold no memory: new and preempted
	// ones.
	Waiting int
	// MemoryUsed is the memory in use, in tokens, including cached prefixes.
	MemoryUsed int
	// MemoryTotal is the size of the memory, in tokens.
	MemoryTotal int
	// MeasuredAt is when the engine measured these values, by its own clock.
	MeasuredAt time.Time
}

// Kinds of cache events.
const (
	// Stored means that a prefix was added to the cache.
	Stored = "Stored"
	// Evicted means that a prefix was evicted from the cache.
	Evicted = "Evicted"
)

// CacheEvent is a change of the prefix cache. Events arrive with a delay, and a gap in
// the sequence means that the missing events will never arrive.
type CacheEvent struct {
	// Sequence is the number of the change, from 1.
	Sequence uint64
	// Kind is Stored or Evicted.
	Kind string
	// PrefixHash is the hash of the prefix.
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
	// ChangeRole changes the engine's role to the one named by Target.
	ChangeRole = "ChangeRole"
	// Preempt preempts the generation of RequestID.
	Preempt = "Preempt"
)

// Order instructs an engine to change its state, or to preempt a generation.
type Order struct {
	// Kind is one of the kinds of orders.
	Kind string
	// Target is the name of the model, adapter or role.
	Target string
	// Version is the version to load.
	Version string
	// Fence is the fencing number. An engine that checks fencing numbers refuses an
	// order whose number is lower than the highest one that it has seen.
	Fence uint64
	// RequestID identifies the generation to preempt.
	RequestID string
}

// State is the state of an engine that results from its orders.
type State struct {
	// Fence is the highest fencing number that the engine has accepted. It is 0 for
	// an engine that ignores fencing numbers.
	Fence uint64
	// Model and Version identify the loaded model; they are empty before the first
	// load.
	Model   string
	Version string
	// Adapters are the loaded adapters of the model's version.
	Adapters []string
	// Role is the engine's role; it is empty before the first order that sets one.
	Role string
}

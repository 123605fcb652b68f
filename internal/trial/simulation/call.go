package simulation

import (
	"fmt"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

// stallThresholdMicros is the shortest gap between two tokens that counts as a stall, in
// microseconds.
const stallThresholdMicros = 200 * microsPerMilli

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// timeAt converts a virtual time in microseconds since epoch to a time.Time.
func timeAt(micros int64) time.Time {
	return epoch.Add(time.Duration(micros) * time.Microsecond)
}

// callState is the state of a call: open, or how it ended.
type callState int

const (
	stateOpen callState = iota
	stateCompleted
	// stateRefused means that the call was not run and is not retried any more.
	stateRefused
	// stateLost means that the call may have run, but failed on its engine or was
	// lost with its backend server, and is not retried any more.
	stateLost
	stateTimedOut
)

// call is one request of a caller, with its progress and its measurements. Times are
// in microseconds of virtual time.
type call struct {
	key   uint64
	id    string
	class *Class
	// account is the index of the client account.
	account int
	// outputTokens is the length of the whole answer.
	outputTokens int
	arrived      int64
	deadline     int64

	entry *entry
	// server is the backend server that holds the call, or nil.
	server *server
	// refused holds the backend servers that refused the call.
	refused  map[*server]bool
	attempts int
	state    callState

	// produced is the number of tokens produced by the current attempt.
	produced    int
	preemptions int
	// preempted is set from a preemption until the resumption.
	preempted bool
	// started reports whether the call has ever reached an engine.
	started bool
	// measured reports whether the call counts in the report.
	measured bool
	// firstToken and lastToken are the times of the first and the last token.
	firstToken int64
	lastToken  int64
	// pauseMicros is the sum of the stalls between tokens: the gaps of at least
	// stallThresholdMicros.
	pauseMicros int64
}

func newCall(class *Class, account, output int, at int64) *call {
	return &call{
		class:        class,
		account:      account,
		outputTokens: output,
		arrived:      at,
		deadline:     at + int64(class.DeadlineMillis)*microsPerMilli,
	}
}

func (c *call) accountName() string {
	return fmt.Sprint("account ", c.account)
}

// prefixHash identifies the prompt prefix that the call shares with the account's other
// requests of the same prompt length; it is zero if the class has no shared prefix.
func (c *call) prefixHash() uint64 {
	if c.class.PrefixTokens == 0 {
		return 0
	}
	return uint64(c.account+1)*1000 + uint64(c.class.PromptTokens)
}

// request returns the call's request for admission.
func (c *call) request() admission.Request {
	return admission.Request{
		RequestID:    c.id,
		Account:      c.accountName(),
		Class:        c.class.Label,
		Priority:     c.class.Priority,
		Urgent:       c.class.Urgent,
		Repeatable:   c.class.Repeatable,
		PromptTokens: c.class.PromptTokens,
		PrefixHash:   c.prefixHash(),
		PrefixTokens: c.class.PrefixTokens,
		MaxTokens:    c.class.MaxTokens,
		Deadline:     timeAt(c.deadline),
	}
}

// job returns the engine's job for the call.
func (c *call) job(priority int) engine.Job {
	return engine.Job{
		Key:          c.key,
		Priority:     priority,
		PromptTokens: c.class.PromptTokens,
		PrefixHash:   c.prefixHash(),
		PrefixTokens: c.class.PrefixTokens,
		OutputTokens: c.outputTokens,
	}
}

// recordToken records one token and returns the time since the one before, or zero
// for the first token.
func (c *call) recordToken(now int64) int64 {
	c.produced++
	if c.produced == 1 {
		c.firstToken, c.lastToken = now, now
		return 0
	}
	gap := now - c.lastToken
	if gap >= stallThresholdMicros {
		c.pauseMicros += gap
	}
	c.lastToken = now
	return gap
}

// resetOutput discards the tokens produced so far, because a retry produces them
// again. The caller has received none of them.
func (c *call) resetOutput() {
	if c.produced > 0 {
		c.pauseMicros = 0
	}
	c.produced = 0
}

// stallMicros returns the time without progress of a call that ended at end: the time
// until the first token and the gaps of at least stallThresholdMicros. For a call that
// did not complete, the time from its last token to end counts as a gap.
func (c *call) stallMicros(end int64) int64 {
	if c.produced == 0 {
		return end - c.arrived
	}
	stall := c.firstToken - c.arrived + c.pauseMicros
	if c.state != stateCompleted && end-c.lastToken >= stallThresholdMicros {
		stall += end - c.lastToken
	}
	return stall
}

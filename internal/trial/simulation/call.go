package simulation

import (
	"fmt"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

// stallThresholdMicros is the gap between two tokens from which a generation counts as
// stalled.
const stallThresholdMicros = 200 * microsPerMilli

// epoch is the zero of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// timeAt returns the time of a moment in microseconds.
func timeAt(micros int64) time.Time {
	return epoch.Add(time.Duration(micros) * time.Microsecond)
}

// callState is how far a call has come.
type callState int

const (
	stateOpen callState = iota
	stateCompleted
	stateRefused
	stateLost
	stateTimedOut
)

// call is one request of a caller, with what was measured of it.
type call struct {
	key          uint64
	id           string
	class        *Class
	account      int
	outputTokens int
	arrived      int64
	deadline     int64

	entry    *entry
	server   *server
	refused  map[*server]bool
	attempts int
	state    callState

	produced    int
	preemptions int
	preempted   bool
	started     bool
	measured    bool
	firstToken  int64
	lastToken   int64
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

// prefixHash names the part of the prompt that the account's requests share.
func (c *call) prefixHash() uint64 {
	if c.class.PrefixTokens == 0 {
		return 0
	}
	return uint64(c.account+1)*1000 + uint64(c.class.PromptTokens)
}

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

// recordToken records one token and returns the gap before it, or 0 for the first.
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

// resetOutput forgets what was produced; the caller has seen nothing of it.
func (c *call) resetOutput() {
	if c.produced > 0 {
		c.pauseMicros = 0
	}
	c.produced = 0
}

// stallMicros is the time without progress: until the first token, and in gaps
// between tokens. A call that gave up has waited until then.
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

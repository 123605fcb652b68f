// Package dispatch carries one request through its attempts: choice of a backend
// server, relay of the answer, resume on a fresh connection, and retries.
package dispatch

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/delivery"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// defaultProgressMillis is the silence after which a path counts as dead.
	defaultProgressMillis = 3000
	// defaultOwnerTimeoutMillis bounds the attempts to reach an owner that may run
	// the request.
	defaultOwnerTimeoutMillis = 15000
	// reconnectPauseMillis is the pause between two attempts at the same owner.
	reconnectPauseMillis = 200
	// cancelTimeoutMillis bounds a cancellation, which is best effort.
	cancelTimeoutMillis = 1000
)

// Target is the backend server chosen for an attempt.
type Target struct {
	Backend     string
	PeerAddress string
	// Incarnation is zero while no reply of the process is known.
	Incarnation uint64
	// Reason tells why it was chosen, and Candidates what it was chosen from.
	Reason     string
	Candidates []explanation.Candidate
}

// Presence tells what is known of one incarnation.
type Presence int

// What may be known of one incarnation.
const (
	// Unlisted means that the backend server is not known here.
	Unlisted Presence = iota
	// Present means that the incarnation may live.
	Present
	// Replaced means that another incarnation has taken its place.
	Replaced
)

// Selection asks for a backend server.
type Selection struct {
	RequestID string
	Service   string
	Model     string
	Class     string
	Account   string
	Prompt    string
	Urgent    bool
	// Refused holds the backend servers that refused the request.
	Refused map[string]bool
}

// Picker chooses backend servers and learns from their answers.
type Picker interface {
	// Pick returns a target or why there is none.
	Pick(Selection, time.Time) (Target, *resultcode.Result)
	// Locate finds the process of one incarnation of a backend server.
	Locate(backend string, incarnation uint64) (Target, Presence)
	// Observe takes the load that a reply carried.
	Observe(load *message.Load, askedAt, now time.Time)
	// Refused takes a refusal of the selection by the owner.
	Refused(Selection, Target, *resultcode.Result, time.Time)
	// Unreachable takes a failure to reach the owner.
	Unreachable(Target, time.Time)
	// Retry decides whether and when a failed attempt is followed by another.
	Retry(retrybudget.Attempt, time.Time) retrybudget.Decision
	// Succeeded takes a request that ended well; it earns retry budget.
	Succeeded(time.Time)
}

// Claimer binds idempotency keys.
type Claimer interface {
	Claim(context.Context, *message.ClaimRequest) (*message.ClaimReply, error)
}

// Metrics counts what callers do not see. It is safe for concurrent use.
type Metrics interface {
	CountRetry()
	CountRejectedFrame(reason string)
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	// Picker and Claimer must be set before use.
	Picker  Picker
	Claimer Claimer
	Records explanation.Writer
	Metrics Metrics
	// ProgressMillis is the silence after which a path counts as dead; zero
	// means the default.
	ProgressMillis int
	// OwnerTimeoutMillis bounds the attempts to reach an owner that may run the
	// request; zero means the default.
	OwnerTimeoutMillis int
	// Partitions is the number of claim partitions.
	Partitions int
	// Address is the peer address of this entry host.
	Address string
	// ConfigVersion returns the version in force.
	ConfigVersion func() uint64
}

// Generate runs one generation to its final result.
func (r *Runner) Generate(ctx context.Context, request Request, sink Sink) *resultcode.Result {
	journey := &job{
		Runner:   r,
		request:  request,
		sink:     sink,
		delivery: &delivery.Delivery{RequestID: request.ID},
		refused:  make(map[string]bool),
	}
	result := journey.keepUnknown(journey.run(ctx))
	journey.finish(result)
	return result
}

// Resume continues the delivery of the generation that the resume token names, from
// the given position.
func (r *Runner) Resume(ctx context.Context, t resumetoken.Token, from uint64, sink Sink) *resultcode.Result {
	return r.resume(ctx, t, from, sink)
}

func (r *Runner) resume(ctx context.Context, t resumetoken.Token, from uint64, sink Sink) *resultcode.Result {
	target, refusal := r.locate(t.Backend, t.Incarnation)
	if refusal != nil {
		return refusal
	}
	generation := delivery.Generation{
		Backend:     t.Backend,
		Incarnation: t.Incarnation,
		Sequence:    t.Sequence,
	}
	resumed := &delivery.Delivery{RequestID: t.RequestID}
	if err := resumed.ResumeAt(generation, from); err != nil {
		return resultcode.New(resultcode.InvalidRequest, "%v", err)
	}
	journey := &job{
		Runner:   r,
		request:  Request{ID: t.RequestID, Account: t.Account},
		sink:     sink,
		delivery: resumed,
		resumed:  true,
		refused:  make(map[string]bool),
		target:   target,
	}
	result := journey.relay(ctx)
	journey.finish(result)
	return result
}

// locate finds the owner of a generation. Only addresses that this entry host
// knows itself are dialled, never one that a caller brings.
func (r *Runner) locate(backend string, incarnation uint64) (Target, *resultcode.Result) {
	target, presence := r.Picker.Locate(backend, incarnation)
	switch presence {
	case Present:
		return target, nil
	case Replaced:
		return target, resultcode.New(resultcode.GenerationLost,
			"incarnation %d of %s is gone", incarnation, backend)
	default:
		return target, resultcode.New(resultcode.OwnerSilent, "%s is not known here yet", backend).
			WithRetryAt(time.Now().Add(time.Second))
	}
}

func (r *Runner) progressDeadline() time.Time {
	millis := r.ProgressMillis
	if millis == 0 {
		millis = defaultProgressMillis
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

// Package dispatch runs one request on an entry host: it selects a backend
// server, relays the answer, resumes the answer on a new connection after a
// failure, and retries the request on other backend servers. Runner does this for
// generations (Generate and Resume) and for calls of plain services (Call).
//
// The owner of a backend server is the process beside it, which is its only
// client. An incarnation is one run of that process. A path is the connection from
// the entry host to an owner.
//
// A non-idempotent request has an idempotency key, which is bound to a request ID
// and to one incarnation before the request is sent. The permit that the binding
// returns names the only incarnation that may run the request.
package dispatch

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/delivery"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// defaultProgressMillis is the time without a frame after which a path counts
	// as broken.
	defaultProgressMillis = 3000
	// defaultOwnerTimeoutMillis is the time for which the entry host tries to
	// reach an owner that may be running the request.
	defaultOwnerTimeoutMillis = 15000
	// reconnectPauseMillis is the pause before a new connection to the same owner.
	reconnectPauseMillis = 200
	// cancelTimeoutMillis is the timeout of a cancellation, which is best effort.
	cancelTimeoutMillis = 1000
)

// Target is the backend server chosen for an attempt.
type Target struct {
	Backend     string
	PeerAddress string
	// Incarnation is zero until the process has replied to this entry host.
	Incarnation uint64
	// Reason is why the backend server was chosen, and Candidates are the backend
	// servers that were compared.
	Reason     string
	Candidates []explanation.Candidate
}

// Presence is the state of one incarnation as far as this entry host knows it.
type Presence int

// States of one incarnation.
const (
	// Unlisted means that this entry host does not know the backend server, for
	// instance because it has not yet received the host list.
	Unlisted Presence = iota
	// Present means that the incarnation may still be running.
	Present
	// Replaced means that a newer incarnation of the process has replied.
	Replaced
)

// Selection describes a request for which a backend server is to be picked.
type Selection struct {
	RequestID string
	Service   string
	Model     string
	Class     string
	Account   string
	Prompt    string
	Urgent    bool
	// Refused holds the names of the backend servers on which an attempt of the
	// request has failed.
	Refused map[string]bool
}

// Picker chooses backend servers and records how they respond.
type Picker interface {
	// Pick returns a target, or the result that states why there is none.
	Pick(Selection, time.Time) (Target, *resultcode.Result)
	// Locate returns the address of the process of a backend server, and whether that
	// process may still be the given incarnation.
	Locate(backend string, incarnation uint64) (Target, Presence)
	// Observe records the load that a reply carried. The request was sent at
	// requestedAt.
	Observe(load *message.Load, requestedAt, now time.Time)
	// Refused records that the owner refused the request of the selection.
	Refused(Selection, Target, *resultcode.Result, time.Time)
	// Unreachable records that the owner could not be reached.
	Unreachable(Target, time.Time)
	// Retry decides whether and when a failed attempt is retried.
	Retry(retrybudget.Attempt, time.Time) retrybudget.Decision
	// Succeeded records a successful request, which adds to the retry budget.
	Succeeded(time.Time)
}

// Claimer binds idempotency keys to an owner and a request.
type Claimer interface {
	Claim(context.Context, *message.ClaimRequest) (*message.ClaimReply, error)
}

// Metrics counts retries and rejected frames. It is safe for concurrent use.
type Metrics interface {
	CountRetry()
	CountRejectedFrame(reason string)
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	// Picker, Claimer, Metrics and ConfigVersion must be set before use.
	Picker  Picker
	Claimer Claimer
	// Memory bounds what the owners make the process hold of messages that are not complete; nil for no
	// bound.
	Memory *heldbytes.Budget
	// Records receives the decision records of the requests. The zero Writer
	// discards them.
	Records explanation.Writer
	Metrics Metrics
	// Quarantine holds what requests have in common under which backend servers crash; nil keeps
	// no request away.
	Quarantine *quarantine.Table
	// ProgressMillis is the time without a frame after which a path counts as
	// broken. Zero means defaultProgressMillis.
	ProgressMillis int
	// OwnerTimeoutMillis is the time for which the entry host tries to reach an
	// owner that may be running the request. Zero means
	// defaultOwnerTimeoutMillis.
	OwnerTimeoutMillis int
	// Partitions is the number of partitions that the idempotency keys are divided
	// into. It must be equal on all entry hosts.
	Partitions int
	// Address is the peer address of this entry host.
	Address string
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() uint64
}

// Generate runs one generation, delivers its tokens to sink and returns the final
// result.
func (r *Runner) Generate(ctx context.Context, request Request, sink Sink) *resultcode.Result {
	j := &job{
		Runner:   r,
		request:  request,
		sink:     sink,
		delivery: &delivery.Delivery{RequestID: request.ID},
		refused:  make(map[string]bool),
		traits:   quarantine.GenerationContent(request.Account, request.Service, request.Model, request.Prompt).Traits(),
	}
	result := j.keepUnknown(j.run(ctx))
	j.noteAnswer(result)
	j.finish(result)
	return result
}

// Resume continues the delivery of the generation that the resume token names,
// from the given position.
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
	j := &job{
		Runner:   r,
		request:  Request{ID: t.RequestID, Account: t.Account},
		sink:     sink,
		delivery: resumed,
		resumed:  true,
		refused:  make(map[string]bool),
		target:   target,
	}
	result := j.relay(ctx)
	j.finish(result)
	return result
}

// locate returns the owner of a generation. Only addresses that this entry host
// knows itself are dialled, never one from a caller's resume token.
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

// progressDeadline returns the time by which the next frame must arrive.
func (r *Runner) progressDeadline() time.Time {
	millis := r.ProgressMillis
	if millis == 0 {
		millis = defaultProgressMillis
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond)
}

package dispatch

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/permit/leaseholder"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// claim binds the idempotency key to the target, or adopts an existing binding of
// the key. If the job has a permit already, the owner that it names has recorded a
// refusal of the request, and claim replaces that binding.
func (j *job) claim(ctx context.Context) *resultcode.Result {
	request := &message.ClaimRequest{
		Key:               j.request.Key,
		Partition:         claim.PartitionOf(j.request.Key, j.Partitions),
		RequestId:         j.request.ID,
		Backend:           j.target.Backend,
		Incarnation:       j.target.Incarnation,
		DeadlineUnixNanos: deadlineNanos(j.request.Deadline),
		Refused:           j.permit,
	}
	reply, err := j.Claimer.Claim(ctx, request)
	if err != nil {
		return resultcode.New(resultcode.LogUnavailable, "the key could not be bound: %v", err).
			WithRetryAt(time.Now().Add(time.Second))
	}
	if reply.GetCode() != 0 {
		return resultcode.New(claimCode(leaseholder.Code(reply.GetCode())), "%s", reply.GetReason()).
			WithRetryAt(timeFromNanos(reply.GetRetryAtUnixNanos()))
	}
	return j.adoptBinding(reply.GetPermit())
}

// adoptBinding continues with the binding in force. If another claim of the key came
// first, the binding names the request and the owner of that claim.
func (j *job) adoptBinding(permit *message.Permit) *resultcode.Result {
	j.permit = permit
	j.record(explanation.Claimed{
		Partition: permit.GetPartition(),
		Offset:    permit.GetOffset(),
		BoundTo:   permit.GetRequestId(),
		Backend:   permit.GetBackend(),
		Reason:    "the binding in force",
	})
	if permit.GetBackend() == j.target.Backend && permit.GetIncarnation() == j.target.Incarnation {
		j.adoptRequestID(permit.GetRequestId())
		return nil
	}
	target, refusal := j.locate(permit.GetBackend(), permit.GetIncarnation())
	if refusal != nil && refusal.Code == resultcode.GenerationLost {
		return resultcode.New(resultcode.KeySpent, "the key is bound to an owner that is gone: %s", refusal.Reason)
	}
	if refusal != nil {
		return refusal
	}
	j.target = target
	j.adoptRequestID(permit.GetRequestId())
	return nil
}

// resultAfterRefusal returns the result of a refusal for a request whose key is
// bound. The request counts as not run only if the incarnation that the key is
// bound to has recorded the refusal. Without a record, another entry host may
// have sent the same request to the owner, and another incarnation does not know
// what the bound one has run.
func (j *job) resultAfterRefusal(result *resultcode.Result, incarnation uint64, recorded bool) *resultcode.Result {
	if j.permit == nil || result.Code.Info().Outcome != resultcode.NotRun {
		return result
	}
	if incarnation != j.permit.GetIncarnation() {
		return resultcode.New(resultcode.KeySpent,
			"the key is bound to incarnation %d of %s, which is gone", j.permit.GetIncarnation(), j.target.Backend)
	}
	if !recorded {
		return resultcode.New(resultcode.OwnerSilent, "%s refused without a record: %s", j.target.Backend, result.Reason).
			WithRetryAt(result.RetryAt)
	}
	return result
}

// adoptRequestID makes the job deliver the request that the key is bound to.
func (j *job) adoptRequestID(requestID string) {
	j.request.ID = requestID
	j.delivery.RequestID = requestID
}

// probeIncarnation requests the target's incarnation if no reply has reported it
// yet. It also reports whether the target's process is leaving.
func (j *job) probeIncarnation(ctx context.Context) (leaving bool, refusal *resultcode.Result) {
	if j.target.Incarnation != 0 {
		return false, nil
	}
	sentAt := time.Now()
	ctx, stop := context.WithDeadline(ctx, j.progressDeadline())
	defer stop()
	load, err := transport.Call(ctx, j.target.PeerAddress,
		func(ctx context.Context, conn drpc.Conn) (*message.Load, error) {
			return message.NewDRPCBackendClient(conn).Probe(ctx, &message.ProbeRequest{})
		})
	now := time.Now()
	if err != nil {
		j.Picker.Unreachable(j.target, now)
		return false, j.notReached(err, now)
	}
	j.Picker.Observe(load, sentAt, now)
	j.target.Incarnation = load.GetIncarnation()
	return load.GetLeaving(), nil
}

// claimCode maps the code of a claim that returned no permit to a result code.
// Nothing was sent to an owner, so the request has not run.
func claimCode(code leaseholder.Code) resultcode.Code {
	switch code {
	case leaseholder.CodeKeyExpired:
		return resultcode.KeyExpired
	case leaseholder.CodeKeyFuture, leaseholder.CodeKeyMalformed:
		return resultcode.KeyRequired
	default:
		return resultcode.LogUnavailable
	}
}

package leaseholder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// maxHostsPerClaim limits the number of entry hosts to which one claim is
	// sent.
	maxHostsPerClaim = 4
	// retryAfterMillis is the retry delay reported to the requester when no entry
	// host took the claim, or the holder is overloaded or waits for the log.
	retryAfterMillis = 1000
)

// Claim binds the key of r, at this entry host or at the one that holds the key's
// partition. It computes the partition and ignores the one in r. It returns an error
// only if ctx is done; every other outcome is a reply with a Code.
func (h *Holder) Claim(ctx context.Context, r *message.ClaimRequest) (*message.ClaimReply, error) {
	h.once.Do(h.prepare)
	r = proto.CloneOf(r)
	r.Partition = claim.PartitionOf(r.GetKey(), h.partitionCount())
	if refusal := h.check(r); refusal != nil {
		return refusal, nil
	}
	tried := make(map[string]bool)
	address := h.nextHost(r.GetPartition(), tried)
	for len(tried) < maxHostsPerClaim && address != "" {
		tried[address] = true
		reply, err := h.claimAt(ctx, address, r)
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "claim key")
		}
		switch {
		case err != nil:
			h.logger().Warn("claim at entry host failed", "Address", address, "Error", err)
			h.holderCache.markUnreachable(r.GetPartition(), address, time.Now())
			address = h.nextHost(r.GetPartition(), tried)
		case codeOf(reply) == CodeStopping:
			h.holderCache.markUnreachable(r.GetPartition(), address, time.Now())
			address = h.nextHost(r.GetPartition(), tried)
		case codeOf(reply) != CodeNotHolder:
			h.holderCache.setHolder(r.GetPartition(), address)
			return reply, nil
		case tried[reply.GetHolder()]:
			return refuse(CodeHolderUnreachable, "holder gave no answer", time.Unix(0, reply.GetRetryAtUnixNanos())), nil
		default:
			address = reply.GetHolder()
		}
	}
	return refuse(CodeHolderUnreachable, "no entry host took the claim", time.Now().Add(retryAfterMillis*time.Millisecond)), nil
}

// claimAt sends the claim to the entry host at the address, which may be this one.
func (h *Holder) claimAt(ctx context.Context, address string, r *message.ClaimRequest) (*message.ClaimReply, error) {
	if address == h.Address {
		return h.HandleClaim(ctx, r)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeoutMillis*time.Millisecond)
	defer cancel()
	client, err := h.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	reply, err := client.Claim(ctx, r)
	return reply, errors.Wrapf(err, "claim at %s", address)
}

// check returns a refusal if the key is malformed or its time is out of bounds, or
// nil.
func (h *Holder) check(r *message.ClaimRequest) *message.ClaimReply {
	now := time.Now()
	if err := claim.CheckKey(r.GetKey(), now, claim.OldestKeyTime(now, h.keyWindowSeconds())); err != nil {
		return refuseKey(err)
	}
	return nil
}

// HandleClaim binds the key of r at this entry host, which acquires the lease of the
// partition unless it has to leave it to another entry host for now. It returns an
// error only if ctx is done.
func (h *Holder) HandleClaim(ctx context.Context, r *message.ClaimRequest) (*message.ClaimReply, error) {
	h.once.Do(h.prepare)
	if refusal := h.check(r); refusal != nil {
		return refusal, nil
	}
	if want := claim.PartitionOf(r.GetKey(), h.partitionCount()); want != r.GetPartition() {
		return refuse(CodePartitionMismatch, "entry hosts have different numbers of partitions", time.Time{}), nil
	}
	p := h.partitions[r.GetPartition()]
	if reply := p.replyWithoutAppend(r); reply != nil {
		return reply, nil
	}
	wait, cancel := withDeadline(ctx, r.GetDeadlineUnixNanos())
	defer cancel()
	w := &waiter{ctx: wait, request: r, reply: make(chan *message.ClaimReply, 1)}
	if refusal := p.enqueue(w); refusal != nil {
		return refusal, nil
	}
	timer := time.NewTimer(claimTimeoutMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case reply := <-w.reply:
		return reply, nil
	case <-timer.C:
		return refuse(CodeClaimUnknown, "log gave no answer in time", time.Now().Add(retryAfterMillis*time.Millisecond)), nil
	case <-wait.Done():
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "wait for batch")
		}
		return refuse(CodeClaimUnknown, "deadline of the request passed", time.Time{}), nil
	}
}

// withDeadline returns ctx with a deadline in nanoseconds since the Unix epoch.
// Zero means no deadline.
func withDeadline(ctx context.Context, nanos int64) (context.Context, context.CancelFunc) {
	if nanos == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, time.Unix(0, nanos))
}

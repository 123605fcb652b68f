package leaseholder

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Code is the result of a claim. With any code but CodeBound, no permit was issued
// to the requester, so its submission has not run. A retry with the same key is
// always safe.
type Code uint32

const (
	// CodeBound means that the reply's permit is the binding of the key.
	CodeBound Code = iota
	// CodeLogUnavailable means that the claim was not appended to the log.
	CodeLogUnavailable
	// CodeClaimUnknown means that the claim may or may not have been appended.
	// The key may be bound to the requester's request.
	CodeClaimUnknown
	// CodeKeyExpired means that the key is older than the key window. Whether it
	// was used before can no longer be determined.
	CodeKeyExpired
	// CodeKeyFuture means that the key's time is too far ahead of the clock.
	CodeKeyFuture
	// CodeKeyMalformed means that the key is not an identity from claim.KeyOf.
	CodeKeyMalformed
	// CodeNotHolder means that another entry host holds the partition. The reply
	// has its address.
	CodeNotHolder
	// CodeHolderUnreachable means that the holder did not respond, or that no
	// entry host took the claim.
	CodeHolderUnreachable
	// CodeBusy means that too many claims are queued.
	CodeBusy
	// CodePartitionMismatch means that two entry hosts are configured with
	// different numbers of partitions.
	CodePartitionMismatch
	// CodeStopping means that the entry host is shutting down.
	CodeStopping
)

// String returns the code as text.
func (c Code) String() string {
	names := [...]string{
		"bound",
		"log unavailable",
		"claim unknown",
		"key expired",
		"key from the future",
		"key malformed",
		"not the holder",
		"holder unreachable",
		"busy",
		"partition mismatch",
		"stopping",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("code %d", uint32(c))
}

// refuse returns a reply without a permit. A zero retryAt means that a retry is of
// no use.
func refuse(code Code, reason string, retryAt time.Time) *message.ClaimReply {
	r := &message.ClaimReply{Code: uint32(code), Reason: reason}
	if !retryAt.IsZero() {
		r.RetryAtUnixNanos = retryAt.UnixNano()
	}
	return r
}

// notHolderReply returns a refusal that refers the requester to the holder at the
// address.
func notHolderReply(address string, retryAt time.Time) *message.ClaimReply {
	r := refuse(CodeNotHolder, "another entry host holds the partition", retryAt)
	r.Holder = address
	return r
}

// boundReply returns a reply with the permit for a binding.
func boundReply(b claim.Binding) *message.ClaimReply {
	return &message.ClaimReply{Permit: &message.Permit{
		Key:         b.Key,
		Partition:   b.Partition,
		Offset:      b.Offset,
		Incarnation: b.Incarnation,
		Backend:     b.Backend,
		RequestId:   b.RequestID,
	}}
}

// refuseKey returns the refusal for an error of claim.CheckKey.
func refuseKey(err error) *message.ClaimReply {
	switch {
	case errors.Is(err, claim.ErrKeyExpired):
		return refuse(CodeKeyExpired, err.Error(), time.Time{})
	case errors.Is(err, claim.ErrKeyFuture):
		return refuse(CodeKeyFuture, err.Error(), time.Time{})
	default:
		return refuse(CodeKeyMalformed, err.Error(), time.Time{})
	}
}

func codeOf(r *message.ClaimReply) Code { return Code(r.GetCode()) }

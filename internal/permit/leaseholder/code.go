package leaseholder

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Code is the result of a claim. With any code but CodeBound no permit was
// issued to the asker, so the asker's submission has not run. Coming back with
// the same key is always safe.
type Code uint32

const (
	// CodeBound says that the permit is the key's binding.
	CodeBound Code = iota
	// CodeLogUnavailable says that the log did not take the claim.
	CodeLogUnavailable
	// CodeClaimUnknown says that the claim may or may not have been recorded.
	// The key may be bound to the asker's request.
	CodeClaimUnknown
	// CodeKeyExpired says that the key is older than the key window. Whether it
	// was used before is not known any more.
	CodeKeyExpired
	// CodeKeyFuture says that the key's time is ahead of the clock.
	CodeKeyFuture
	// CodeKeyMalformed says that the key is no identity from claim.KeyOf.
	CodeKeyMalformed
	// CodeNotHolder says that the asked entry host does not hold the partition.
	CodeNotHolder
	// CodeHolderUnreachable says that no entry host could hold the partition.
	CodeHolderUnreachable
	// CodeBusy says that too many claims wait.
	CodeBusy
	// CodePartitionMismatch says that two entry hosts have different numbers of
	// partitions.
	CodePartitionMismatch
	// CodeStopping says that the asked entry host is stopping.
	CodeStopping
)

// String returns the code in words.
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

// refuse returns a reply without a permit. A zero retryAt means that coming
// back is of no use.
func refuse(code Code, reason string, retryAt time.Time) *message.ClaimReply {
	r := &message.ClaimReply{Code: uint32(code), Reason: reason}
	if !retryAt.IsZero() {
		r.RetryAtUnixNanos = retryAt.UnixNano()
	}
	return r
}

// notHolderReply names the address of the holder.
func notHolderReply(address string, retryAt time.Time) *message.ClaimReply {
	r := refuse(CodeNotHolder, "another entry host holds the partition", retryAt)
	r.Holder = address
	return r
}

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

// refuseKey returns the reply for a fault that claim.CheckKey found.
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

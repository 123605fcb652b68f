// Package leaseholder binds idempotency keys to requests, so that at most one request
// with the same key runs. Each partition of the keys has a stream in the platform's
// log. The entry host whose lease record is the last one in the stream holds the
// partition: it appends claims in batches, and issues permits only for bindings that
// it has read back from the log. A permit is a copy of a binding. The process beside a
// backend server runs a non-idempotent request only with a permit that names the
// request and the incarnation of that process, which is one run of the process.
//
// Each entry host runs one Holder. Its method Claim binds a key, at this entry host or
// at the one that holds the partition; HandleClaim serves the claims that other entry
// hosts forward. Package claim defines the records and which of them take effect.
package leaseholder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// DefaultBatchMillis is the mean time between two batches of a busy
	// partition.
	DefaultBatchMillis = 200
	// DefaultKeyWindowSeconds is the default age up to which a key may be used.
	DefaultKeyWindowSeconds = 3600

	// claimTimeoutMillis limits how long a claim waits for its batch.
	claimTimeoutMillis = 3000
	// peerTimeoutMillis limits one call to another entry host. It is longer than
	// claimTimeoutMillis, so that the holder's reply still arrives.
	peerTimeoutMillis = claimTimeoutMillis + 500
	// logTimeoutMillis limits one call to the log.
	logTimeoutMillis = 2000
)

// Host is a live entry host.
type Host struct {
	// Name is unique among entry hosts.
	Name string
	// Address is the address at which it serves the calls of Client.
	Address string
}

// Client is a client of another entry host.
type Client interface {
	// Claim requests that the host bind a key.
	Claim(ctx context.Context, r *message.ClaimRequest) (*message.ClaimReply, error)
}

// Holder holds partitions, and forwards claims of other partitions to their
// holders. Its exported fields must be set before Run is called.
type Holder struct {
	// Log is the platform's log.
	Log journal.Log
	// Name is the name of this entry host.
	Name string
	// Address is the address at which other entry hosts reach this one.
	Address string
	// Partitions is the number of partitions. It must be the same on all entry
	// hosts. Zero means claim.DefaultPartitions.
	Partitions int
	// BatchMillis is the mean time between two batches of a busy partition, in
	// milliseconds. Zero means DefaultBatchMillis. Up to batchBurst batches may be
	// appended ahead of that rate, so that claims of an idle partition are not
	// delayed.
	BatchMillis int
	// KeyWindowSeconds is the age up to which a key may be used. Zero means
	// DefaultKeyWindowSeconds. The log must retain records for longer, see
	// claim.Horizon.
	KeyWindowSeconds int
	// Hosts returns the live entry hosts, including this one.
	Hosts func() []Host
	// Dial returns a client of the entry host at the address.
	Dial func(ctx context.Context, address string) (Client, error)
	// Logger receives the log messages. Nil means slog.Default.
	Logger *slog.Logger

	once        sync.Once
	partitions  []*partition
	holderCache holderCache
	// newState returns the empty state of a partition. Tests replace it; nil
	// means claim.NewState.
	newState func(partition uint32, from uint64) state
}

// Run serves the partitions until ctx is canceled.
func (h *Holder) Run(ctx context.Context) error {
	h.once.Do(h.prepare)
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range h.partitions {
		group.Go(func() error { return p.run(ctx) })
	}
	return errors.Wrap(group.Wait(), "serve partitions")
}

func (h *Holder) prepare() {
	for n := range h.partitionCount() {
		h.partitions = append(h.partitions, newPartition(h, uint32(n)))
	}
}

func (h *Holder) partitionCount() int {
	if h.Partitions > 0 {
		return h.Partitions
	}
	return claim.DefaultPartitions
}

func (h *Holder) keyWindowSeconds() int {
	if h.KeyWindowSeconds > 0 {
		return h.KeyWindowSeconds
	}
	return DefaultKeyWindowSeconds
}

// batchDelay returns the mean time between two batches of a busy partition.
func (h *Holder) batchDelay() time.Duration {
	millis := h.BatchMillis
	if millis <= 0 {
		millis = DefaultBatchMillis
	}
	return time.Duration(millis) * time.Millisecond
}

func (h *Holder) logger() *slog.Logger {
	if h.Logger != nil {
		return h.Logger
	}
	return slog.Default()
}

// makeState returns an empty state to which the records from the given offset on
// are applied.
func (h *Holder) makeState(partition uint32, from uint64) state {
	if h.newState != nil {
		return h.newState(partition, from)
	}
	return claim.NewState(partition, h.keyWindowSeconds(), from)
}

// state is the result of applying a partition's stream, see claim.State.
type state interface {
	Apply(offset uint64, appendedAt time.Time, r claim.Record) claim.Verdict
	Lookup(key string) (claim.Binding, bool)
	Lease() (claim.Lease, time.Time)
	Next() uint64
	Latest() time.Time
	Len() int
}

// Package leaseholder binds idempotency keys on behalf of entry hosts. Each
// partition of the keys is a stream of the log; the entry host whose lease
// record is the last one in the stream holds the partition, appends claims in
// batches and issues permits for what it has read back.
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
	// DefaultKeyWindowSeconds is how long a key may be used.
	DefaultKeyWindowSeconds = 3600

	// claimTimeoutMillis bounds the wait for a batch.
	claimTimeoutMillis = 3000
	// peerTimeoutMillis bounds one call to another entry host.
	peerTimeoutMillis = claimTimeoutMillis + 500
	// logTimeoutMillis bounds one call to the log.
	logTimeoutMillis = 2000
)

// Host is a live entry host.
type Host struct {
	// Name is unique among entry hosts.
	Name string
	// Address is where its Entry service is reached.
	Address string
}

// Client reaches another entry host.
type Client interface {
	// Claim asks that host to bind a key.
	Claim(ctx context.Context, r *message.ClaimRequest) (*message.ClaimReply, error)
}

// Holder holds partitions and finds the holders of others. The exported fields
// are set before Run.
type Holder struct {
	// Log is the platform's log.
	Log journal.Log
	// Name is this entry host's.
	Name string
	// Address is where other entry hosts reach this one.
	Address string
	// Partitions must be the same on all entry hosts; 0 means
	// claim.DefaultPartitions.
	Partitions int
	// BatchMillis is the mean time between two batches of a busy partition, in
	// milliseconds; 0 means DefaultBatchMillis. A few batches may go ahead of
	// it, so that an idle partition adds no delay.
	BatchMillis int
	// KeyWindowSeconds is how long a key may be used; 0 means
	// DefaultKeyWindowSeconds. The log must retain records for longer, see
	// claim.Horizon.
	KeyWindowSeconds int
	// Hosts returns the live entry hosts, this one among them.
	Hosts func() []Host
	// Dial returns a client of the entry host at the address.
	Dial func(ctx context.Context, address string) (Client, error)
	// Logger takes the log; nil means slog.Default.
	Logger *slog.Logger

	once        sync.Once
	partitions  []*partition
	holderCache holderCache
	// newState makes the fold of a partition; nil means claim.NewState.
	newState func(partition uint32, from uint64) state
}

// Run serves the partitions until ctx ends.
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

func (h *Holder) makeState(partition uint32, from uint64) state {
	if h.newState != nil {
		return h.newState(partition, from)
	}
	return claim.NewState(partition, h.keyWindowSeconds(), from)
}

// state is the fold of a partition's stream, see claim.State.
type state interface {
	Apply(offset uint64, appendedAt time.Time, r claim.Record) claim.Verdict
	Lookup(key string) (claim.Binding, bool)
	Lease() (claim.Lease, time.Time)
	Next() uint64
	Latest() time.Time
	Len() int
}

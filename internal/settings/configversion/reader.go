package configversion

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
)

const (
	// FleetReadsPerSecond is the load that all processes together put on the
	// log, in reads a second.
	FleetReadsPerSecond = 4
	// MinPollMillis is the shortest pause between two reads of one process.
	MinPollMillis = 500
	// DefaultRepublishSeconds is the age of a snapshot at which holders publish
	// another one. It must be well under half of the log's retention.
	DefaultRepublishSeconds = 600

	// readTimeoutMillis limits one poll.
	readTimeoutMillis = 5000
)

// Reader polls the log now and then and puts what it accepts in force. It also
// publishes the snapshots that keep the version in force from expiring.
type Reader struct {
	// Journal holds the stream.
	Journal journal.Log
	// Register takes the accepted configurations.
	Register *Register
	// FleetSize returns the number of processes that read the log, this one
	// included.
	FleetSize func() int
	// RepublishSeconds is the age of a snapshot at which another one is
	// published. Zero means DefaultRepublishSeconds.
	RepublishSeconds int
	// Random returns a number from [0, 1). Nil means math/rand.
	Random func() float64
	// Log writes what operators need to see. Nil writes nothing.
	Log *slog.Logger

	// failing is set while polls fail, so that only changes are logged.
	failing bool
	// schedule belongs to the goroutine of Run.
	schedule snapshotSchedule
}

// Run polls until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	nextPollAt := time.Now().Add(time.Duration(r.random() * float64(r.pollPeriod())))
	for sleepUntil(ctx, nextPollAt) {
		nextPollAt = time.Now().Add(jittered(r.pollPeriod(), r.random()))
		r.logOutcome(r.Poll(ctx))
	}
	return nil
}

// Poll reads the stream once up to its end, and publishes a snapshot when one
// is due.
func (r *Reader) Poll(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readTimeoutMillis*time.Millisecond))
	defer cancel()
	c := cursor{log: r.Journal, state: r.Register.State(), observe: r.logVerdict}
	err := c.advance(ctx)
	if _, offerErr := r.Register.Offer(c.state); offerErr != nil {
		return offerErr
	}
	if err != nil {
		return err
	}
	return r.publishSnapshotIfDue(ctx, c.state)
}

// pollPeriod grows with the fleet, so that the load on the log stays bounded.
func (r *Reader) pollPeriod() time.Duration {
	period := time.Duration(r.FleetSize()) * time.Second / FleetReadsPerSecond
	return max(period, MinPollMillis*time.Millisecond)
}

func (r *Reader) random() float64 {
	if r.Random == nil {
		return rand.Float64()
	}
	return r.Random()
}

func (r *Reader) logger() *slog.Logger {
	return logging.For(r.Log, logging.Edition)
}

func (r *Reader) logOutcome(err error) {
	switch {
	case err == nil && r.failing:
		r.logger().Info("log is read again")
	case err != nil && !r.failing:
		r.logger().Warn("log is not read", "Error", err)
	}
	r.failing = err != nil
}

// logVerdict logs what operators need to see.
func (r *Reader) logVerdict(record journal.Record, v Verdict) {
	switch v := v.(type) {
	case Accepted:
		r.logger().Info("record is accepted", "Offset", record.Offset, "Version", v.Version)
	case Conflicting, Void:
		r.logger().Warn("record has no effect", "Offset", record.Offset, "Verdict", v.String())
	case Repeated, Undecided:
	}
}

// jittered returns a period between half and one and a half of the given one.
func jittered(period time.Duration, random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(period))
}

// sleepUntil waits for a point in time. It reports false when ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// publishSnapshot appends a snapshot of the state. A lost answer does no harm,
// because snapshots are idempotent.
func publishSnapshot(ctx context.Context, log journal.Log, state State) error {
	data, err := Encode(state.Snapshot())
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, Stream, data)
	return errors.Wrap(err, "append configuration snapshot")
}

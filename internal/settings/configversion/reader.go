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
	// FleetReadsPerSecond is the total rate at which all processes together read
	// the log, in reads per second.
	FleetReadsPerSecond = 4
	// MinPollMillis is the shortest pause between two reads of one process.
	MinPollMillis = 500
	// DefaultRepublishSeconds is the default of Reader.RepublishSeconds. It must
	// be well below half of the log's retention time, because up to two such
	// periods pass between two snapshots.
	DefaultRepublishSeconds = 600

	// readTimeoutMillis is the time limit of one poll.
	readTimeoutMillis = 5000
)

// Reader polls the log at random intervals and puts the accepted configurations in
// force. It also publishes snapshots, so that the version in force does not expire
// from the log.
type Reader struct {
	// Journal is the log that holds the stream.
	Journal journal.Log
	// Register receives the accepted configurations.
	Register *Register
	// FleetSize returns the number of processes that read the log, including this
	// one.
	FleetSize func() int
	// RepublishSeconds is the age of the latest snapshot, in seconds, from which
	// on readers publish another one; see snapshotSchedule. Zero means
	// DefaultRepublishSeconds.
	RepublishSeconds int
	// Random returns a random number from [0, 1). Nil means math/rand.
	Random func() float64
	// Log receives messages for operators. Nil discards them.
	Log *slog.Logger

	// failing is set while polls fail, so that only the first failure and the
	// recovery are logged.
	failing bool
	// schedule is used only by the goroutine of Run.
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

// Poll reads the stream up to its end, puts the result in force, and publishes a
// snapshot when one is due.
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

// pollPeriod returns the mean pause between polls. It grows with the number of readers,
// so that the load on the log stays bounded.
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

// logOutcome logs the first failed poll, and the first successful one after a failure.
func (r *Reader) logOutcome(err error) {
	switch {
	case err == nil && r.failing:
		r.logger().Info("reading the log succeeded again")
	case err != nil && !r.failing:
		r.logger().Warn("reading the log failed", "Error", err)
	}
	r.failing = err != nil
}

// logVerdict logs the verdict on a record that was accepted, or that is invalid or in
// conflict. Poll reports an undecided record by its error.
func (r *Reader) logVerdict(record journal.Record, v Verdict) {
	switch v := v.(type) {
	case Accepted:
		r.logger().Info("configuration record was accepted", "Offset", record.Offset, "Version", v.Version)
	case Conflicting, Void:
		r.logger().Warn("configuration record has no effect", "Offset", record.Offset, "Verdict", v.String())
	case Repeated, Undecided:
	}
}

// jittered scales a period by a factor from 0.5 to 1.5. The argument random is from
// [0, 1).
func jittered(period time.Duration, random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(period))
}

// sleepUntil waits until the given time. It returns false when ctx ended first.
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

// publishSnapshot appends a snapshot of the state. It may safely be retried after a
// lost answer, because snapshots are idempotent.
func publishSnapshot(ctx context.Context, log journal.Log, state State) error {
	data, err := Encode(state.Snapshot())
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, Stream, data)
	return errors.Wrap(err, "append configuration snapshot")
}

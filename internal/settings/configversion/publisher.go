package configversion

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// errHistoryExpired means that the record of a change may have expired before it was
// read back.
var errHistoryExpired = errors.New("history has expired since the change was published")

const (
	// retryMinMillis is the pause before the first retry.
	retryMinMillis = 100
	// retryMaxMillis is the maximum pause between retries.
	retryMaxMillis = 2000
)

// Publisher applies operator files: it appends a proposal to the stream and reads back
// whether the proposal was accepted.
type Publisher struct {
	// Journal is the log that holds the stream.
	Journal journal.Log
	// Seed is the state from which the fold starts. It is a state that was fetched
	// from a peer when the history of the stream has expired, else the zero value.
	Seed State

	// apply replaces State.Apply in tests.
	apply applyFunc
}

// Change is an operator file to apply.
type Change struct {
	// ID identifies the change. A change with the ID of an earlier attempt whose
	// outcome is unknown continues that attempt. Empty means a new ID.
	ID string
	// Author is the operator who applies the file.
	Author string
	// Replaces is the version that must be in force. It is ignored when
	// ReplacesCurrent is set.
	Replaces uint64
	// ReplacesCurrent replaces whatever version is in force.
	ReplacesCurrent bool
	// Text is the operator file as JSON.
	Text []byte
}

// Publish applies an operator file and returns the accepted configuration. It fails with
// an *operatorfile.Faults when the file is invalid, with a *ConflictError when another
// change was accepted first, and with an *UnknownOutcomeError when ctx ended before the
// outcome was known. After any other error the file was not applied.
func (p *Publisher) Publish(ctx context.Context, change Change) (Configuration, error) {
	if _, err := operatorfile.Parse(change.Text); err != nil {
		return Configuration{}, err
	}
	if change.ID != "" && change.ReplacesCurrent {
		return Configuration{}, errors.New("a change with an ID must name the version that it replaces")
	}
	run := &publication{
		id:       change.ID,
		cursor:   cursor{log: p.Journal, state: p.Seed, apply: p.apply, fullHistory: change.ID != ""},
		appended: change.ID != "",
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
		run.id = change.ID
	}
	run.cursor.observe = run.observe
	if _, err := retry(ctx, func() (struct{}, error) { return run.read(ctx) }); err != nil {
		return Configuration{}, errors.Wrap(err, "read the version in force")
	}
	if change.ReplacesCurrent {
		change.Replaces = run.cursor.state.Configuration.Version
	}
	return run.publish(ctx, change)
}

// publication is one call of Publish or Restart.
type publication struct {
	id     string
	cursor cursor
	// verdict is the verdict on the first record of the change. It is nil until
	// that record was read.
	verdict Verdict
	// accepted is the configuration of the change. It is set when the verdict is
	// Accepted.
	accepted Configuration
	// appended is set once an append of the change may have taken effect.
	appended bool
}

// publish appends the proposal of the change, and retries until its outcome is known.
func (p *publication) publish(ctx context.Context, change Change) (Configuration, error) {
	data, err := Encode(Proposal{
		ID:       change.ID,
		Author:   change.Author,
		Replaces: change.Replaces,
		Version:  change.Replaces + 1,
		Document: change.Text,
	})
	if err != nil {
		return Configuration{}, err
	}
	configuration, err := retry(ctx, func() (Configuration, error) {
		return p.attempt(ctx, change, data)
	})
	if err == nil || p.decided(err) || !p.appended {
		return configuration, err
	}
	return Configuration{}, &UnknownOutcomeError{ID: change.ID, Cause: err}
}

// decided reports whether the outcome of the change is known after an error.
func (p *publication) decided(err error) bool {
	var conflict *ConflictError
	return p.verdict != nil || errors.As(err, &conflict)
}

// attempt appends the proposal and reads the stream back. It reads the stream before
// each append, so that a change is not appended again after a lost answer.
func (p *publication) attempt(ctx context.Context, change Change, data []byte) (Configuration, error) {
	if _, err := p.read(ctx); err != nil {
		return Configuration{}, err
	}
	if p.verdict != nil || p.cursor.state.Configuration.ID == p.id {
		return p.outcome()
	}
	if p.cursor.state.Configuration.Version != change.Replaces {
		return Configuration{}, backoff.Permanent(p.supersededError(change))
	}
	if err := p.append(ctx, data); err != nil {
		return Configuration{}, err
	}
	if _, err := p.read(ctx); err != nil {
		return Configuration{}, err
	}
	if p.verdict == nil {
		return Configuration{}, errors.New("appended record is not yet visible in the log")
	}
	return p.outcome()
}

// supersededError returns the error for a change that can no longer be accepted. When
// history has expired, an earlier append of the change may have been accepted, so that
// the error is not a conflict.
func (p *publication) supersededError(change Change) error {
	if p.appended && p.cursor.skippedRecords {
		return errHistoryExpired
	}
	current := p.cursor.state.Configuration
	return &ConflictError{
		Replaces: change.Replaces,
		InForce:  current.Version,
		Winner:   current.ID,
		Author:   current.Author,
	}
}

// append appends the record. A lost answer is not an error, because the stream is read
// back afterwards.
func (p *publication) append(ctx context.Context, data []byte) error {
	_, err := p.cursor.log.Append(ctx, Stream, data)
	switch {
	case errors.Is(err, journal.ErrThrottled):
		return err
	case errors.Is(err, journal.ErrRefused):
		return backoff.Permanent(err)
	}
	p.appended = true
	return nil
}

// read folds the stream up to its end. Errors that no retry can resolve are permanent.
func (p *publication) read(ctx context.Context) (struct{}, error) {
	err := p.cursor.advance(ctx)
	if errors.Is(err, ErrNewerFormat) || errors.Is(err, ErrUnanchored) || errors.Is(err, ErrDiverged) {
		return struct{}{}, backoff.Permanent(err)
	}
	return struct{}{}, err
}

// observe stores the verdict on the first record of the change.
func (p *publication) observe(record journal.Record, v Verdict) {
	if p.verdict != nil {
		return
	}
	entry, err := Decode(record.Data)
	if err != nil {
		return
	}
	proposal, ok := entry.(Proposal)
	if !ok || proposal.ID != p.id {
		return
	}
	p.verdict = v
	if _, ok := v.(Accepted); ok {
		p.accepted = p.cursor.state.Configuration
	}
}

// outcome returns the result of the change. Without a verdict, the change was already in
// force in the state from which the fold started.
func (p *publication) outcome() (Configuration, error) {
	switch v := p.verdict.(type) {
	case Accepted:
		return p.accepted, nil
	case Repeated, nil:
		return p.cursor.state.Configuration, nil
	case Conflicting:
		return Configuration{}, backoff.Permanent(&ConflictError{
			Replaces: v.Replaces,
			InForce:  v.InForce,
			Winner:   v.Winner,
			Author:   v.Author,
		})
	default:
		return Configuration{}, backoff.Permanent(errors.Newf("record of change %s has no effect: %s", p.id, v))
	}
}

// retry calls an operation until it succeeds, returns a permanent error, or ctx ends. It
// returns the last error of the operation.
func retry[T any](ctx context.Context, operation backoff.Operation[T]) (T, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryMinMillis * time.Millisecond
	delays.MaxInterval = retryMaxMillis * time.Millisecond
	var last error
	recorded := func() (T, error) {
		result, err := operation()
		last = err
		return result, err
	}
	result, err := backoff.Retry(ctx, recorded, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return result, errors.Wrap(last, "retries stopped by the context")
	}
	return result, err
}

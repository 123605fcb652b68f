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

// errHistoryExpired says that the record of a change may have expired unread.
var errHistoryExpired = errors.New("history has expired since the change was published")

const (
	retryMinMillis = 100
	retryMaxMillis = 2000
)

// Publisher applies operator files: it appends a proposal and finds out whether
// it won.
type Publisher struct {
	// Journal holds the stream.
	Journal journal.Log
	// Seed is a state learnt from a peer, for a stream that has lost its history.
	// The zero value is right otherwise.
	Seed State

	// apply replaces the fold in tests.
	apply applyFunc
}

// Change is one operator file to apply.
type Change struct {
	// ID names the change. Publishing it again continues an earlier try, the
	// outcome of which is unknown. Empty means a new ID.
	ID string
	// Author is who applies the file.
	Author string
	// Replaces is the version that must be in force. It is not used with
	// ReplacesCurrent.
	Replaces uint64
	// ReplacesCurrent replaces the version that the log holds now.
	ReplacesCurrent bool
	// Text is the operator file.
	Text []byte
}

// Publish applies a file. It returns the accepted configuration, a
// *operatorfile.Faults for an invalid file, a *ConflictError when another
// change came first, or an *UnknownOutcomeError when ctx ended before the
// outcome was known. With any other error the file was not applied.
func (p *Publisher) Publish(ctx context.Context, change Change) (Configuration, error) {
	if _, err := operatorfile.Parse(change.Text); err != nil {
		return Configuration{}, err
	}
	if change.ID != "" && change.ReplacesCurrent {
		return Configuration{}, errors.New("a change that is continued must name the version that it replaces")
	}
	u := &publication{
		id:       change.ID,
		cursor:   cursor{log: p.Journal, state: p.Seed, apply: p.apply, fullHistory: change.ID != ""},
		appended: change.ID != "",
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
		u.id = change.ID
	}
	u.cursor.observe = u.observe
	if _, err := retry(ctx, func() (struct{}, error) { return u.read(ctx) }); err != nil {
		return Configuration{}, errors.Wrap(err, "read the version in force")
	}
	if change.ReplacesCurrent {
		change.Replaces = u.cursor.state.Configuration.Version
	}
	return u.publish(ctx, change)
}

// publication is one run of Publish.
type publication struct {
	id     string
	cursor cursor
	// verdict is of the first record that holds the change. It is nil until
	// that record was read.
	verdict Verdict
	// accepted is set when the verdict is Accepted.
	accepted Configuration
	// appended is set when an append may have taken effect.
	appended bool
}

func (u *publication) publish(ctx context.Context, change Change) (Configuration, error) {
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
	e, err := retry(ctx, func() (Configuration, error) {
		return u.attempt(ctx, change, data)
	})
	if err == nil || u.decided(err) || !u.appended {
		return e, err
	}
	return Configuration{}, &UnknownOutcomeError{ID: change.ID, Cause: err}
}

// decided reports whether an error tells the outcome of the change.
func (u *publication) decided(err error) bool {
	var conflict *ConflictError
	return u.verdict != nil || errors.As(err, &conflict)
}

// attempt appends the proposal and reads the stream back. It reads before it
// appends again, so that a change whose answer was lost is not doubled.
func (u *publication) attempt(ctx context.Context, change Change, data []byte) (Configuration, error) {
	if _, err := u.read(ctx); err != nil {
		return Configuration{}, err
	}
	if u.verdict != nil || u.cursor.state.Configuration.ID == u.id {
		return u.outcome()
	}
	if u.cursor.state.Configuration.Version != change.Replaces {
		return Configuration{}, backoff.Permanent(u.supersededError(change))
	}
	if err := u.append(ctx, data); err != nil {
		return Configuration{}, err
	}
	if _, err := u.read(ctx); err != nil {
		return Configuration{}, err
	}
	if u.verdict == nil {
		return Configuration{}, errors.New("the log does not show the record yet")
	}
	return u.outcome()
}

// supersededError returns the error for a change that cannot win any longer. When
// history has expired, an earlier append of it may have won.
func (u *publication) supersededError(change Change) error {
	if u.appended && u.cursor.skippedRecords {
		return errHistoryExpired
	}
	current := u.cursor.state.Configuration
	return &ConflictError{
		Replaces: change.Replaces,
		InForce:  current.Version,
		Winner:   current.ID,
		Author:   current.Author,
	}
}

// append adds the record. An answer that was lost is no error, because the
// read-back tells.
func (u *publication) append(ctx context.Context, data []byte) error {
	_, err := u.cursor.log.Append(ctx, Stream, data)
	switch {
	case errors.Is(err, journal.ErrThrottled):
		return err
	case errors.Is(err, journal.ErrRefused):
		return backoff.Permanent(err)
	}
	u.appended = true
	return nil
}

func (u *publication) read(ctx context.Context) (struct{}, error) {
	err := u.cursor.advance(ctx)
	if errors.Is(err, ErrNewerFormat) || errors.Is(err, ErrUnanchored) || errors.Is(err, ErrDiverged) {
		return struct{}{}, backoff.Permanent(err)
	}
	return struct{}{}, err
}

// observe notes the verdict on the first record that holds the change.
func (u *publication) observe(record journal.Record, v Verdict) {
	if u.verdict != nil {
		return
	}
	entry, err := Decode(record.Data)
	if err != nil {
		return
	}
	proposal, ok := entry.(Proposal)
	if !ok || proposal.ID != u.id {
		return
	}
	u.verdict = v
	if _, ok := v.(Accepted); ok {
		u.accepted = u.cursor.state.Configuration
	}
}

// outcome maps the verdict to a result. Without one, the change is in force in
// the state that the publication started from.
func (u *publication) outcome() (Configuration, error) {
	switch v := u.verdict.(type) {
	case Accepted:
		return u.accepted, nil
	case Repeated, nil:
		return u.cursor.state.Configuration, nil
	case Conflicting:
		return Configuration{}, backoff.Permanent(&ConflictError{
			Replaces: v.Replaces,
			InForce:  v.InForce,
			Winner:   v.Winner,
			Author:   v.Author,
		})
	default:
		return Configuration{}, backoff.Permanent(errors.Newf("record is %s", v))
	}
}

// retry runs an operation until it succeeds, fails for good, or ctx ends. It
// returns the last failure.
func retry[T any](ctx context.Context, operation backoff.Operation[T]) (T, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryMinMillis * time.Millisecond
	delays.MaxInterval = retryMaxMillis * time.Millisecond
	var last error
	noting := func() (T, error) {
		result, err := operation()
		last = err
		return result, err
	}
	result, err := backoff.Retry(ctx, noting, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return result, errors.Wrap(last, "given up")
	}
	return result, err
}

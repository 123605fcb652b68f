package configversion

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Restart puts a file in force on a stream whose history has expired and for
// which no process holds a state, such as after a fleet was off for longer than
// the log retains. The version must be higher than any that was ever in force.
// It returns a *ConflictError when the stream has a version in force, or when
// another restart came first.
func (p *Publisher) Restart(ctx context.Context, change Change, version uint64) (Configuration, error) {
	if _, err := operatorfile.Parse(change.Text); err != nil {
		return Configuration{}, err
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	u := &publication{id: change.ID}
	e, err := retry(ctx, func() (Configuration, error) {
		u.cursor = cursor{log: p.Journal}
		return u.restart(ctx, change, version)
	})
	if err == nil || u.decided(err) || !u.appended {
		return e, err
	}
	return Configuration{}, &UnknownOutcomeError{ID: change.ID, Cause: err}
}

// restart reads the stream, and appends a restart when there is nothing to start
// from. It reads before it appends again.
func (u *publication) restart(ctx context.Context, change Change, version uint64) (Configuration, error) {
	e, err := u.restartOutcome(ctx, version)
	if !errors.Is(err, ErrUnanchored) {
		return e, err
	}
	page, err := u.cursor.log.Read(ctx, Stream, 1, 1)
	if err != nil {
		return Configuration{}, errors.Wrap(err, "read the end of the configuration stream")
	}
	data, err := Encode(Restart{
		ID:       change.ID,
		Author:   change.Author,
		Version:  version,
		Document: change.Text,
		Through:  page.Next - 1,
	})
	if err != nil {
		return Configuration{}, backoff.Permanent(err)
	}
	if err := u.append(ctx, data); err != nil {
		return Configuration{}, err
	}
	return u.restartOutcome(ctx, version)
}

// restartOutcome returns the configuration in force if it is that of the restart. It
// returns ErrUnanchored when the stream has none.
func (u *publication) restartOutcome(ctx context.Context, version uint64) (Configuration, error) {
	err := u.cursor.advance(ctx)
	if errors.Is(err, ErrNewerFormat) {
		return Configuration{}, backoff.Permanent(err)
	}
	if err != nil {
		return Configuration{}, err
	}
	current := u.cursor.state.Configuration
	if current.ID == u.id {
		return current, nil
	}
	return Configuration{}, backoff.Permanent(&ConflictError{
		Replaces: version - 1,
		InForce:  current.Version,
		Winner:   current.ID,
		Author:   current.Author,
	})
}

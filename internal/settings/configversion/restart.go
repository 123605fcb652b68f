package configversion

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Restart puts an operator file in force on a stream whose history has expired, when no
// process holds a state either; for example after the whole fleet was stopped for longer
// than the retention time of the log. The version must be higher than any version that
// was ever in force. Restart returns a *ConflictError when the stream has a version in
// force, or when another restart was accepted first.
func (p *Publisher) Restart(ctx context.Context, change Change, version uint64) (Configuration, error) {
	if _, err := operatorfile.Parse(change.Text); err != nil {
		return Configuration{}, err
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	run := &publication{id: change.ID}
	configuration, err := retry(ctx, func() (Configuration, error) {
		run.cursor = cursor{log: p.Journal}
		return run.restart(ctx, change, version)
	})
	if err == nil || run.decided(err) || !run.appended {
		return configuration, err
	}
	return Configuration{}, &UnknownOutcomeError{ID: change.ID, Cause: err}
}

// restart reads the stream, and appends a restart when the stream holds no anchor. As it
// reads first, it does not append again after a lost answer.
func (p *publication) restart(ctx context.Context, change Change, version uint64) (Configuration, error) {
	configuration, err := p.restartOutcome(ctx, version)
	if !errors.Is(err, ErrUnanchored) {
		return configuration, err
	}
	page, err := p.cursor.log.Read(ctx, Stream, 1, 1)
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
	if err := p.append(ctx, data); err != nil {
		return Configuration{}, err
	}
	return p.restartOutcome(ctx, version)
}

// restartOutcome returns the configuration in force if it is that of the restart, else a
// *ConflictError. It returns ErrUnanchored when the stream holds no anchor.
func (p *publication) restartOutcome(ctx context.Context, version uint64) (Configuration, error) {
	err := p.cursor.advance(ctx)
	if errors.Is(err, ErrNewerFormat) {
		return Configuration{}, backoff.Permanent(err)
	}
	if err != nil {
		return Configuration{}, err
	}
	current := p.cursor.state.Configuration
	if current.ID == p.id {
		return current, nil
	}
	return Configuration{}, backoff.Permanent(&ConflictError{
		Replaces: version - 1,
		InForce:  current.Version,
		Winner:   current.ID,
		Author:   current.Author,
	})
}

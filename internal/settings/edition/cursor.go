package edition

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

// pageRecords is the number of records that are read at once.
const pageRecords = 64

// ErrUnanchored says that retention dropped records that were not read here,
// and that the stream holds no snapshot to start from.
var ErrUnanchored = errors.New("history has expired and there is no snapshot to start from")

// observer sees each record that a cursor folds, with its verdict.
type observer func(journal.Record, Verdict)

// decider folds one record into a state.
type decider func(State, journal.Record) (State, Verdict)

// cursor folds the stream from a known state on.
type cursor struct {
	log   journal.Log
	state State
	// apply decides one record. Nil means State.Apply.
	apply decider
	// observe may be nil.
	observe observer
	// skipped is set when records were passed over, because they had expired.
	skipped bool
}

// advance folds all records up to the end of the stream. It returns
// ErrNewerFormat when it stopped at a record that this program cannot decide.
func (c *cursor) advance(ctx context.Context) error {
	for {
		page, err := c.log.Read(ctx, Stream, c.state.Through+1, pageRecords)
		if err != nil {
			return errors.Wrap(err, "read configuration stream")
		}
		if page.First > c.state.Through+1 {
			return c.recover(ctx, page.First)
		}
		if err := c.fold(page.Records); err != nil {
			return err
		}
		if len(page.Records) == 0 || c.state.Through+1 >= page.Next {
			return nil
		}
	}
}

// recover starts again from a snapshot, after retention dropped records that
// were not read.
func (c *cursor) recover(ctx context.Context, first uint64) error {
	records, first, err := c.retained(ctx, first)
	if err != nil {
		return err
	}
	anchor, ok := Anchor(records, first)
	if !ok {
		return errors.Wrapf(ErrUnanchored, "read through %d, first retained is %d", c.state.Through, first)
	}
	if anchor.Edition.Version < c.state.Edition.Version {
		return errors.Wrapf(ErrDiverged, "version %d is in force, a later snapshot states %d",
			c.state.Edition.Version, anchor.Edition.Version)
	}
	c.state = anchor
	c.skipped = true
	return c.fold(records)
}

// retained reads all records of the stream. The first offset may rise
// meanwhile.
func (c *cursor) retained(ctx context.Context, first uint64) ([]journal.Record, uint64, error) {
	var records []journal.Record
	position := first
	for {
		page, err := c.log.Read(ctx, Stream, position, pageRecords)
		if err != nil {
			return nil, 0, errors.Wrap(err, "read configuration stream")
		}
		if page.First > position {
			records = nil
			first = page.First
			position = page.First
		}
		records = append(records, page.Records...)
		position += uint64(len(page.Records))
		if len(page.Records) == 0 || position >= page.Next {
			return records, first, nil
		}
	}
}

func (c *cursor) fold(records []journal.Record) error {
	apply := c.apply
	if apply == nil {
		apply = State.Apply
	}
	for _, record := range records {
		if record.Offset <= c.state.Through {
			continue
		}
		next, verdict := apply(c.state, record)
		if undecided, ok := verdict.(Undecided); ok {
			return errors.Wrapf(undecided.Reason, "record %d", record.Offset)
		}
		c.state = next
		if c.observe != nil {
			c.observe(record, verdict)
		}
	}
	return nil
}

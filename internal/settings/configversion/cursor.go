package configversion

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

const (
	// pageRecords is the maximum number of records in one read.
	pageRecords = 64
	// catchUpRecords is the maximum distance from the end of the stream, in
	// records, at which a cursor folds all records. Beyond it, the cursor first
	// searches for a snapshot near the end.
	catchUpRecords = 256
	// tailGrowth is the factor by which the window of the search for a snapshot
	// grows.
	tailGrowth = 4
)

// ErrUnanchored means that retention has dropped records that this process has not
// read, and that the stream holds no snapshot or restart to start from.
var ErrUnanchored = errors.New("history has expired and there is no snapshot to start from")

// observeFunc is called for each record that a cursor folds, with its verdict.
type observeFunc func(journal.Record, Verdict)

// applyFunc folds one record into a state and returns the next state.
type applyFunc func(State, journal.Record) (State, Verdict)

// cursor reads the stream and folds it, beginning at a given state.
type cursor struct {
	log journal.Log
	// state is the state after the last folded record.
	state State
	// apply folds one record. Nil means State.Apply.
	apply applyFunc
	// observe is called for each folded record. It may be nil.
	observe observeFunc
	// fullHistory makes the cursor fold as many of the retained records as
	// possible, instead of starting at a snapshot near the end.
	fullHistory bool
	// skippedRecords is set once the cursor has skipped records without folding
	// them.
	skippedRecords bool
}

// advance folds all records up to the end of the stream. It returns ErrNewerFormat
// when it stopped at a record whose format this program does not support.
func (c *cursor) advance(ctx context.Context) error {
	page, err := c.read(ctx, c.state.Through+1)
	if err != nil {
		return err
	}
	gap := page.First > c.state.Through+1
	far := page.Next > c.state.Through+1+catchUpRecords
	if !c.fullHistory && (gap || far) {
		found, err := c.seekSnapshot(ctx, max(page.First, c.state.Through+1), page.Next)
		if err != nil || found {
			return err
		}
	}
	if gap {
		return c.reanchor(ctx, page.First)
	}
	return c.foldPages(ctx, page)
}

// foldPages folds a page and all later pages.
func (c *cursor) foldPages(ctx context.Context, page journal.Page) error {
	for {
		if err := c.fold(page.Records); err != nil {
			return err
		}
		if len(page.Records) == 0 || c.state.Through+1 >= page.Next {
			return nil
		}
		var err error
		page, err = c.read(ctx, c.state.Through+1)
		if err != nil {
			return err
		}
		if page.First > c.state.Through+1 {
			return c.reanchor(ctx, page.First)
		}
	}
}

// seekSnapshot continues from a snapshot near the end of the stream. It searches
// windows of growing size before next, down to the offset low, and reports whether
// there was one.
func (c *cursor) seekSnapshot(ctx context.Context, low, next uint64) (bool, error) {
	for window := uint64(pageRecords); ; window *= tailGrowth {
		from := low
		if next > low+window {
			from = next - window
		}
		records, from, err := c.retained(ctx, from)
		if err != nil {
			return false, err
		}
		if snapshot, ok := lastSnapshot(records, from); ok {
			return true, c.resumeFrom(snapshot, records)
		}
		if from <= low || window >= next {
			return false, nil
		}
	}
}

// reanchor continues from an anchor among the retained records, after retention has
// dropped records that were not read. The argument first is the offset of the first
// retained record.
func (c *cursor) reanchor(ctx context.Context, first uint64) error {
	records, first, err := c.retained(ctx, first)
	if err != nil {
		return err
	}
	anchor, ok := Anchor(records, first)
	if !ok {
		return errors.Wrapf(ErrUnanchored, "read through %d, first retained is %d", c.state.Through, first)
	}
	if earliest, found := firstSnapshot(records, first); c.fullHistory && found {
		anchor = earliest
	}
	return c.resumeFrom(anchor, records)
}

// resumeFrom continues from the anchor and folds the records after its prefix.
func (c *cursor) resumeFrom(anchor State, records []journal.Record) error {
	if anchor.Configuration.Version < c.state.Configuration.Version {
		return errors.Wrapf(ErrDiverged, "version %d is in force, a later record states %d",
			c.state.Configuration.Version, anchor.Configuration.Version)
	}
	c.state = anchor
	c.skippedRecords = true
	return c.fold(records)
}

// retained reads all records from an offset on. It also returns the offset of the
// first one, which is higher than from when retention drops records meanwhile.
func (c *cursor) retained(ctx context.Context, from uint64) ([]journal.Record, uint64, error) {
	var records []journal.Record
	position := from
	for {
		page, err := c.read(ctx, position)
		if err != nil {
			return nil, 0, err
		}
		if page.First > position {
			records = nil
			from = page.First
			position = page.First
		}
		records = append(records, page.Records...)
		position += uint64(len(page.Records))
		if len(page.Records) == 0 || position >= page.Next {
			return records, from, nil
		}
	}
}

// read reads one page of the stream.
func (c *cursor) read(ctx context.Context, from uint64) (journal.Page, error) {
	page, err := c.log.Read(ctx, Stream, from, pageRecords)
	return page, errors.Wrap(err, "read configuration stream")
}

// fold folds the records that the state does not cover yet.
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

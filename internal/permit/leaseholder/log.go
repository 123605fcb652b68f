package leaseholder

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

const (
	// maxAppends bounds the appends of one record.
	maxAppends = 3
	// appendPauseMillis is the wait before a record is appended again, times the
	// number of tries.
	appendPauseMillis = 50
	// pageRecords bounds the records of one read.
	pageRecords = 1000
	// maxReads bounds the reads that wait for an answered append to show.
	maxReads = 10
	// readPauseMillis is the wait between these reads.
	readPauseMillis = 10
)

// errAppendNotVisible says that an answered append does not show in reads.
var errAppendNotVisible = errors.New("appended record does not show")

// errReadBack marks failures to read back what may have been appended.
var errReadBack = errors.New("append was not read back")

// appendAndReadBack appends data and reads the stream until the record that match knows
// was folded. An append whose answer was lost is looked for before it is
// appended again. Appended twice, lease and batch have no further effect.
func (p *partition) appendAndReadBack(ctx context.Context, data []byte, match func(claim.Record) bool) error {
	var last error
	for try := range maxAppends {
		if !sleepUntil(ctx, time.Now().Add(time.Duration(try)*appendPauseMillis*time.Millisecond)) {
			return errors.Wrap(ctx.Err(), "append")
		}
		offset, err := p.append(ctx, data)
		if err == nil {
			return markReadBack(p.catchUp(ctx, offset+1, nil))
		}
		if errors.Is(err, journal.ErrRefused) {
			return err
		}
		last = lessCertain(last, err)
		if certainlyNotAppended(err) {
			continue
		}
		found := false
		err = p.catchUp(ctx, 0, func(r claim.Record) { found = found || match(r) })
		if err != nil {
			return markReadBack(err)
		}
		if found {
			return nil
		}
	}
	return last
}

// markReadBack marks an error of reading back, if any.
func markReadBack(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "read back"), errReadBack)
}

// lessCertain returns the error that says less about the outcome of the appends.
func lessCertain(last, err error) error {
	if last != nil && certainlyNotAppended(err) {
		return last
	}
	return err
}

func (p *partition) append(ctx context.Context, data []byte) (uint64, error) {
	p.count(func(c *Counts) {
		c.Appends++
		c.AppendedBytes += uint64(len(data))
	})
	ctx, cancel := context.WithTimeout(ctx, logTimeoutMillis*time.Millisecond)
	defer cancel()
	return p.holder.Log.Append(ctx, p.stream, data)
}

func (p *partition) read(ctx context.Context, from uint64, limit int) (journal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeoutMillis*time.Millisecond)
	defer cancel()
	page, err := p.holder.Log.Read(ctx, p.stream, from, limit)
	p.count(func(c *Counts) {
		c.Reads++
		for _, r := range page.Records {
			c.ReadBytes += uint64(len(r.Data))
		}
	})
	return page, err
}

// catchUp folds the stream to its end, and at least to the offset until. It
// shows every record to see, which may be nil.
func (p *partition) catchUp(ctx context.Context, until uint64, see func(claim.Record)) error {
	for waits := 0; ; {
		if err := p.openState(ctx); err != nil {
			return err
		}
		page, err := p.read(ctx, p.next(), pageRecords)
		if err != nil {
			return err
		}
		if page.First > p.next() {
			p.setState(nil) // retention passed the reader
			continue
		}
		p.apply(page.Records, see)
		if p.next() < page.Next {
			continue
		}
		if p.next() >= until {
			return nil
		}
		waits++
		if waits > maxReads {
			return errAppendNotVisible
		}
		if !sleepUntil(ctx, time.Now().Add(readPauseMillis*time.Millisecond)) {
			return errors.Wrap(ctx.Err(), "read on")
		}
	}
}

func (p *partition) apply(records []journal.Record, see func(claim.Record)) {
	for _, r := range records {
		decoded := claim.Decode(r.Data)
		if see != nil {
			see(decoded)
		}
		p.mu.Lock()
		p.state.Apply(r.Offset, r.AppendedAt, decoded)
		p.mu.Unlock()
	}
}

// openState makes the state when there is none. It starts at the oldest record that
// matters to keys within the key window.
func (p *partition) openState(ctx context.Context) error {
	if p.state != nil {
		return nil
	}
	tail, err := p.read(ctx, math.MaxInt64, 1)
	if err != nil {
		return err
	}
	if tail.First >= tail.Next {
		p.setState(p.holder.makeState(p.number, tail.Next))
		return nil
	}
	last, err := p.read(ctx, tail.Next-1, 1)
	if err != nil {
		return err
	}
	if len(last.Records) == 0 {
		p.setState(p.holder.makeState(p.number, last.Next))
		return nil
	}
	horizon := claim.Horizon(last.Records[0].AppendedAt, p.holder.keyWindowSeconds())
	from, err := p.findOffset(ctx, tail.First, tail.Next, horizon)
	if err != nil {
		return err
	}
	p.setState(p.holder.makeState(p.number, from))
	return nil
}

// findOffset returns the first offset in [low, high) that was appended at the
// horizon or later.
func (p *partition) findOffset(ctx context.Context, low, high uint64, horizon time.Time) (uint64, error) {
	for low < high {
		middle := low + (high-low)/2
		page, err := p.read(ctx, middle, 1)
		if err != nil {
			return 0, err
		}
		if len(page.Records) > 0 && page.Records[0].AppendedAt.Before(horizon) {
			low = max(middle, page.Records[0].Offset) + 1
			continue
		}
		high = middle
	}
	return low, nil
}

// next returns the next offset to fold; zero before the stream was read.
func (p *partition) next() uint64 {
	if p.state == nil {
		return 0
	}
	return p.state.Next()
}

func (p *partition) setState(s state) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

// backOffLog keeps claims from the log for a while after a failure. It returns
// when the log is tried again.
func (p *partition) backOffLog(ctx context.Context, err error) time.Time {
	if ctx.Err() != nil {
		return time.Now()
	}
	p.holder.logger().Warn("log gave no answer", "Partition", p.number, "Error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDownUntil = time.Now().Add(p.logBackoff.NextBackOff())
	return p.logDownUntil
}

// resetLogBackoff ends the wait that logDown began.
func (p *partition) resetLogBackoff() {
	p.logBackoff.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDownUntil = time.Time{}
}

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
	// maxAppends limits the attempts to append one record.
	maxAppends = 3
	// appendPauseMillis is the wait before another attempt to append a record,
	// multiplied by the number of attempts made.
	appendPauseMillis = 50
	// pageRecords limits the records of one read.
	pageRecords = 1000
	// maxReads limits the repeated reads that wait for a successful append to
	// become visible.
	maxReads = 10
	// readPauseMillis is the wait between these reads.
	readPauseMillis = 10
)

// errAppendNotVisible means that reads do not return a record whose append
// succeeded.
var errAppendNotVisible = errors.New("appended record is not visible to reads")

// errReadBack marks errors of reading back a record that may have been appended.
var errReadBack = errors.New("append was not read back")

// appendAndReadBack appends a record and reads the stream until the record was
// applied to the state. If the outcome of an append is unknown, it looks in the
// stream for a record for which match returns true, before it appends the record
// again. Appending a lease or batch twice does no harm: the second record has no
// further effect.
func (p *partition) appendAndReadBack(ctx context.Context, data []byte, match func(claim.Record) bool) error {
	var last error
	for attempt := range maxAppends {
		if !sleepUntil(ctx, time.Now().Add(time.Duration(attempt)*appendPauseMillis*time.Millisecond)) {
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

// markReadBack marks an error of reading back with errReadBack. It returns nil for
// nil.
func markReadBack(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "read back"), errReadBack)
}

// lessCertain combines the error of the earlier append attempts, or nil, with that of
// the latest one. If the latest attempt certainly did not append the record, it returns
// the earlier error, since an earlier attempt may have appended it.
func lessCertain(last, err error) error {
	if last != nil && certainlyNotAppended(err) {
		return last
	}
	return err
}

// append appends a record once and returns its offset.
func (p *partition) append(ctx context.Context, data []byte) (uint64, error) {
	p.count(func(c *Counts) {
		c.Appends++
		c.AppendedBytes += uint64(len(data))
	})
	ctx, cancel := context.WithTimeout(ctx, logTimeoutMillis*time.Millisecond)
	defer cancel()
	return p.holder.Log.Append(ctx, p.stream, data)
}

// read reads up to limit records from the given offset on.
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

// catchUp applies the stream up to its end, and at least up to, but not including,
// the offset until. It calls visit, unless nil, with every record.
func (p *partition) catchUp(ctx context.Context, until uint64, visit func(claim.Record)) error {
	for waits := 0; ; {
		if err := p.openState(ctx); err != nil {
			return err
		}
		page, err := p.read(ctx, p.next(), pageRecords)
		if err != nil {
			return err
		}
		if page.First > p.next() {
			// The log no longer retains the next record to apply.
			p.setState(nil)
			continue
		}
		p.apply(page.Records, visit)
		if p.next() < page.Next {
			continue
		}
		if p.next() >= until {
			return nil
		}
		waits++
		if waits > maxReads {
			return errors.Wrapf(errAppendNotVisible, "offset %d after %d reads", until-1, waits)
		}
		if !sleepUntil(ctx, time.Now().Add(readPauseMillis*time.Millisecond)) {
			return errors.Wrap(ctx.Err(), "wait for appended record")
		}
	}
}

// apply applies the records to the state. It calls visit, unless nil, with every
// record.
func (p *partition) apply(records []journal.Record, visit func(claim.Record)) {
	for _, r := range records {
		decoded := claim.Decode(r.Data)
		if visit != nil {
			visit(decoded)
		}
		p.mu.Lock()
		p.state.Apply(r.Offset, r.AppendedAt, decoded)
		p.mu.Unlock()
	}
}

// openState creates the state if there is none. The state starts at the oldest
// record that may affect keys within the key window.
func (p *partition) openState(ctx context.Context) error {
	if p.state != nil {
		return nil
	}
	// A read past the end returns no record, only the bounds of the stream.
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

// findOffset returns the offset of the first record in [low, high) that was
// appended at the horizon or later, by binary search. It returns high if there is
// none.
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

// next returns the next offset to apply. It is zero before the stream was read.
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

// backOffLog refuses claims for some time after a failed call to the log, with
// exponential backoff. It returns the time at which the log is used again.
func (p *partition) backOffLog(ctx context.Context, err error) time.Time {
	if ctx.Err() != nil {
		return time.Now()
	}
	p.holder.logger().Warn("log call failed, backing off", "Partition", p.number, "Error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDownUntil = time.Now().Add(p.logBackoff.NextBackOff())
	return p.logDownUntil
}

// resetLogBackoff ends the backoff that backOffLog began.
func (p *partition) resetLogBackoff() {
	p.logBackoff.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDownUntil = time.Time{}
}

package endtoend

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// promptBytes is the length of a prompt in a measurement.
const promptBytes = 1000

// loadGenerator puts load on a rig and times its tokens at the callers.
type loadGenerator struct {
	t    *testing.T
	rig  *rig
	ctx  context.Context
	stop context.CancelFunc
	work errgroup.Group
	// sent numbers the requests.
	sent atomic.Int64
	// measuring tells whether tokens are counted now.
	measuring atomic.Bool

	mu       sync.Mutex
	requests int
	// firstTokenTimes are the times from the request to its first token.
	firstTokenTimes []time.Duration
	// first and later are the ages of tokens at their callers.
	firstAges, laterAges []time.Duration
	// gaps are the times between tokens at their callers.
	gaps []time.Duration
}

func newLoadGenerator(r *rig) *loadGenerator {
	ctx, stop := context.WithCancel(context.Background())
	d := &loadGenerator{t: r.t, rig: r, ctx: ctx, stop: stop}
	r.t.Cleanup(func() { d.end() })
	return d
}

// end stops the load.
func (d *loadGenerator) end() {
	d.stop()
	if err := d.work.Wait(); err != nil {
		d.t.Error(err)
	}
}

// streams keeps so many answers open, one after the other. The first answers
// have all lengths up to the wanted one, so that ends and starts spread evenly.
func (d *loadGenerator) streams(count, tokens int) {
	begin := time.Now()
	for n := range count {
		d.work.Go(func() error {
			first := 1 + tokens*n/count
			if !d.sleep(begin.Add(time.Second * time.Duration(n) / time.Duration(count))) {
				return nil
			}
			err := d.sendRequest(first)
			for err == nil && d.ctx.Err() == nil {
				err = d.sendRequest(tokens)
			}
			return err
		})
	}
}

// requestsPerSecond sends requests at an even rate.
func (d *loadGenerator) requestsPerSecond(rate, tokens int) {
	d.work.Go(func() error {
		var open errgroup.Group
		dueAt := time.Now()
		for d.sleep(dueAt) {
			dueAt = dueAt.Add(time.Second / time.Duration(rate))
			open.Go(func() error { return d.sendRequest(tokens) })
		}
		return open.Wait()
	})
}

func (d *loadGenerator) sleep(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-timer.C:
		return d.ctx.Err() == nil
	}
}

// sendRequest reads one answer. The end of the load is no error.
func (d *loadGenerator) sendRequest(tokens int) error {
	number := int(d.sent.Add(1))
	askedAt := time.Now()
	s, err := newCaller(d.rig.entry).stream(generationRequest{
		account: accountName(number), class: "class-1", prompt: promptOf(tokens, number),
	})
	if err != nil {
		return err
	}
	defer s.close()
	previous := askedAt
	got := 0
	for {
		e, err := s.next()
		if errors.Is(err, io.EOF) || d.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if outcome := e.Fulmarvalve.Outcome; outcome != "" && outcome != string(resultcode.Complete) {
			return errors.Newf("request %d: %s", number, e.Fulmarvalve.Result)
		}
		if text := e.text(); text != "" {
			previous = d.record(text, got, previous)
			got++
		}
	}
}

// record counts the tokens of one event. The previous time is that of the
// request before its first event, then that of the event before.
func (d *loadGenerator) record(text string, before int, previous time.Time) time.Time {
	now := time.Now()
	ages := d.rig.engine.ages(text)
	if !d.measuring.Load() {
		return now
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if before == 0 {
		d.requests++
		d.firstTokenTimes = append(d.firstTokenTimes, now.Sub(previous))
		d.firstAges = append(d.firstAges, ages[0])
		d.laterAges = append(d.laterAges, ages[1:]...)
		return now
	}
	d.laterAges = append(d.laterAges, ages...)
	d.gaps = append(d.gaps, now.Sub(previous))
	return now
}

// promptOf returns a prompt that no other request has.
func promptOf(tokens, number int) string {
	head := fmt.Sprintf("request %d tokens=%d ", number, tokens)
	return head + strings.Repeat("plan ", (promptBytes-len(head))/len("plan "))
}

// percentile returns the value below which so many in 100 lie.
func percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)*percent/100].Round(10 * time.Microsecond)
}

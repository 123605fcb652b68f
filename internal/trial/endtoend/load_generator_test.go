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

// promptBytes is the approximate length of the prompts in a measurement.
const promptBytes = 1000

// loadGenerator sends requests to a rig and measures when their tokens reach the
// callers.
type loadGenerator struct {
	t    *testing.T
	rig  *rig
	ctx  context.Context
	stop context.CancelFunc
	work errgroup.Group
	// sent counts the requests and gives each its number.
	sent atomic.Int64
	// measuring is true while tokens are recorded.
	measuring atomic.Bool

	mu       sync.Mutex
	requests int
	// firstTokenTimes are the times from a request to its first token.
	firstTokenTimes []time.Duration
	// firstAges and laterAges are the times from the engine to the caller, of
	// the first token of each answer and of all others.
	firstAges, laterAges []time.Duration
	// gaps are the times between two events of an answer at its caller.
	gaps []time.Duration
}

// newLoadGenerator returns a load generator for the rig that ends with the test.
func newLoadGenerator(r *rig) *loadGenerator {
	ctx, stop := context.WithCancel(context.Background())
	g := &loadGenerator{t: r.t, rig: r, ctx: ctx, stop: stop}
	r.t.Cleanup(func() { g.end() })
	return g
}

// end stops the load and waits for the open requests.
func (g *loadGenerator) end() {
	g.stop()
	if err := g.work.Wait(); err != nil {
		g.t.Error(err)
	}
}

// streams keeps count answers open: each caller requests the next answer when one
// ends. The first answers have lengths spread up to the given one, so that ends
// and starts are distributed evenly over time.
func (g *loadGenerator) streams(count, tokens int) {
	begin := time.Now()
	for n := range count {
		g.work.Go(func() error {
			first := 1 + tokens*n/count
			if !g.sleep(begin.Add(time.Second * time.Duration(n) / time.Duration(count))) {
				return nil
			}
			err := g.sendRequest(first)
			for err == nil && g.ctx.Err() == nil {
				err = g.sendRequest(tokens)
			}
			return err
		})
	}
}

// requestsPerSecond sends requests at an even rate, regardless of when their
// answers end.
func (g *loadGenerator) requestsPerSecond(rate, tokens int) {
	g.work.Go(func() error {
		var open errgroup.Group
		dueAt := time.Now()
		for g.sleep(dueAt) {
			dueAt = dueAt.Add(time.Second / time.Duration(rate))
			open.Go(func() error { return g.sendRequest(tokens) })
		}
		return open.Wait()
	})
}

// sleep waits until the time and reports whether the load is still to continue.
func (g *loadGenerator) sleep(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-g.ctx.Done():
		return false
	case <-timer.C:
		return g.ctx.Err() == nil
	}
}

// sendRequest sends one request and reads its answer. It returns nil when the
// load ends.
func (g *loadGenerator) sendRequest(tokens int) error {
	number := int(g.sent.Add(1))
	sentAt := time.Now()
	s, err := newCaller(g.rig.entry).stream(generationRequest{
		account: accountName(number), class: "class-1", prompt: promptOf(tokens, number),
	})
	if err != nil {
		return err
	}
	defer s.close()
	previous := sentAt
	got := 0
	for {
		e, err := s.next()
		if errors.Is(err, io.EOF) || g.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if outcome := e.Fulmarvalve.Outcome; outcome != "" && outcome != string(resultcode.Complete) {
			return errors.Newf("request %d ended with outcome %s: %s", number, outcome, e.Fulmarvalve.Result)
		}
		if text := e.text(); text != "" {
			previous = g.record(text, got, previous)
			got++
		}
	}
}

// record records the tokens of one event and returns the time of the event.
// received is the number of tokens before it; previous is the time of the
// previous event, or of the request for the first event.
func (g *loadGenerator) record(text string, received int, previous time.Time) time.Time {
	now := time.Now()
	ages := g.rig.engine.ages(text)
	if !g.measuring.Load() {
		return now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if received == 0 {
		g.requests++
		g.firstTokenTimes = append(g.firstTokenTimes, now.Sub(previous))
		g.firstAges = append(g.firstAges, ages[0])
		g.laterAges = append(g.laterAges, ages[1:]...)
		return now
	}
	g.laterAges = append(g.laterAges, ages...)
	g.gaps = append(g.gaps, now.Sub(previous))
	return now
}

// promptOf returns the prompt of one request, which differs from those of all
// other requests.
func promptOf(tokens, number int) string {
	head := fmt.Sprintf("request %d tokens=%d ", number, tokens)
	return head + strings.Repeat("plan ", (promptBytes-len(head))/len("plan "))
}

// percentile returns a percentile of the values, or 0 without values.
func percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)*percent/100].Round(10 * time.Microsecond)
}

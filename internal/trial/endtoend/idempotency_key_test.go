package endtoend

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// starts counts how often any generation was started, at all engines.
func (d *deployment) starts() int {
	count := 0
	for _, b := range d.backends {
		if b.engine != nil {
			count += b.engine.Starts()
		}
	}
	return count
}

// nonIdempotentRequest returns a question that may not be repeated.
func nonIdempotentRequest(key, prompt string) generationRequest {
	q := newRequest("agreement", prompt)
	q.key = key
	return q
}

// shortOwnerTimeouts shortens the wait for owners that are gone.
func shortOwnerTimeouts(e *process.Entry) {
	e.HeartbeatMillis = 200
	e.ProgressMillis = 1000
}

// retryUntilDecided repeats the question with its key, through the entry hosts in
// turn, until an answer is complete or says that a repeat is of no use.
func retryUntilDecided(d *deployment, q generationRequest) (completion, error) {
	deadline := waitDeadline()
	for n := 0; time.Now().Before(deadline); n++ {
		e := d.entries[n%len(d.entries)]
		if !e.running() {
			continue
		}
		r, err := newCaller(e).complete(q)
		if err != nil {
			continue
		}
		p, err := r.completion()
		if err != nil {
			return p, err
		}
		info := resultcode.Code(p.Fulmarvalve.Code).Info()
		if info.Outcome == resultcode.Complete || info.Repeat == resultcode.RepeatNever {
			return p, nil
		}
		time.Sleep(pollMillis * time.Millisecond)
	}
	return completion{}, errors.New("the question was not decided in time")
}

func TestSameKeyAtTwoEntryHostsRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const keys, repeats = 6, 4
	d := newDeployment(t, layout{entries: 2, engines: 2})
	var mu sync.Mutex
	requests := make(map[string]string)
	var group errgroup.Group
	for range keys {
		q := nonIdempotentRequest(newKey(), "tokens=30 agreement for a hut")
		for n := range repeats {
			c := newCaller(d.entries[n%2])
			group.Go(func() error {
				r, err := c.complete(q)
				if err != nil {
					return err
				}
				p, err := checkCompleteReply(r, d.output(q.prompt))
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				if first, known := requests[q.key]; known && first != p.Fulmarvalve.RequestID {
					return errors.Newf("key %s ran as %s and %s", q.key, first, p.Fulmarvalve.RequestID)
				}
				requests[q.key] = p.Fulmarvalve.RequestID
				return nil
			})
		}
	}
	is.NoErr(group.Wait())
	is.Equal(len(requests), keys)
	is.Equal(d.starts(), keys)
}

func TestKeyRetriedAfterEntryHostDied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 2, changeEntry: shortOwnerTimeouts})
	q := nonIdempotentRequest(newKey(), "tokens=200 agreement for a hut")
	s, err := newCaller(d.entries[0]).stream(q)
	is.NoErr(err)
	defer s.close()
	first := newTranscript(d.output(q.prompt))
	is.NoErr(first.readUntil(s, 5))
	d.entries[0].kill()

	p, err := retryUntilDecided(d, q)
	is.NoErr(err)
	is.Equal(p.Fulmarvalve.Result, "OK")
	is.Equal(p.Fulmarvalve.RequestID, first.request)
	is.Equal(d.starts(), 1)
}

func TestKeyStaysUsedAfterOwnerDied(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		killEntry bool
	}{
		{"the owner", false},
		{"the owner and the entry host", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, layout{entries: 2, engines: 2, changeEntry: shortOwnerTimeouts})
			q := nonIdempotentRequest(newKey(), "tokens=3000 agreement for a hut")
			s, err := newCaller(d.entries[0]).stream(q)
			is.NoErr(err)
			defer s.close()
			first := newTranscript(d.output(q.prompt))
			is.NoErr(first.readUntil(s, 5))
			owner := d.backend(executingBackend(first, d))
			owner.kill()
			if tt.killEntry {
				d.entries[0].kill()
			}
			owner.start()
			p, err := retryUntilDecided(d, q)
			is.NoErr(err)
			is.Equal(p.Fulmarvalve.Result, "KeySpent")
			is.Equal(p.Fulmarvalve.Outcome, string(resultcode.Unknown))
			is.Equal(d.starts(), 1)
		})
	}
}

// executingBackend returns the backend server that runs the only generation.
func executingBackend(of *transcript, d *deployment) string {
	for _, b := range d.backends {
		if b.engine != nil && b.engine.Executions(of.request) > 0 {
			return b.settings.Name
		}
	}
	return ""
}

// TestFrozenEntryHostRunsNothingTwice freezes each entry host in turn while keys are
// in use, past the time at which others have taken its partitions over, and
// lets it wake with its permits and half-done claims in hand.
func TestFrozenEntryHostRunsNothingTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 3, engines: 2, changeEntry: shortOwnerTimeouts})
	d.site.Journal.Faults.SlowMillis.Store(20)
	var group errgroup.Group
	group.Go(func() error {
		for _, e := range d.entries {
			e.freeze()
			time.Sleep(2500 * time.Millisecond)
			e.thaw()
		}
		return nil
	})
	const keys = 24
	for range keys {
		q := nonIdempotentRequest(newKey(), "tokens=20 agreement for a hut")
		for range 2 {
			group.Go(func() error {
				_, err := retryUntilDecided(d, q)
				return err
			})
		}
		time.Sleep(250 * time.Millisecond)
	}
	is.NoErr(group.Wait())
	is.Equal(d.starts(), keys)
}

func TestLostLogAnswersRunNothingTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1, plainServices: 1})
	const keys = 10
	var group errgroup.Group
	for range keys {
		d.site.Journal.Faults.LoseAnswers.Store(1)
		key := newKey()
		for _, e := range d.entries {
			c := newCaller(e)
			group.Go(func() error {
				deadline := waitDeadline()
				for time.Now().Before(deadline) {
					r, err := c.call(http.MethodPost, "/bookings", key)
					if err != nil {
						return err
					}
					if r.status == http.StatusOK || r.status == http.StatusCreated {
						return nil
					}
					time.Sleep(pollMillis * time.Millisecond)
				}
				return errors.New("a booking was not made in time")
			})
		}
		is.NoErr(group.Wait())
	}
	is.Equal(d.backend("front-desk-1").plainService.Bookings(), keys)
}

// TestLogOutage shows what is refused while the log is down, and what goes on.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1, plainServices: 1})
	c := newCaller(d.entries[0])
	before := nonIdempotentRequest(newKey(), "tokens=400 agreement made before")
	s, err := c.stream(before)
	is.NoErr(err)
	defer s.close()
	running := newTranscript(d.output(before.prompt))
	is.NoErr(running.readUntil(s, 1))

	d.site.Journal.Faults.Down.Store(true)
	q := nonIdempotentRequest(newKey(), "tokens=20 agreement made during")
	askedAt := time.Now()
	r, err := c.complete(q)
	is.NoErr(err)
	p, err := r.completion()
	is.NoErr(err)
	t.Logf("refused during the outage after %d ms", time.Since(askedAt).Milliseconds())
	is.Equal(p.Fulmarvalve.Result, "LogUnavailable")
	is.Equal(p.Fulmarvalve.Outcome, string(resultcode.NotRun))
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(d.starts(), 1)

	r, err = c.complete(newRequest("session-check", "tokens=10 repeatable"))
	is.NoErr(err)
	_, err = checkCompleteReply(r, d.output("tokens=10 repeatable"))
	is.NoErr(err)
	is.NoErr(running.readAll(s))
	is.NoErr(running.checkComplete())

	d.site.Journal.Faults.Down.Store(false)
	p, err = retryUntilDecided(d, q)
	is.NoErr(err)
	is.Equal(p.Fulmarvalve.Result, "OK")
	is.Equal(d.starts(), 3)
}

func TestExpiredKeyIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{
		entries: 1, engines: 1,
		changeEntry: func(e *process.Entry) { e.KeyWindowSeconds = 1 },
	})
	q := nonIdempotentRequest(newKey(), "tokens=5 agreement for a hut")
	c := newCaller(d.entries[0])
	eventually(t, "the key is too old", func() error {
		r, err := c.complete(q)
		if err != nil {
			return err
		}
		p, err := r.completion()
		if err != nil {
			return err
		}
		if p.Fulmarvalve.Result != "KeyExpired" {
			return errors.Newf("result is %s", p.Fulmarvalve.Result)
		}
		return nil
	})
	is.True(d.starts() <= 1)
}

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

// starts returns the number of generations that all engines have started.
func (d *deployment) starts() int {
	count := 0
	for _, b := range d.backends {
		if b.engine != nil {
			count += b.engine.Starts()
		}
	}
	return count
}

// nonIdempotentRequest returns a request of the class agreement, whose requests must
// run at most once.
func nonIdempotentRequest(key, prompt string) generationRequest {
	request := newRequest("agreement", prompt)
	request.key = key
	return request
}

// shortOwnerTimeouts makes an entry host detect an unresponsive owner early.
func shortOwnerTimeouts(e *process.Entry) {
	e.HeartbeatMillis = 200
	e.ProgressMillis = 1000
}

// retryUntilDecided retries the request with its key at each entry host in turn,
// until an answer is complete or its result code says that the request must not be
// retried. It skips entry hosts that are not running.
func retryUntilDecided(d *deployment, request generationRequest) (completion, error) {
	deadline := waitDeadline()
	for n := 0; time.Now().Before(deadline); n++ {
		e := d.entries[n%len(d.entries)]
		if !e.running() {
			continue
		}
		r, err := newCaller(e).complete(request)
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
	return completion{}, errors.Newf("request with key %s got no final answer within %d ms", request.key, waitTimeoutMillis)
}

// TestSameKeyAtTwoEntryHostsRunsOnce sends each key several times concurrently
// through both entry hosts. All attempts must receive the answer of the same
// generation.
func TestSameKeyAtTwoEntryHostsRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const keys, attempts = 6, 4
	d := newDeployment(t, layout{entries: 2, engines: 2})
	var mu sync.Mutex
	requests := make(map[string]string)
	var group errgroup.Group
	for range keys {
		request := nonIdempotentRequest(newKey(), "tokens=30 agreement for a hut")
		for n := range attempts {
			c := newCaller(d.entries[n%2])
			group.Go(func() error {
				r, err := c.complete(request)
				if err != nil {
					return err
				}
				p, err := checkCompleteReply(r, d.output(request.prompt))
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				if first, known := requests[request.key]; known && first != p.Fulmarvalve.RequestID {
					return errors.Newf("key %s ran as %s and %s", request.key, first, p.Fulmarvalve.RequestID)
				}
				requests[request.key] = p.Fulmarvalve.RequestID
				return nil
			})
		}
	}
	is.NoErr(group.Wait())
	is.Equal(len(requests), keys)
	is.Equal(d.starts(), keys)
}

// TestKeyRetriedAfterEntryHostDied kills the entry host that streams the answer to
// a key. A retry at the other one must receive the answer of the same generation.
func TestKeyRetriedAfterEntryHostDied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 2, changeEntry: shortOwnerTimeouts})
	request := nonIdempotentRequest(newKey(), "tokens=200 agreement for a hut")
	s, err := newCaller(d.entries[0]).stream(request)
	is.NoErr(err)
	defer s.close()
	first := newTranscript(d.output(request.prompt))
	is.NoErr(first.readUntil(s, 5))
	d.entries[0].kill()

	p, err := retryUntilDecided(d, request)
	is.NoErr(err)
	is.Equal(p.Fulmarvalve.Result, "OK")
	is.Equal(p.Fulmarvalve.RequestID, first.request)
	is.Equal(d.starts(), 1)
}

// TestKeyStaysUsedAfterOwnerDied kills the process that runs the generation of a
// key, in one case with the entry host. A retry must be refused with KeySpent and
// an unknown outcome, since the generation may have run.
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
			request := nonIdempotentRequest(newKey(), "tokens=3000 agreement for a hut")
			s, err := newCaller(d.entries[0]).stream(request)
			is.NoErr(err)
			defer s.close()
			first := newTranscript(d.output(request.prompt))
			is.NoErr(first.readUntil(s, 5))
			owner := d.backend(executingBackend(first, d))
			owner.kill()
			if tt.killEntry {
				d.entries[0].kill()
			}
			owner.start()
			p, err := retryUntilDecided(d, request)
			is.NoErr(err)
			is.Equal(p.Fulmarvalve.Result, "KeySpent")
			is.Equal(p.Fulmarvalve.Outcome, string(resultcode.Unknown))
			is.Equal(d.starts(), 1)
		})
	}
}

// executingBackend returns the name of the backend server whose engine runs the
// request of a transcript.
func executingBackend(answer *transcript, d *deployment) string {
	for _, b := range d.backends {
		if b.engine != nil && b.engine.Executions(answer.request) > 0 {
			return b.settings.Name
		}
	}
	return ""
}

// TestFrozenEntryHostRunsNothingTwice freezes each entry host in turn while keys are
// in use, until others have taken over its partitions. The entry host then continues
// with outdated permits and unfinished claims, which must not start a second
// generation for any key.
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
		request := nonIdempotentRequest(newKey(), "tokens=20 agreement for a hut")
		for range 2 {
			group.Go(func() error {
				_, err := retryUntilDecided(d, request)
				return err
			})
		}
		time.Sleep(250 * time.Millisecond)
	}
	is.NoErr(group.Wait())
	is.Equal(d.starts(), keys)
}

// TestLostLogAnswersRunNothingTwice makes the log lose the answer to an append while
// both entry hosts send the same key. Each key must make exactly one booking.
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
				return errors.Newf("booking with key %s was not made within %d ms", key, waitTimeoutMillis)
			})
		}
		is.NoErr(group.Wait())
	}
	is.Equal(d.backend("front-desk-1").plainService.Bookings(), keys)
}

// TestLogOutage checks that while the log is down, requests with a new key are
// refused as not run, and that idempotent requests and running answers continue.
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
	request := nonIdempotentRequest(newKey(), "tokens=20 agreement made during")
	sentAt := time.Now()
	r, err := c.complete(request)
	is.NoErr(err)
	p, err := r.completion()
	is.NoErr(err)
	t.Logf("refused during the outage after %d ms", time.Since(sentAt).Milliseconds())
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
	p, err = retryUntilDecided(d, request)
	is.NoErr(err)
	is.Equal(p.Fulmarvalve.Result, "OK")
	is.Equal(d.starts(), 3)
}

// TestExpiredKeyIsRefused checks that a key whose time is outside the key window is
// refused.
func TestExpiredKeyIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{
		entries: 1, engines: 1,
		changeEntry: func(e *process.Entry) { e.KeyWindowSeconds = 1 },
	})
	request := nonIdempotentRequest(newKey(), "tokens=5 agreement for a hut")
	c := newCaller(d.entries[0])
	eventually(t, "the key has expired", func() error {
		r, err := c.complete(request)
		if err != nil {
			return err
		}
		p, err := r.completion()
		if err != nil {
			return err
		}
		if p.Fulmarvalve.Result != "KeyExpired" {
			return errors.Newf("result is %s, want KeyExpired", p.Fulmarvalve.Result)
		}
		return nil
	})
	is.True(d.starts() <= 1) // the first attempts can run before the key expires
}

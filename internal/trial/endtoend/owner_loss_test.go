package endtoend

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// lostCodes are the results of a generation that was lost with its owner.
var lostCodes = []resultcode.Code{resultcode.GenerationLost, resultcode.OwnerSilent}

// checkLost checks that an answer ended as lost, with nothing joined on: what
// was delivered is checked token by token by the transcript.
func checkLost(t *transcript, codes ...resultcode.Code) error {
	if !t.ended {
		return errors.Newf("no end after %d tokens", t.position)
	}
	code := resultcode.Code(t.end.Fulmarvalve.Code)
	if !slices.Contains(codes, code) {
		return errors.Newf("ended with %s: %s", code, t.end.Fulmarvalve.Reason)
	}
	if t.end.Fulmarvalve.Outcome != string(resultcode.Unknown) {
		return errors.Newf("a lost generation has outcome %s", t.end.Fulmarvalve.Outcome)
	}
	if t.position == uint64(len(t.want)) {
		return errors.New("the whole answer was delivered before the loss")
	}
	return nil
}

// activeBackend returns the backend server that runs a request.
func (d *deployment) activeBackend(t *testing.T) *backendServer {
	t.Helper()
	var found *backendServer
	eventually(t, "a request runs", func() error {
		for _, b := range d.backends {
			status, err := queryStatus(b.settings.PeerAddress)
			if err == nil && status.OpenRequests > 0 {
				found = b
				return nil
			}
		}
		return errors.New("nothing is open")
	})
	return found
}

// calledPlainService waits until a plain service has a call, and returns its process. An
// asker counts as open before its call is admitted, so only the service tells
// that the call was.
func (d *deployment) calledPlainService(t *testing.T) *backendServer {
	t.Helper()
	var found *backendServer
	eventually(t, "a plain service is called", func() error {
		for _, b := range d.backends {
			if b.plainService != nil && b.plainService.Received() > 0 {
				found = b
				return nil
			}
		}
		return errors.New("no plain service has a call")
	})
	return found
}

// TestOwnerKilledMidStream checks that a streamed answer ends as lost when its
// owner dies, whether or not the owner is started again, while the others live.
func TestOwnerKilledMidStream(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		restarts bool
	}{
		{"stays away", false},
		{"is started again", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2}))
			prompt := prompts(1, 400)[0]
			s, err := newCaller(d.entries[0]).stream(newRequest("programme", prompt))
			is.NoErr(err)
			defer s.close()
			answer := newTranscript(d.output(prompt))
			is.NoErr(answer.readUntil(s, tokensBeforeFault))
			owner := d.activeBackend(t)
			owner.kill()
			if tt.restarts {
				owner.start()
			}
			is.NoErr(answer.readAll(s))
			is.NoErr(checkLost(answer, lostCodes...))
			is.Equal(d.executions(answer.request), 1)
			if !tt.restarts {
				return
			}
			resumed := *answer
			resumed.ended = false
			again, err := newCaller(d.entries[1]).resume(account, answer.resumeToken(), answer.position)
			is.NoErr(err)
			defer again.close()
			is.NoErr(resumed.readAll(again))
			is.NoErr(checkLost(&resumed, lostCodes...))
			is.Equal(resumed.position, answer.position)
		})
	}
}

// TestOwnerKilledRetriesTransparently checks that repeatable answers that leave only as a
// whole are run again elsewhere, unseen by their callers.
func TestOwnerKilledRetriesTransparently(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 2}))
	c := newCaller(d.entries[0])
	var group errgroup.Group
	for n, prompt := range prompts(6, 200) {
		group.Go(func() error {
			if n%2 == 0 {
				return d.checkUnstreamed(c, newRequest("programme", prompt))
			}
			return d.checkBufferedStream(c, newRequest("outline", prompt))
		})
	}
	d.activeBackend(t).kill()
	is.NoErr(group.Wait())
}

// checkUnstreamed asks for an answer at once.
func (d *deployment) checkUnstreamed(c *caller, q generationRequest) error {
	r, err := c.complete(q)
	if err != nil {
		return err
	}
	p, err := checkCompleteReply(r, d.output(q.prompt))
	if err != nil {
		return err
	}
	return d.checkExecutions(p.Fulmarvalve.RequestID, 2)
}

// checkBufferedStream asks for a stream whose tokens leave at the end.
func (d *deployment) checkBufferedStream(c *caller, q generationRequest) error {
	s, err := c.stream(q)
	if err != nil {
		return err
	}
	defer s.close()
	answer := newTranscript(d.output(q.prompt))
	if err := answer.readAll(s); err != nil {
		return err
	}
	if err := answer.checkComplete(); err != nil {
		return err
	}
	return d.checkExecutions(answer.request, 2)
}

// checkExecutions checks that a request ran at least once and not more often than
// once for each loss and once more.
func (d *deployment) checkExecutions(id string, most int) error {
	if count := d.executions(id); count < 1 || count > most {
		return errors.Newf("request %s ran %d times", id, count)
	}
	return nil
}

// TestOwnerKilledNonIdempotent checks that an answer that may not be repeated is
// lost with its owner and runs nowhere else.
func TestOwnerKilledNonIdempotent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2}))
	c := newCaller(d.entries[0])
	q := newRequest("agreement", prompts(1, 400)[0])
	q.key = newKey()
	d.waitKeyBinding(t)
	var first reply
	var group errgroup.Group
	group.Go(func() (err error) {
		first, err = c.complete(q)
		return err
	})
	owner := d.activeBackend(t)
	owner.kill()
	owner.start()
	is.NoErr(group.Wait())
	lost, err := first.completion()
	is.NoErr(err)
	is.Equal(lost.Fulmarvalve.Outcome, string(resultcode.Unknown))
	is.Equal(lost.text(), "")
	is.Equal(d.executions(lost.Fulmarvalve.RequestID), 1)

	second, err := newCaller(d.entries[1]).complete(q)
	is.NoErr(err)
	again, err := second.completion()
	is.NoErr(err)
	is.Equal(again.Fulmarvalve.Outcome, string(resultcode.Unknown))
	is.Equal(d.executions(lost.Fulmarvalve.RequestID), 1)
	is.Equal(d.executions(again.Fulmarvalve.RequestID), 0)
}

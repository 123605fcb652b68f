package endtoend

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// lostCodes are the result codes of a generation that was lost with its owner.
var lostCodes = []resultcode.Code{resultcode.GenerationLost, resultcode.OwnerSilent}

// checkLost checks that an answer ended with one of the codes and an unknown
// outcome, before all its tokens were delivered. The transcript has checked the
// delivered tokens.
func checkLost(answer *transcript, codes ...resultcode.Code) error {
	if !answer.ended {
		return errors.Newf("answer has no end event after %d tokens", answer.position)
	}
	code := resultcode.Code(answer.end.Fulmarvalve.Code)
	if !slices.Contains(codes, code) {
		return errors.Newf("answer ended with %s, want one of %v: %s", code, codes, answer.end.Fulmarvalve.Reason)
	}
	if answer.end.Fulmarvalve.Outcome != string(resultcode.Unknown) {
		return errors.Newf("lost generation has outcome %s, want Unknown", answer.end.Fulmarvalve.Outcome)
	}
	if answer.position == uint64(len(answer.want)) {
		return errors.Newf("all %d tokens were delivered before the loss", answer.position)
	}
	return nil
}

// activeBackend waits until an engine runs a generation, and returns its backend
// server. The status of the process is not enough: it counts a request as open before
// the request is admitted and sent to the engine.
func (d *deployment) activeBackend(t *testing.T) *backendServer {
	t.Helper()
	var found *backendServer
	eventually(t, "an engine runs a generation", func() error {
		for _, b := range d.backends {
			if b.engine != nil && b.engine.OpenGenerations() > 0 {
				found = b
				return nil
			}
		}
		return errors.New("no engine runs a generation")
	})
	return found
}

// openRequests returns the number of open requests at each backend server.
func (d *deployment) openRequests() (map[*backendServer]int, error) {
	open := make(map[*backendServer]int, len(d.backends))
	for _, b := range d.backends {
		status, err := queryStatus(b.settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		open[b] = status.OpenRequests
	}
	return open, nil
}

// waitNoOpenRequests waits until no backend server has an open request.
func (d *deployment) waitNoOpenRequests(t *testing.T) {
	t.Helper()
	eventually(t, "no open requests", func() error {
		open, err := d.openRequests()
		for b, requests := range open {
			if requests > 0 {
				return errors.Newf("%s has %d", b.name, requests)
			}
		}
		return err
	})
}

// owningBackend waits until a backend server has an open request, whether or not its
// engine has received it, and returns the backend server.
func (d *deployment) owningBackend(t *testing.T) *backendServer {
	t.Helper()
	var found *backendServer
	eventually(t, "a backend server has an open request", func() error {
		open, err := d.openRequests()
		for b, requests := range open {
			if requests > 0 {
				found = b
				return nil
			}
		}
		return errors.CombineErrors(err, errors.New("no backend server has one"))
	})
	return found
}

// calledPlainService waits until a plain service has received a call, and returns
// its backend server. The status of the process is not enough: it counts a call as
// open before the call is admitted.
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
		return errors.New("no plain service has received a call")
	})
	return found
}

// TestOwnerKilledMidStream checks that a streamed answer ends as lost when its owner
// is killed, whether or not the owner is restarted, and that the request is not run on
// another backend server. After a restart, a resumed stream ends as lost as well.
func TestOwnerKilledMidStream(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		restarts bool
	}{
		{"not restarted", false},
		{"restarted", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2}))
			answer, s := d.openStream(t, d.entries[0], prompts(1, 400)[0])
			defer s.close()
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

// TestOwnerKilledRetriesTransparently checks that idempotent requests whose answers
// are delivered only as a whole are retried on another backend server, without
// their callers noticing.
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

// checkUnstreamed requests an answer in one response and checks that it is complete
// and ran at most twice.
func (d *deployment) checkUnstreamed(c *caller, request generationRequest) error {
	r, err := c.complete(request)
	if err != nil {
		return err
	}
	p, err := checkCompleteReply(r, d.output(request.prompt))
	if err != nil {
		return err
	}
	return d.checkExecutions(p.Fulmarvalve.RequestID, 2)
}

// checkBufferedStream requests a stream whose tokens are delivered only when the
// answer is complete, and checks that it is complete and ran at most twice.
func (d *deployment) checkBufferedStream(c *caller, request generationRequest) error {
	s, err := c.stream(request)
	if err != nil {
		return err
	}
	defer s.close()
	answer := newTranscript(d.output(request.prompt))
	if err := answer.readAll(s); err != nil {
		return err
	}
	if err := answer.checkComplete(); err != nil {
		return err
	}
	return d.checkExecutions(answer.request, 2)
}

// checkExecutions checks that a request ran at least once and at most the given
// number of times, which is one more than the losses that it can meet.
func (d *deployment) checkExecutions(id string, most int) error {
	if count := d.executions(id); count < 1 || count > most {
		return errors.Newf("request %s ran %d times, want 1 to %d", id, count, most)
	}
	return nil
}

// TestOwnerKilledNonIdempotent checks that the answer to a non-idempotent request is
// lost when its owner is killed, and that neither the entry host nor a retry with
// the same key runs it again.
func TestOwnerKilledNonIdempotent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2}))
	c := newCaller(d.entries[0])
	request := newRequest("agreement", prompts(1, 400)[0])
	request.key = newKey()
	d.waitKeyBinding(t)
	var first reply
	var group errgroup.Group
	group.Go(func() (err error) {
		first, err = c.complete(request)
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

	second, err := newCaller(d.entries[1]).complete(request)
	is.NoErr(err)
	again, err := second.completion()
	is.NoErr(err)
	is.Equal(again.Fulmarvalve.Outcome, string(resultcode.Unknown))
	is.Equal(d.executions(lost.Fulmarvalve.RequestID), 1)
	is.Equal(d.executions(again.Fulmarvalve.RequestID), 0)
}

// TestOwnerKilledBeforeStart checks that a non-idempotent request has an unknown
// outcome when its owner is killed before the engine has received it, and that neither
// the entry host nor a retry with the same key runs it.
func TestOwnerKilledBeforeStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2}))
	request := newRequest("agreement", prompts(1, 400)[0])
	request.key = newKey()
	d.waitKeyBinding(t)
	d.waitNoOpenRequests(t)
	for _, b := range d.backends {
		b.engine.Faults.Down.Store(true)
	}
	var first reply
	var group errgroup.Group
	group.Go(func() (err error) {
		first, err = newCaller(d.entries[0]).complete(request)
		return err
	})
	owner := d.owningBackend(t)
	owner.kill()
	for _, b := range d.backends {
		b.engine.Faults.Down.Store(false)
	}
	owner.start()
	is.NoErr(group.Wait())
	d.checkNeverRan(t, first)

	second, err := newCaller(d.entries[1]).complete(request)
	is.NoErr(err)
	d.checkNeverRan(t, second)
}

// checkNeverRan checks that a reply has an unknown outcome and no text, and that no
// engine has run its request.
func (d *deployment) checkNeverRan(t *testing.T, r reply) {
	t.Helper()
	is := is.New(t)
	answer, err := r.completion()
	is.NoErr(err)
	is.Equal(answer.Fulmarvalve.Outcome, string(resultcode.Unknown))
	is.Equal(answer.text(), "")
	is.Equal(d.executions(answer.Fulmarvalve.RequestID), 0)
}

package endtoend

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// requestsDuringDrain is the number of requests that a test sends after a drain has
// begun.
const requestsDuringDrain = 12

// TestBackendDrains checks that a process beside a backend server that receives
// SIGTERM finishes its stream and gets no new requests, even if the host list never
// lists it as leaving.
func TestBackendDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 2})
	d.waitKeyBinding(t)
	c := newCaller(d.entries[0])
	streams := newReaderGroup(d, "programme", prompts(1, 700), c)
	streams.started.Wait()
	draining := d.activeBackend(t)
	d.site.HostList.Faults.Stuck.Store(true)
	beginDrain(t, draining.program, draining.settings.PeerAddress)

	for n := range requestsDuringDrain {
		request := newRequest("programme", prompts(requestsDuringDrain, 5)[n])
		if n%3 == 0 {
			request.class, request.key = "agreement", newKey()
		}
		r, err := newCaller(d.entries[n%2]).complete(request)
		is.NoErr(err)
		p, err := checkCompleteReply(r, d.output(request.prompt))
		is.NoErr(err)
		is.True(p.Fulmarvalve.Backend != draining.settings.Name)
		is.Equal(draining.engine.Executions(p.Fulmarvalve.RequestID), 0)
		is.Equal(d.executions(p.Fulmarvalve.RequestID), 1)
	}
	is.True(draining.running())
	streams.checkComplete(t, d)
	is.Equal(draining.exitCode(), 0)
}

// TestBackendDrainsQueue checks that a drain also finishes requests that wait in the
// queue.
func TestBackendDrainsQueue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, changeBackend: func(s *process.Backend) { s.MaxRunning = 1 }})
	c := newCaller(d.entries[0])
	first := newReaderGroup(d, "programme", prompts(1, 200), c)
	first.started.Wait()
	var group errgroup.Group
	group.Go(func() error { return d.checkUnstreamed(c, newRequest("programme", "tokens=20 what waits")) })
	b := d.backends[0]
	eventually(t, "a second request is open", func() error {
		status, err := queryStatus(b.settings.PeerAddress)
		if err == nil && status.OpenRequests < 2 {
			return errors.Newf("%d requests are open, want 2", status.OpenRequests)
		}
		return err
	})
	b.terminate()
	first.checkComplete(t, d)
	is.NoErr(group.Wait())
	is.Equal(b.exitCode(), 0)
}

// TestPlainBackendDrains checks that a drain finishes an open call of a plain
// service, while another backend server takes new calls.
func TestPlainBackendDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, plainServices: 2})
	d.waitKeyBinding(t)
	for _, b := range d.backends[1:] {
		b.plainService.Faults.SlowMillis.Store(shortProgressMillis)
	}
	c := newCaller(d.entries[0])
	var slow reply
	var group errgroup.Group
	group.Go(func() (err error) {
		slow, err = c.call(http.MethodPost, "/bookings", newKey())
		return err
	})
	draining := d.calledPlainService(t)
	beginDrain(t, draining.program, draining.settings.PeerAddress)
	other, err := c.call(http.MethodPost, "/bookings", newKey())
	is.NoErr(err)
	is.Equal(other.status, http.StatusOK)
	is.NoErr(group.Wait())
	is.Equal(slow.status, http.StatusOK)
	is.Equal(draining.plainService.Bookings(), 1)
	is.Equal(draining.exitCode(), 0)
}

// TestEntryHostDrains checks that an entry host that receives SIGTERM finishes its
// streams, including resumed ones, and refuses new requests as not run, while
// another entry host serves them.
func TestEntryHostDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	resumed, s := resumedElsewhere(t, d, prompts(1, 500)[0])
	defer s.close()
	streams := newReaderGroup(d, "programme", prompts(2, 100), first)
	streams.started.Wait()
	beginDrain(t, d.entries[0].program, d.entries[0].settings.PeerAddress)

	refused, err := first.complete(newRequest("programme", "tokens=5 too late"))
	is.NoErr(err)
	p, err := refused.completion()
	is.NoErr(err)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(resultcode.Code(p.Fulmarvalve.Code), resultcode.Leaving)
	is.Equal(d.executions(p.Fulmarvalve.RequestID), 0)
	is.NoErr(d.checkUnstreamed(second, newRequest("programme", "tokens=5 elsewhere")))

	streams.checkComplete(t, d)
	is.NoErr(resumed.readAll(s))
	is.NoErr(resumed.checkComplete())
	is.Equal(d.entries[0].exitCode(), 0)
}

// resumedElsewhere starts a stream at the second entry host, resumes it at the
// first one and returns the open stream.
func resumedElsewhere(t *testing.T, d *deployment, prompt string) (*transcript, *stream) {
	t.Helper()
	is := is.New(t)
	answer, s := d.openStream(t, d.entries[1], prompt)
	s.close()
	s, err := newCaller(d.entries[0]).resume(account, answer.resumeToken(), answer.position)
	is.NoErr(err)
	is.NoErr(answer.readUntil(s, answer.position+1))
	return answer, s
}

// TestSecondSignalEndsDrain checks that a second SIGTERM ends a process at once. An
// answer that is open then ends as lost or is truncated; it must not end as
// complete.
func TestSecondSignalEndsDrain(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		target func(*deployment) *program
	}{
		{"entry host", func(d *deployment) *program { return d.entries[0].program }},
		{"backend server", func(d *deployment) *program { return d.backends[0].program }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1}))
			answer, s := d.openStream(t, d.entries[0], prompts(1, longTokens)[0])
			defer s.close()
			p := tt.target(d)
			p.terminate()
			is.NoErr(answer.readUntil(s, answer.position+tokensBeforeFault))
			is.True(p.running())
			p.terminate()
			is.Equal(p.exitCode(), 0)
			is.NoErr(checkTruncated(answer, s))
		})
	}
}

// checkTruncated checks that an aborted stream ends as lost or is truncated.
func checkTruncated(answer *transcript, s *stream) error {
	err := answer.readAll(s)
	if err == nil {
		return checkLost(answer, append(lostCodes, resultcode.DrainCut)...)
	}
	if isTruncated(err) {
		return nil
	}
	return err
}

// TestDrainDeadline checks that a drain ends after the DrainSeconds of the settings,
// although an answer is still open.
func TestDrainDeadline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{
		entries:       1,
		engines:       1,
		changeEntry:   entryDrainSeconds(1),
		changeBackend: backendDrainSeconds(1),
	})
	for _, p := range []*program{d.backends[0].program, d.entries[0].program} {
		answer, s := d.openStream(t, d.entries[0], prompts(1, longTokens)[0])
		p.terminate()
		is.Equal(p.exitCode(), 0)
		is.NoErr(checkTruncated(answer, s))
		s.close()
		p.start()
		d.waitKeyBinding(t)
	}
}

// TestDrainEndsInTimeBesideSlowHostList guards against a drain that outlives its deadline since the host
// list, which it notifies first, doesn't answer.
func TestDrainEndsInTimeBesideSlowHostList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const endMillis = 1800 // the deadline, and time to send the result
	d := newDeployment(t, layout{
		entries: 1, engines: 1,
		changeEntry:   entryDrainSeconds(1),
		changeBackend: backendDrainSeconds(1),
	})
	d.waitKeyBinding(t)
	d.site.HostList.Faults.SlowMillis.Store(longCallMillis)
	for _, p := range []*program{d.backends[0].program, d.entries[0].program} {
		answer, s := d.openStream(t, d.entries[0], prompts(1, longTokens)[0])
		begun := time.Now()
		p.terminate()
		is.NoErr(checkTruncated(answer, s))
		is.True(time.Since(begun) < endMillis*time.Millisecond)
		s.close()
		is.Equal(p.exitCode(), 0)
		if p == d.backends[0].program {
			p.start()
			d.waitKeyBinding(t)
		}
	}
}

// TestBackendDrainsWhileCallerReconnects checks that a drain waits for a caller that
// resumes its stream some time after its entry host was killed.
func TestBackendDrainsWhileCallerReconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	answer, s := d.openStream(t, d.entries[0], prompts(1, 150)[0])
	b := d.backends[0]
	b.terminate()
	d.entries[0].kill()
	s.close()
	sleepMillis(t, 150*stepMillis+shortProgressMillis)
	s, err := newCaller(d.entries[1]).resume(account, answer.resumeToken(), answer.position)
	is.NoErr(err)
	defer s.close()
	is.NoErr(answer.readAll(s))
	is.NoErr(answer.checkComplete())
	is.Equal(d.executions(answer.request), 1)
	is.Equal(b.exitCode(), 0)
}

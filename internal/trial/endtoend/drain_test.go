package endtoend

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// requestsDuringDrain is how many requests follow the begin of a drain.
const requestsDuringDrain = 12

// waitDraining waits until a process says that it is leaving.
func waitDraining(t *testing.T, p *program, peerAddress string) {
	t.Helper()
	eventually(t, p.name+" is leaving", func() error {
		status, err := queryStatus(peerAddress)
		if err == nil && !status.Leaving {
			return errors.New("it is not")
		}
		return err
	})
}

// TestBackendDrains checks that a backend process that is told to end finishes
// its stream and gets no new work, though the platform's list never says that it
// is leaving.
func TestBackendDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 2})
	d.waitKeyBinding(t)
	c := newCaller(d.entries[0])
	w := newReaderGroup(d, "programme", prompts(1, 700), c)
	w.started.Wait()
	leaver := d.activeBackend(t)
	d.site.HostList.Faults.Stuck.Store(true)
	leaver.terminate()
	waitDraining(t, leaver.program, leaver.settings.PeerAddress)

	for n := range requestsDuringDrain {
		q := newRequest("programme", prompts(requestsDuringDrain, 5)[n])
		if n%3 == 0 {
			q.class, q.key = "agreement", newKey()
		}
		r, err := newCaller(d.entries[n%2]).complete(q)
		is.NoErr(err)
		p, err := checkCompleteReply(r, d.output(q.prompt))
		is.NoErr(err)
		is.True(p.Fulmarvalve.Backend != leaver.settings.Name)
		is.Equal(leaver.engine.Executions(p.Fulmarvalve.RequestID), 0)
		is.Equal(d.executions(p.Fulmarvalve.RequestID), 1)
	}
	is.True(leaver.running())
	w.checkComplete(t, d)
	is.Equal(leaver.exitCode(), 0)
}

// TestBackendDrainsQueue checks that a drain also finishes what waits.
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
	eventually(t, "a request waits", func() error {
		status, err := queryStatus(b.settings.PeerAddress)
		if err == nil && status.OpenRequests < 2 {
			return errors.Newf("%d are open", status.OpenRequests)
		}
		return err
	})
	b.terminate()
	first.checkComplete(t, d)
	is.NoErr(group.Wait())
	is.Equal(b.exitCode(), 0)
}

// TestPlainBackendDrains checks that a drain finishes a call of a plain service.
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
	leaver := d.calledPlainService(t)
	leaver.terminate()
	waitDraining(t, leaver.program, leaver.settings.PeerAddress)
	other, err := c.call(http.MethodPost, "/bookings", newKey())
	is.NoErr(err)
	is.Equal(other.status, http.StatusOK)
	is.NoErr(group.Wait())
	is.Equal(slow.status, http.StatusOK)
	is.Equal(leaver.plainService.Bookings(), 1)
	is.Equal(leaver.exitCode(), 0)
}

// TestEntryHostDrains checks that an entry host that is told to end finishes its
// streams, those that were resumed there among them, and refuses new work as
// not run, while another one serves it.
func TestEntryHostDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	resumed, s := resumedElsewhere(t, d, prompts(1, 500)[0])
	defer s.close()
	w := newReaderGroup(d, "programme", prompts(2, 100), first)
	w.started.Wait()
	d.entries[0].terminate()
	waitDraining(t, d.entries[0].program, d.entries[0].settings.PeerAddress)

	refused, err := first.complete(newRequest("programme", "tokens=5 too late"))
	is.NoErr(err)
	p, err := refused.completion()
	is.NoErr(err)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(resultcode.Code(p.Fulmarvalve.Code), resultcode.Leaving)
	is.Equal(d.executions(p.Fulmarvalve.RequestID), 0)
	is.NoErr(d.checkUnstreamed(second, newRequest("programme", "tokens=5 elsewhere")))

	w.checkComplete(t, d)
	is.NoErr(resumed.readAll(s))
	is.NoErr(resumed.checkComplete())
	is.Equal(d.entries[0].exitCode(), 0)
}

// resumedElsewhere begins a stream at the second entry host and resumes it at the
// first one.
func resumedElsewhere(t *testing.T, d *deployment, prompt string) (*transcript, *stream) {
	t.Helper()
	is := is.New(t)
	s, err := newCaller(d.entries[1]).stream(newRequest("programme", prompt))
	is.NoErr(err)
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readUntil(s, tokensBeforeFault))
	s.close()
	s, err = newCaller(d.entries[0]).resume(account, answer.resumeToken(), answer.position)
	is.NoErr(err)
	is.NoErr(answer.readUntil(s, answer.position+1))
	return answer, s
}

// TestSecondSignalEndsDrain checks that a second signal ends a process at once: the
// answer that it cuts ends as lost or breaks off, and is not said to be whole.
func TestSecondSignalEndsDrain(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		cut  func(*deployment) *program
	}{
		{"entry host", func(d *deployment) *program { return d.entries[0].program }},
		{"backend server", func(d *deployment) *program { return d.backends[0].program }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1}))
			prompt := prompts(1, 3000)[0]
			s, err := newCaller(d.entries[0]).stream(newRequest("programme", prompt))
			is.NoErr(err)
			defer s.close()
			answer := newTranscript(d.output(prompt))
			is.NoErr(answer.readUntil(s, tokensBeforeFault))
			p := tt.cut(d)
			p.terminate()
			is.NoErr(answer.readUntil(s, answer.position+tokensBeforeFault))
			is.True(p.running())
			p.terminate()
			is.Equal(p.exitCode(), 0)
			is.NoErr(checkTruncated(answer, s))
		})
	}
}

// checkTruncated checks that a stream that was cut ends as lost or breaks off.
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

// TestDrainDeadline checks that the deadline of the settings ends a drain.
func TestDrainDeadline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{
		entries:       1,
		engines:       1,
		changeEntry:   func(s *process.Entry) { s.DrainSeconds = 1 },
		changeBackend: func(s *process.Backend) { s.DrainSeconds = 1 },
	})
	for _, p := range []*program{d.backends[0].program, d.entries[0].program} {
		prompt := prompts(1, 3000)[0]
		s, err := newCaller(d.entries[0]).stream(newRequest("programme", prompt))
		is.NoErr(err)
		answer := newTranscript(d.output(prompt))
		is.NoErr(answer.readUntil(s, tokensBeforeFault))
		p.terminate()
		is.Equal(p.exitCode(), 0)
		is.NoErr(checkTruncated(answer, s))
		s.close()
		p.start()
		d.waitKeyBinding(t)
	}
}

// TestBackendDrainsWhileCallerReconnects checks that a drain waits for a caller
// whose entry host died and who is on the way back.
func TestBackendDrainsWhileCallerReconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	prompt := prompts(1, 150)[0]
	s, err := newCaller(d.entries[0]).stream(newRequest("programme", prompt))
	is.NoErr(err)
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readUntil(s, tokensBeforeFault))
	b := d.backends[0]
	b.terminate()
	d.entries[0].kill()
	s.close()
	sleepMillis(t, 150*stepMillis+shortProgressMillis)
	s, err = newCaller(d.entries[1]).resume(account, answer.resumeToken(), answer.position)
	is.NoErr(err)
	defer s.close()
	is.NoErr(answer.readAll(s))
	is.NoErr(answer.checkComplete())
	is.Equal(d.executions(answer.request), 1)
	is.Equal(b.exitCode(), 0)
}

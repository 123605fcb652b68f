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

// newRequests is how many requests follow the begin of a drain.
const newRequests = 12

// waitLeaving waits until a process says that it is leaving.
func waitLeaving(t *testing.T, p *program, peerAddress string) {
	t.Helper()
	eventually(t, p.name+" is leaving", func() error {
		status, err := askStatus(peerAddress)
		if err == nil && !status.Leaving {
			return errors.New("it is not")
		}
		return err
	})
}

// TestBackendLeaves checks that a backend process that is told to end finishes
// its stream and gets no new work, though the platform's list never says that it
// is leaving.
func TestBackendLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 2})
	d.waitClaims(t)
	c := newCaller(d.entries[0])
	w := newCrowd(d, "programme", prompts(1, 700), c)
	w.begun.Wait()
	leaver := d.busiest(t)
	d.site.HostList.Faults.Stuck.Store(true)
	leaver.terminate()
	waitLeaving(t, leaver.program, leaver.settings.PeerAddress)

	for n := range newRequests {
		q := ask("programme", prompts(newRequests, 5)[n])
		if n%3 == 0 {
			q.class, q.key = "agreement", newKey()
		}
		r, err := newCaller(d.entries[n%2]).whole(q)
		is.NoErr(err)
		p, err := checkWholeReply(r, d.output(q.prompt))
		is.NoErr(err)
		is.True(p.Fulmarvalve.Backend != leaver.settings.Name)
		is.Equal(leaver.engine.Executions(p.Fulmarvalve.RequestID), 0)
		is.Equal(d.executions(p.Fulmarvalve.RequestID), 1)
	}
	is.True(leaver.running())
	w.checkWhole(t, d)
	is.Equal(leaver.exitCode(), 0)
}

// TestBackendLeavesWithQueue checks that a drain also finishes what waits.
func TestBackendLeavesWithQueue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, changeBackend: func(s *process.Backend) { s.MaxRunning = 1 }})
	c := newCaller(d.entries[0])
	first := newCrowd(d, "programme", prompts(1, 200), c)
	first.begun.Wait()
	var group errgroup.Group
	group.Go(func() error { return d.checkWholeUnseen(c, ask("programme", "tokens=20 what waits")) })
	b := d.backends[0]
	eventually(t, "a request waits", func() error {
		status, err := askStatus(b.settings.PeerAddress)
		if err == nil && status.OpenRequests < 2 {
			return errors.Newf("%d are open", status.OpenRequests)
		}
		return err
	})
	b.terminate()
	first.checkWhole(t, d)
	is.NoErr(group.Wait())
	is.Equal(b.exitCode(), 0)
}

// TestPlainBackendLeaves checks that a drain finishes a call of a plain service.
func TestPlainBackendLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, desks: 2})
	d.waitClaims(t)
	for _, b := range d.backends[1:] {
		b.desk.Faults.SlowMillis.Store(quickProgressMillis)
	}
	c := newCaller(d.entries[0])
	var slow reply
	var group errgroup.Group
	group.Go(func() (err error) {
		slow, err = c.call(http.MethodPost, "/bookings", newKey())
		return err
	})
	leaver := d.calling(t)
	leaver.terminate()
	waitLeaving(t, leaver.program, leaver.settings.PeerAddress)
	other, err := c.call(http.MethodPost, "/bookings", newKey())
	is.NoErr(err)
	is.Equal(other.status, http.StatusOK)
	is.NoErr(group.Wait())
	is.Equal(slow.status, http.StatusOK)
	is.Equal(leaver.desk.Bookings(), 1)
	is.Equal(leaver.exitCode(), 0)
}

// TestEntryHostLeaves checks that an entry host that is told to end finishes its
// streams, those that were resumed there among them, and refuses new work as
// not run, while another one serves it.
func TestEntryHostLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	resumed, s := beginElsewhere(t, d, prompts(1, 500)[0])
	defer s.close()
	w := newCrowd(d, "programme", prompts(2, 100), first)
	w.begun.Wait()
	d.entries[0].terminate()
	waitLeaving(t, d.entries[0].program, d.entries[0].settings.PeerAddress)

	refused, err := first.whole(ask("programme", "tokens=5 too late"))
	is.NoErr(err)
	p, err := refused.part()
	is.NoErr(err)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(resultcode.Code(p.Fulmarvalve.Code), resultcode.Leaving)
	is.Equal(d.executions(p.Fulmarvalve.RequestID), 0)
	is.NoErr(d.checkWholeUnseen(second, ask("programme", "tokens=5 elsewhere")))

	w.checkWhole(t, d)
	is.NoErr(resumed.readAll(s))
	is.NoErr(resumed.checkWhole())
	is.Equal(d.entries[0].exitCode(), 0)
}

// beginElsewhere begins a stream at the second entry host and resumes it at the
// first one.
func beginElsewhere(t *testing.T, d *deployment, prompt string) (*transcript, *stream) {
	t.Helper()
	is := is.New(t)
	s, err := newCaller(d.entries[1]).stream(ask("programme", prompt))
	is.NoErr(err)
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readUntil(s, firstTokens))
	s.close()
	s, err = newCaller(d.entries[0]).resume(account, answer.ticket(), answer.position)
	is.NoErr(err)
	is.NoErr(answer.readUntil(s, answer.position+1))
	return answer, s
}

// TestSecondSignalCuts checks that a second signal ends a process at once: the
// answer that it cuts ends as lost or breaks off, and is not said to be whole.
func TestSecondSignalCuts(t *testing.T) {
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
			d := newDeployment(t, quick(layout{entries: 1, engines: 1}))
			prompt := prompts(1, 3000)[0]
			s, err := newCaller(d.entries[0]).stream(ask("programme", prompt))
			is.NoErr(err)
			defer s.close()
			answer := newTranscript(d.output(prompt))
			is.NoErr(answer.readUntil(s, firstTokens))
			p := tt.cut(d)
			p.terminate()
			is.NoErr(answer.readUntil(s, answer.position+firstTokens))
			is.True(p.running())
			p.terminate()
			is.Equal(p.exitCode(), 0)
			is.NoErr(checkCut(answer, s))
		})
	}
}

// checkCut checks that a stream that was cut ends as lost or breaks off.
func checkCut(answer *transcript, s *stream) error {
	err := answer.readAll(s)
	if err == nil {
		return checkLost(answer, append(lostCodes, resultcode.DrainCut)...)
	}
	if brokenOff(err) {
		return nil
	}
	return err
}

// TestDrainDeadlineCuts checks that the deadline of the settings ends a drain.
func TestDrainDeadlineCuts(t *testing.T) {
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
		s, err := newCaller(d.entries[0]).stream(ask("programme", prompt))
		is.NoErr(err)
		answer := newTranscript(d.output(prompt))
		is.NoErr(answer.readUntil(s, firstTokens))
		p.terminate()
		is.Equal(p.exitCode(), 0)
		is.NoErr(checkCut(answer, s))
		s.close()
		p.start()
		d.waitClaims(t)
	}
}

// TestBackendLeavesWhileCallerIsAway checks that a drain waits for a caller
// whose entry host died and who is on the way back.
func TestBackendLeavesWhileCallerIsAway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	prompt := prompts(1, 150)[0]
	s, err := newCaller(d.entries[0]).stream(ask("programme", prompt))
	is.NoErr(err)
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readUntil(s, firstTokens))
	b := d.backends[0]
	b.terminate()
	d.entries[0].kill()
	s.close()
	waitFor(t, 150*stepMillis+quickProgressMillis)
	s, err = newCaller(d.entries[1]).resume(account, answer.ticket(), answer.position)
	is.NoErr(err)
	defer s.close()
	is.NoErr(answer.readAll(s))
	is.NoErr(answer.checkWhole())
	is.Equal(d.executions(answer.request), 1)
	is.Equal(b.exitCode(), 0)
}

package endtoend

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// silentDirections lists the directions in which tests silence open connections.
var silentDirections = []struct {
	name       string
	directions []direction
}{
	{"to the owner", []direction{toBackend}},
	{"to the entry host", []direction{toEntry}},
	{"both directions", []direction{toBackend, toEntry}},
}

// silenceAll silences the open connections of every relay.
func (d *deployment) silenceAll(directions ...direction) {
	for _, b := range d.backends {
		b.relay.silence(directions...)
	}
}

// resumeAll lets the silenced connections of every relay pass bytes again.
func (d *deployment) resumeAll() {
	for _, b := range d.backends {
		b.relay.resume()
	}
}

// connections returns the number of connections that all relays have accepted.
func (d *deployment) connections() int {
	count := 0
	for _, b := range d.backends {
		count += b.relay.count()
	}
	return count
}

// TestConnectionsSilent checks that answers are complete although the connections that
// carry them stop delivering data, and that they stay correct when the old
// connections resume beside the new ones.
func TestConnectionsSilent(t *testing.T) {
	t.Parallel()
	for _, tt := range silentDirections {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 2, relayed: true}))
			streams := newReaderGroup(d, "programme", prompts(6, 400), newCaller(d.entries[0]))
			streams.started.Wait()
			d.silenceAll(tt.directions...)
			sleepMillis(t, shortProgressMillis*3/2)
			d.resumeAll()
			d.silenceAll(tt.directions...)
			streams.checkComplete(t, d)
			d.resumeAll()
		})
	}
}

// TestConnectionsStaySilent checks that an answer is complete although its first
// connection never resumes, and that a new connection was opened for it.
func TestConnectionsStaySilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1, relayed: true}))
	streams := newReaderGroup(d, "programme", prompts(3, 250), newCaller(d.entries[0]))
	streams.started.Wait()
	before := d.connections()
	d.silenceAll(toBackend, toEntry)
	streams.checkComplete(t, d)
	is.True(d.connections() > before)
}

// TestFirstConnectionSilent checks that a request whose first connection is silent from
// its start runs once, also when that connection later resumes and delivers the
// request a second time.
func TestFirstConnectionSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1, relayed: true}))
	d.waitKeyBinding(t)
	r := d.backends[0].relay
	r.silenceNew(true)
	c := newCaller(d.entries[0])
	requests := []generationRequest{newRequest("programme", "tokens=20 silent"), newRequest("agreement", "tokens=20 silent")}
	requests[1].key = newKey()
	replies := make([]reply, len(requests))
	var group errgroup.Group
	for n, request := range requests {
		group.Go(func() (err error) {
			replies[n], err = c.complete(request)
			return err
		})
	}
	before := r.count()
	eventually(t, "both requests were sent twice", func() error {
		if made := r.count() - before; made < 2*len(requests) {
			return errors.Newf("%d connections opened, want %d", made, 2*len(requests))
		}
		return nil
	})
	r.silenceNew(false)
	is.NoErr(group.Wait())
	r.resume()
	sleepMillis(t, shortProgressMillis)
	for n, request := range requests {
		p, err := checkCompleteReply(replies[n], d.output(request.prompt))
		is.NoErr(err)
		is.Equal(d.executions(p.Fulmarvalve.RequestID), 1)
	}
}

// sleepMillis sleeps while a fault lasts. No check depends on the exact time.
func sleepMillis(t *testing.T, millis int) {
	t.Helper()
	time.Sleep(time.Duration(millis) * time.Millisecond)
}

// TestPlainCallSilent checks that a non-idempotent call runs once and is answered
// although the connection that carries it stops delivering data.
func TestPlainCallSilent(t *testing.T) {
	t.Parallel()
	for _, tt := range silentDirections {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1, plainServices: 1, relayed: true}))
			d.waitKeyBinding(t)
			service := d.backends[1].plainService
			service.Faults.SlowMillis.Store(shortProgressMillis * 3 / 2)
			c := newCaller(d.entries[0])
			var booking, tides reply
			var group errgroup.Group
			group.Go(func() (err error) {
				booking, err = c.call(http.MethodPost, "/bookings", newKey())
				return err
			})
			group.Go(func() (err error) {
				tides, err = c.call(http.MethodGet, "/tides", "")
				return err
			})
			eventually(t, "both calls are open", func() error {
				status, err := queryStatus(d.backends[1].settings.PeerAddress)
				if err == nil && status.OpenRequests < 2 {
					return errors.Newf("%d calls are open, want 2", status.OpenRequests)
				}
				return err
			})
			d.silenceAll(tt.directions...)
			is.NoErr(group.Wait())
			is.Equal(booking.status, http.StatusOK)
			is.Equal(tides.status, http.StatusOK)
			is.Equal(service.Bookings(), 1)
		})
	}
}

// TestOwnerFrozen checks that a generation continues after its owner was frozen for
// less than the owner timeout of the entry host (15 s).
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 1}))
	streams := newReaderGroup(d, "programme", prompts(4, 300), newCaller(d.entries[0]))
	streams.started.Wait()
	d.backends[0].freeze()
	sleepMillis(t, shortProgressMillis*3)
	d.backends[0].thaw()
	streams.checkComplete(t, d)
}

// TestOwnerFrozenForLong checks that an owner that is frozen for longer than the owner
// timeout of the entry host (15 s) loses only its streamed answers, and that nothing is
// appended to a lost answer when the owner continues. Answers that are delivered only as
// a whole are retried.
func TestOwnerFrozenForLong(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2}))
	c := newCaller(d.entries[0])
	streams := newReaderGroup(d, "programme", prompts(4, 300), c)
	buffered := newReaderGroup(d, "outline", prompts(4, 299), c)
	streams.started.Wait()
	frozen := d.backends[0]
	frozen.freeze()
	buffered.wait(t)
	streams.wait(t)
	frozen.thaw()
	for _, r := range buffered.readers {
		is.NoErr(r.checkComplete())
		is.NoErr(d.checkExecutions(r.request, 2))
	}
	for _, r := range streams.readers {
		is.Equal(d.executions(r.request), 1)
		if r.checkComplete() != nil {
			is.NoErr(checkLost(&r.transcript, lostCodes...))
		}
	}
	is.NoErr(d.checkUnstreamed(newCaller(d.entries[1]), newRequest("programme", "tokens=5 afterwards")))
}

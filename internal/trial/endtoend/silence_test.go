package endtoend

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// silentDirections lists what of an open connection goes silent.
var silentDirections = []struct {
	name string
	ways []direction
}{
	{"to the owner", []direction{toBackend}},
	{"to the entry host", []direction{toEntry}},
	{"both ways", []direction{toBackend, toEntry}},
}

// silenceAll silences the open connections of every relay.
func (d *deployment) silenceAll(ways ...direction) {
	for _, b := range d.backends {
		b.relay.silence(ways...)
	}
}

func (d *deployment) resumeAll() {
	for _, b := range d.backends {
		b.relay.resume()
	}
}

func (d *deployment) connections() int {
	count := 0
	for _, b := range d.backends {
		count += b.relay.count()
	}
	return count
}

// TestConnectionsSilent checks that answers survive the connections that carry
// them, and stay right when the old connections wake beside the new ones.
func TestConnectionsSilent(t *testing.T) {
	t.Parallel()
	for _, tt := range silentDirections {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 2, relayed: true}))
			w := newReaderGroup(d, "programme", prompts(6, 400), newCaller(d.entries[0]))
			w.started.Wait()
			d.silenceAll(tt.ways...)
			sleepMillis(t, shortProgressMillis*3/2)
			d.resumeAll()
			d.silenceAll(tt.ways...)
			w.checkComplete(t, d)
			d.resumeAll()
		})
	}
}

// TestConnectionsStaySilent checks that an answer is whole though its first connection
// never wakes, and that its tokens took another one.
func TestConnectionsStaySilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1, relayed: true}))
	w := newReaderGroup(d, "programme", prompts(3, 250), newCaller(d.entries[0]))
	w.started.Wait()
	before := d.connections()
	d.silenceAll(toBackend, toEntry)
	w.checkComplete(t, d)
	is.True(d.connections() > before)
}

// TestFirstConnectionSilent checks that a request whose first connection is
// silent from its start runs once, also after that connection wakes and brings
// the request once more.
func TestFirstConnectionSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1, relayed: true}))
	d.waitKeyBinding(t)
	r := d.backends[0].relay
	r.silenceNew(true)
	c := newCaller(d.entries[0])
	questions := []generationRequest{newRequest("programme", "tokens=20 silent"), newRequest("agreement", "tokens=20 silent")}
	questions[1].key = newKey()
	replies := make([]reply, len(questions))
	var group errgroup.Group
	for n, q := range questions {
		group.Go(func() (err error) {
			replies[n], err = c.complete(q)
			return err
		})
	}
	before := r.count()
	eventually(t, "both requests were sent twice", func() error {
		if made := r.count() - before; made < 2*len(questions) {
			return errors.Newf("%d connections", made)
		}
		return nil
	})
	r.silenceNew(false)
	is.NoErr(group.Wait())
	r.resume()
	sleepMillis(t, shortProgressMillis)
	for n, q := range questions {
		p, err := checkCompleteReply(replies[n], d.output(q.prompt))
		is.NoErr(err)
		is.Equal(d.executions(p.Fulmarvalve.RequestID), 1)
	}
}

// sleepMillis passes time in which a fault lasts; nothing is checked by it.
func sleepMillis(t *testing.T, millis int) {
	t.Helper()
	time.Sleep(time.Duration(millis) * time.Millisecond)
}

// TestPlainCallSilent checks that a call that may not be repeated runs once and
// is answered though the connection that carries it goes silent.
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
			eventually(t, "both calls run", func() error {
				status, err := queryStatus(d.backends[1].settings.PeerAddress)
				if err == nil && status.OpenRequests < 2 {
					return errors.Newf("%d run", status.OpenRequests)
				}
				return err
			})
			d.silenceAll(tt.ways...)
			is.NoErr(group.Wait())
			is.Equal(booking.status, http.StatusOK)
			is.Equal(tides.status, http.StatusOK)
			is.Equal(service.Bookings(), 1)
		})
	}
}

// TestOwnerFrozen checks that a generation goes on after its owner was frozen
// for less than the silence deadline.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 1}))
	w := newReaderGroup(d, "programme", prompts(4, 300), newCaller(d.entries[0]))
	w.started.Wait()
	d.backends[0].freeze()
	sleepMillis(t, shortProgressMillis*3)
	d.backends[0].thaw()
	w.checkComplete(t, d)
}

// TestOwnerFrozenForLong checks that an owner that was frozen past the silence
// deadline takes nothing with it but its streams, and that nothing is joined on
// after it goes on.
func TestOwnerFrozenForLong(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2}))
	c := newCaller(d.entries[0])
	streams := newReaderGroup(d, "programme", prompts(4, 300), c)
	held := newReaderGroup(d, "outline", prompts(4, 299), c)
	streams.started.Wait()
	frozen := d.backends[0]
	frozen.freeze()
	held.wait(t)
	streams.wait(t)
	frozen.thaw()
	for _, r := range held.readers {
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

package endtoend

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// longTokens is the length of an answer that is still open when its drain ends.
const longTokens = 3000

// longCallMillis is the time of a call that is still open when its drain ends.
const longCallMillis = 20000

// drainEnd is a way in which a drain ends with open requests.
type drainEnd struct {
	name         string
	drainSeconds int
	signals      int
}

var drainEnds = []drainEnd{
	{"deadline of the drain", 1, 1},
	{"second signal", 0, 2},
}

// stop begins the drain of a process, and ends it if it has no deadline.
func (e drainEnd) stop(t *testing.T, b *backendServer) {
	t.Helper()
	beginDrain(t, b.program, b.settings.PeerAddress)
	if e.signals > 1 {
		b.terminate()
	}
}

// entryDrainSeconds returns a change of settings that limits the drain of an entry host.
func entryDrainSeconds(seconds int) func(*process.Entry) {
	return func(s *process.Entry) { s.DrainSeconds = seconds }
}

// backendDrainSeconds returns a change of settings that limits the drain of a process beside a backend
// server.
func backendDrainSeconds(seconds int) func(*process.Backend) {
	return func(s *process.Backend) { s.DrainSeconds = seconds }
}

// waitDraining waits until the status of a process reports that it is draining.
func waitDraining(t *testing.T, p *program, peerAddress string) {
	t.Helper()
	eventually(t, p.name+" is draining", func() error {
		status, err := queryStatus(peerAddress)
		if err == nil && !status.Leaving {
			return errors.New("status does not report a drain")
		}
		return err
	})
}

// beginDrain signals a process to stop and waits until it drains.
func beginDrain(t *testing.T, p *program, peerAddress string) {
	t.Helper()
	p.terminate()
	waitDraining(t, p, peerAddress)
}

// openStream sends a request for a stream to an entry host and reads the first tokens. The caller closes
// the stream.
func (d *deployment) openStream(t *testing.T, e *entryHost, prompt string) (*transcript, *stream) {
	t.Helper()
	is := is.New(t)
	s, err := newCaller(e).stream(newRequest("programme", prompt))
	is.NoErr(err)
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readUntil(s, tokensBeforeFault))
	return answer, s
}

// openRequest is a request that is open when a drain ends.
type openRequest struct {
	name string
	send func(*caller) (reply, error)

	reply reply
	err   error
}

// check checks how the request ended.
func (r *openRequest) check(t *testing.T, status int, result resultcode.Code) {
	t.Helper()
	if r.err != nil || r.reply.status != status || resultOfReply(r.reply) != result {
		t.Errorf("%s: status %d, result %v, error %v, %s", r.name, r.reply.status, resultOfReply(r.reply), r.err, r.reply.body)
	}
}

// resultOfReply returns the result code that the header of a reply carries.
func resultOfReply(r reply) resultcode.Code {
	number, _ := strconv.Atoi(r.header.Get(httpapi.HeaderResult))
	return resultcode.Code(number)
}

// wholeRequests returns one request of each kind that is answered in one piece.
func wholeRequests() []*openRequest {
	generation := func(class, key string) func(*caller) (reply, error) {
		return func(c *caller) (reply, error) {
			r := newRequest(class, prompts(1, longTokens)[0])
			r.key = key
			return c.complete(r)
		}
	}
	return []*openRequest{
		{name: "generation", send: generation("programme", "")},
		{name: "generation with a key", send: generation("agreement", newKey())},
		{name: "call", send: func(c *caller) (reply, error) { return c.call(http.MethodGet, "/tides", "") }},
		{name: "call with a key", send: func(c *caller) (reply, error) { return c.call(http.MethodPost, "/bookings", newKey()) }},
	}
}

// sendAll sends the requests to an entry host. The returned group ends with the replies.
func sendAll(e *entryHost, requests []*openRequest) *errgroup.Group {
	group := &errgroup.Group{}
	for _, r := range requests {
		group.Go(func() error {
			r.reply, r.err = r.send(newCaller(e))
			return nil
		})
	}
	return group
}

// openAtBackends sends the requests and waits until each is open at a backend server. The returned group
// ends with the replies.
func openAtBackends(t *testing.T, d *deployment, requests []*openRequest) *errgroup.Group {
	t.Helper()
	group := sendAll(d.entries[0], requests)
	eventually(t, "the requests are open at backend servers", func() error {
		open, err := d.openRequests()
		sum := 0
		for _, count := range open {
			sum += count
		}
		if err == nil && sum < len(requests) {
			return errors.Newf("%d requests are open, want %d", sum, len(requests))
		}
		return err
	})
	return group
}

// openAtDrainEnd starts a deployment and opens a request of each kind that outlasts any drain.
func openAtDrainEnd(t *testing.T, l layout) (*deployment, []*openRequest, *errgroup.Group) {
	t.Helper()
	d := newDeployment(t, l)
	d.waitKeyBinding(t)
	d.slowCalls()
	requests := wholeRequests()
	return d, requests, openAtBackends(t, d, requests)
}

// checkDrainCut waits for the replies to requests that were running when a drain ended, and checks that they
// say so.
func checkDrainCut(t *testing.T, group *errgroup.Group, requests ...*openRequest) {
	t.Helper()
	is := is.New(t)
	is.NoErr(group.Wait())
	for _, r := range requests {
		r.check(t, http.StatusBadGateway, resultcode.DrainCut)
	}
}

// slowCalls makes all plain services slower than any drain.
func (d *deployment) slowCalls() {
	for _, b := range d.backends {
		if b.plainService != nil {
			b.plainService.Faults.SlowMillis.Store(longCallMillis)
		}
	}
}

// waitGenerations waits until the engines run a number of generations.
func (d *deployment) waitGenerations(t *testing.T, want int) {
	t.Helper()
	eventually(t, "generations run", func() error {
		if running := d.backends[0].engine.OpenGenerations(); running < want {
			return errors.Newf("%d generations run, want %d", running, want)
		}
		return nil
	})
}

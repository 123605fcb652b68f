package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

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

// resultOfReply returns the result code that the header of a reply carries.
func resultOfReply(r reply) resultcode.Code {
	number, _ := strconv.Atoi(r.header.Get(httpapi.HeaderResult))
	return resultcode.Code(number)
}

// openRequest is a request that is open when a drain ends.
type openRequest struct {
	name string
	send func(*caller) (reply, error)

	reply reply
	err   error
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

// openAtBackends sends the requests and waits until each is open at a backend server. The returned group
// ends with the replies.
func openAtBackends(t *testing.T, d *deployment, requests []*openRequest) *errgroup.Group {
	t.Helper()
	group := &errgroup.Group{}
	for _, r := range requests {
		group.Go(func() error {
			r.reply, r.err = r.send(newCaller(d.entries[0]))
			return nil
		})
	}
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

// slowCalls makes all plain services slower than any drain.
func (d *deployment) slowCalls() {
	for _, b := range d.backends {
		if b.plainService != nil {
			b.plainService.Faults.SlowMillis.Store(longCallMillis)
		}
	}
}

// TestDrainEndAnswersOpenRequests guards against connections that an entry host closes without an answer
// when its drain ends with open requests.
func TestDrainEndAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	for _, tt := range drainEnds {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, layout{
				entries: 1, engines: 1, plainServices: 1,
				changeEntry: func(s *process.Entry) { s.DrainSeconds = tt.drainSeconds },
			})
			d.waitKeyBinding(t)
			d.slowCalls()
			requests := wholeRequests()
			group := openAtBackends(t, d, requests)
			for range tt.signals {
				d.entries[0].terminate()
				waitLeaving(d.entries[0])
			}
			is.NoErr(group.Wait())
			for _, r := range requests {
				r.check(t, http.StatusBadGateway, resultcode.DrainCut)
			}
			is.Equal(d.entries[0].exitCode(), 0)
		})
	}
}

// waitLeaving waits until an entry host refuses work or has ended.
func waitLeaving(e *entryHost) {
	for e.running() {
		response, err := http.Get("http://" + e.settings.CallerAddress + "/healthz") //nolint:noctx // bounded by the test
		if err != nil {
			return
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return
		}
		time.Sleep(pollMillis * time.Millisecond)
	}
}

// TestDrainEndShowsCutStreams guards against a stream of HTTP/1.0, whose body ends with its connection,
// that looks complete when a drain cuts it.
func TestDrainEndShowsCutStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, changeEntry: func(s *process.Entry) { s.DrainSeconds = 1 }})
	body := newRequest("programme", prompts(1, longTokens)[0]).body(true)
	head := "POST /v1/completions HTTP/1.0\r\n" + accountHeaders("programme") + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	conn := dialCaller(t, d.entries[0])
	_, err := conn.Write(append([]byte(head), body...))
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 2000))
	is.NoErr(err)
	d.entries[0].terminate()
	rest, err := io.ReadAll(conn)
	ended := strings.Contains(string(rest), resultcode.DrainCut.String())
	is.True(ended || err != nil)
	is.Equal(d.entries[0].exitCode(), 0)
}

// TestDrainEndAnswersRequestBeingRead guards against an entry host that ends while it reads a request and
// closes the connection without an answer.
func TestDrainEndAnswersRequestBeingRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1})
	conn := dialCaller(t, d.entries[0])
	_, err := io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\n"+accountHeaders("programme")+"Content-Length: 100\r\n\r\n{")
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	d.entries[0].terminate()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(httpapi.HeaderResult), strconv.Itoa(int(resultcode.Leaving)))
	is.Equal(d.entries[0].exitCode(), 0)
}

// TestDrainClosesKeptConnections guards against callers that keep sending over open connections to an
// entry host that drains, since its responses don't say that the connection ends.
func TestDrainClosesKeptConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1})
	c := newCaller(d.entries[0])
	kept := newCaller(d.entries[0])
	kept.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	is.NoErr(d.checkUnstreamed(kept, newRequest("programme", "tokens=5 before")))
	streams := newReaderGroup(d, "programme", prompts(1, 200), c)
	streams.started.Wait()
	d.entries[0].terminate()
	waitDraining(t, d.entries[0].program, d.entries[0].settings.PeerAddress)
	response, err := kept.send(t.Context(), http.MethodPost, "/v1/completions",
		newRequest("programme", "").header(), newRequest("programme", "tokens=5 after").body(false))
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close)
	streams.checkComplete(t, d)
	is.Equal(d.entries[0].exitCode(), 0)
}

// accountHeaders returns the first header lines of a request of the default account.
func accountHeaders(class string) string {
	return "Host: entry\r\n" + httpapi.HeaderAccount + ": " + account + "\r\n" + httpapi.HeaderClass + ": " + class + "\r\n"
}

// dialCaller opens a connection to an entry host, which the test's end closes.
func dialCaller(t *testing.T, e *entryHost) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", e.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(waitDeadline()); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestDrainEndsInTimeBesideSlowHostList guards against a drain that outlives its deadline since the host
// list, which it notifies first, doesn't answer.
func TestDrainEndsInTimeBesideSlowHostList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const endMillis = 1800 // the deadline, and time to send the result
	d := newDeployment(t, layout{
		entries: 1, engines: 1,
		changeEntry:   func(s *process.Entry) { s.DrainSeconds = 1 },
		changeBackend: func(s *process.Backend) { s.DrainSeconds = 1 },
	})
	d.waitKeyBinding(t)
	d.site.HostList.Faults.SlowMillis.Store(longCallMillis)
	for _, p := range []*program{d.backends[0].program, d.entries[0].program} {
		prompt := prompts(1, longTokens)[0]
		s, err := newCaller(d.entries[0]).stream(newRequest("programme", prompt))
		is.NoErr(err)
		answer := newTranscript(d.output(prompt))
		is.NoErr(answer.readUntil(s, tokensBeforeFault))
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

// TestBackendDrainEndReportsResults guards against entry hosts that learn nothing of the requests that a
// process beside a backend server cuts when its drain ends.
func TestBackendDrainEndReportsResults(t *testing.T) {
	t.Parallel()
	for _, tt := range drainEnds {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, layout{entries: 1, engines: 1, plainServices: 1, changeBackend: tt.changeBackend})
			d.waitKeyBinding(t)
			d.slowCalls()
			requests := wholeRequests()
			group := openAtBackends(t, d, requests)
			d.waitGenerations(t, 2)
			for _, b := range d.backends {
				tt.stop(t, b)
			}
			is.NoErr(group.Wait())
			for _, r := range requests {
				r.check(t, http.StatusBadGateway, resultcode.DrainCut)
			}
			for _, b := range d.backends {
				is.Equal(b.exitCode(), 0)
			}
		})
	}
}

// TestBackendDrainEndReleasesWaiting guards against requests that wait in the queue of a backend server
// whose drain ends, and that end as if they might have run.
func TestBackendDrainEndReleasesWaiting(t *testing.T) {
	t.Parallel()
	for _, tt := range drainEnds {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, layout{entries: 1, engines: 1, changeBackend: func(s *process.Backend) {
				tt.changeBackend(s)
				s.MaxRunning = 1
			}})
			d.waitKeyBinding(t)
			requests := wholeRequests()[:2]
			first, waiting := requests[:1], requests[1:]
			firstGroup := openAtBackends(t, d, first)
			d.waitGenerations(t, 1)
			waitingGroup := openAtBackends(t, d, waiting)
			eventually(t, "a request waits", func() error {
				if open, err := d.openRequests(); err != nil || open[d.backends[0]] < 2 {
					return errors.Newf("open requests: %v, %v", open, err)
				}
				return nil
			})
			tt.stop(t, d.backends[0])
			is.NoErr(firstGroup.Wait())
			is.NoErr(waitingGroup.Wait())
			first[0].check(t, http.StatusBadGateway, resultcode.DrainCut)
			waiting[0].check(t, http.StatusServiceUnavailable, resultcode.Leaving)
			is.Equal(d.backends[0].exitCode(), 0)
		})
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

func (e drainEnd) changeBackend(s *process.Backend) { s.DrainSeconds = e.drainSeconds }

// stop begins the drain of a process, and ends it if it has no deadline.
func (e drainEnd) stop(t *testing.T, b *backendServer) {
	t.Helper()
	b.terminate()
	waitDraining(t, b.program, b.settings.PeerAddress)
	if e.signals > 1 {
		b.terminate()
	}
}

// check checks how the request ended.
func (r *openRequest) check(t *testing.T, status int, result resultcode.Code) {
	t.Helper()
	if r.err != nil || r.reply.status != status || resultOfReply(r.reply) != result {
		t.Errorf("%s: status %d, result %v, error %v, %s", r.name, r.reply.status, resultOfReply(r.reply), r.err, r.reply.body)
	}
}

// TestIdleBackendDrainKeepsKeys guards against a call whose key is bound to a backend server that leaves
// and ends before the call arrives, so that the key is spent although nothing has run.
func TestIdleBackendDrainKeepsKeys(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const callers, logMillis = 12, 200
	d := newDeployment(t, layout{entries: 1, engines: 1, plainServices: 2})
	d.waitKeyBinding(t)
	d.site.Journal.Faults.SlowMillis.Store(logMillis)
	var group errgroup.Group
	for n := range callers {
		group.Go(func() error {
			r, err := newCaller(d.entries[0]).call(http.MethodPost, "/bookings", newKey())
			if err != nil || r.status != http.StatusOK {
				t.Errorf("booking %d: status %d, error %v, %s", n, r.status, err, r.body)
			}
			return nil
		})
	}
	sleepMillis(t, logMillis/2)
	draining := d.backends[1]
	draining.terminate()
	is.NoErr(group.Wait())
	is.Equal(draining.exitCode(), 0)
	is.Equal(d.backends[1].plainService.Bookings()+d.backends[2].plainService.Bookings(), callers)
}

// TestDrainCutCallIsAnsweredElsewhere checks that a call whose key is bound while its entry host drains, and
// which the end of the drain cuts, gets its answer from its only run when the caller repeats it.
func TestDrainCutCallIsAnsweredElsewhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const logMillis, runMillis = 100, 8000
	d := newDeployment(t, layout{entries: 2, engines: 1, plainServices: 1, changeEntry: func(s *process.Entry) { s.DrainSeconds = 4 }})
	d.waitKeyBinding(t)
	service := d.backends[1].plainService
	service.Faults.SlowMillis.Store(runMillis)
	d.site.Journal.Faults.SlowMillis.Store(logMillis)
	key := newKey()
	cut := &openRequest{name: "booking", send: func(c *caller) (reply, error) { return c.call(http.MethodPost, "/bookings", key) }}
	var group errgroup.Group
	group.Go(func() error {
		cut.reply, cut.err = cut.send(newCaller(d.entries[0]))
		return nil
	})
	sleepMillis(t, logMillis/2)
	is.Equal(service.Received(), 0)
	d.entries[0].terminate()
	is.NoErr(group.Wait())
	cut.check(t, http.StatusBadGateway, resultcode.DrainCut)
	repeated, err := cut.send(newCaller(d.entries[1]))
	is.NoErr(err)
	is.Equal(repeated.status, http.StatusOK)
	is.Equal(service.Bookings(), 1)
	is.Equal(d.entries[0].exitCode(), 0)
}

// drainCallers is the number of callers of each kind of connection around a drain.
const drainCallers = 8

// TestDrainUnderLoadAnswersEachRequest guards against a connection that an entry host closes although it
// carries a request, in the moment in which the host ends.
func TestDrainUnderLoadAnswersEachRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1})
	entry := d.entries[0]
	var group errgroup.Group
	for n := range 2 * drainCallers {
		c := newCaller(entry)
		if n%2 == 0 {
			c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		}
		group.Go(func() error {
			defer c.client.CloseIdleConnections()
			for i := 0; ; i++ {
				r, err := c.complete(newRequest("programme", fmt.Sprintf("tokens=1 caller %d, request %d", n, i)))
				if errors.Is(err, syscall.ECONNREFUSED) {
					return nil
				}
				if err != nil || r.status != http.StatusOK && resultOfReply(r) != resultcode.Leaving {
					t.Errorf("caller %d, request %d: status %d, error %v, %s", n, i, r.status, err, r.body)
				}
				sleepMillis(t, 1+i%7)
			}
		})
	}
	sleepMillis(t, 1000)
	entry.terminate()
	is.NoErr(group.Wait())
	is.Equal(entry.exitCode(), 0)
}

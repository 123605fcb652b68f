package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// TestDrainEndAnswersOpenRequests guards against connections that an entry host closes without an answer
// when its drain ends with open requests.
func TestDrainEndAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	for _, tt := range drainEnds {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d, requests, group := openAtDrainEnd(t, layout{
				entries: 1, engines: 1, plainServices: 1,
				changeEntry: entryDrainSeconds(tt.drainSeconds),
			})
			for range tt.signals {
				d.entries[0].terminate()
				waitLeaving(d.entries[0])
			}
			checkDrainCut(t, group, requests...)
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
	d := newDeployment(t, layout{entries: 1, engines: 1, changeEntry: entryDrainSeconds(1)})
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
	kept := newKeepingCaller(d.entries[0])
	is.NoErr(d.checkUnstreamed(kept, newRequest("programme", "tokens=5 before")))
	streams := newReaderGroup(d, "programme", prompts(1, 200), c)
	streams.started.Wait()
	beginDrain(t, d.entries[0].program, d.entries[0].settings.PeerAddress)
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

// TestDrainCutCallIsAnsweredElsewhere checks that a call whose key is bound while its entry host drains, and
// which the end of the drain cuts, gets its answer from its only run when the caller repeats it.
func TestDrainCutCallIsAnsweredElsewhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const logMillis, runMillis = 100, 8000
	d := newDeployment(t, layout{entries: 2, engines: 1, plainServices: 1, changeEntry: entryDrainSeconds(4)})
	d.waitKeyBinding(t)
	service := d.backends[1].plainService
	service.Faults.SlowMillis.Store(runMillis)
	d.site.Journal.Faults.SlowMillis.Store(logMillis)
	key := newKey()
	cut := &openRequest{name: "booking", send: func(c *caller) (reply, error) { return c.call(http.MethodPost, "/bookings", key) }}
	group := sendAll(d.entries[0], []*openRequest{cut})
	sleepMillis(t, logMillis/2)
	is.Equal(service.Received(), 0)
	d.entries[0].terminate()
	checkDrainCut(t, group, cut)
	repeated, err := cut.send(newCaller(d.entries[1]))
	is.NoErr(err)
	is.Equal(repeated.status, http.StatusOK)
	is.Equal(service.Bookings(), 1)
	is.Equal(d.entries[0].exitCode(), 0)
}

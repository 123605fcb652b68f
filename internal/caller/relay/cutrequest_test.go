package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/cutanswer"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	signedHead  = "HTTP/1.1 200 OK\r\nFulmarvalve-Response-Signature: s\r\n"
	wholeAnswer = signedHead + "Content-Length: 12\r\n\r\nwhole answer"
	// unframedHead is the head of an answer that ends with its connection.
	unframedHead = signedHead + "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead  = signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk    = "0\r\n\r\n"
)

// eventChunks returns the events from one to another, each as a chunk.
func eventChunks(from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		event := eventTexts(n, n)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	return text.String()
}

// eventTexts returns the events from one to another.
func eventTexts(from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: d\n\n", n)
	}
	return text.String()
}

// cutRig is a rig whose servers send the answers that belong to each request.
type cutRig struct {
	*hedgeRig
	mu sync.Mutex
	// answers holds the answers to the arrivals of each request by its ID, in order.
	answers map[string][]cutanswer.Answer
	// moved says that the run of each first answer moves to another server before the answer ends.
	moved bool
	// delayMillis, if it is set, returns the time after which an arrival is answered.
	delayMillis func(nth int) int
	client      *http.Client
}

func newCutRig(t *testing.T) *cutRig {
	t.Helper()
	const manyRetries = 100_000
	g := &cutRig{answers: make(map[string][]cutanswer.Answer), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	g.hedgeRig = newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Fulmarvalve-Request-Id")
		g.mu.Lock()
		answers := g.answers[id]
		g.mu.Unlock()
		if g.delayMillis != nil {
			time.Sleep(time.Duration(g.delayMillis(nth)) * time.Millisecond)
		}
		if g.moved && nth == 1 {
			g.sendAndMove(w, id, answers[0])
			return
		}
		answers[min(nth, len(answers))-1].Serve(w, r)
	})
	g.relay.Retries.Slack = manyRetries
	return g
}

// ask sends a request whose arrivals get the answers, and returns what the caller gets and the number of arrivals.
func (g *cutRig) ask(method, path string, answers ...cutanswer.Answer) (got reply, arrivals int) {
	g.t.Helper()
	g.mu.Lock()
	id := fmt.Sprintf("cut-%d", len(g.answers))
	g.answers[id] = answers
	g.mu.Unlock()
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+g.address+path, http.NoBody)
	if err != nil {
		g.t.Fatal(err)
	}
	request.Host = "desk.example"
	request.Header.Set("Fulmarvalve-Request-Id", id)
	response, err := g.client.Do(request)
	if err != nil {
		return reply{err: err}, g.arrivalsOf(id)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), err: err}, g.arrivalsOf(id)
}

// mixedCuts returns the text cut after each number of bytes below the given one. How the connection ends,
// and the segments, take turns; the last cut comes in all ways.
func mixedCuts(text string, below int) []cutanswer.Answer {
	const ways = 4
	var cuts []cutanswer.Answer
	for n, cut := range cutanswer.Cuts(text, below) {
		if n%ways == (n/ways)%ways || cut.Bytes == below-1 {
			cuts = append(cuts, cut)
		}
	}
	return cuts
}

// cutCalls are answers to calls, with the number of bytes below which a cut shows; zero for all of them.
var cutCalls = map[string]struct {
	method, text string
	below        int
}{
	"length":              {http.MethodPost, wholeAnswer, 0},
	"chunked":             {http.MethodPost, chunkedHead + "6\r\nwhole \r\n6\r\nanswer\r\n" + lastChunk, 0},
	"ends with":           {http.MethodPost, unframedHead + "whole answer", len(unframedHead)},
	"head only":           {http.MethodHead, signedHead + "Content-Length: 12\r\n\r\n", 0},
	"no content":          {http.MethodPost, strings.Replace(signedHead, "200 OK", "204 No Content", 1) + "\r\n", 0},
	"not modified":        {http.MethodPost, strings.Replace(signedHead, "200 OK", "304 Not Modified", 1) + "\r\n", 0},
	"after other answers": {http.MethodPost, cutHints + cutForeign + wholeAnswer, 0},
}

// TestCutAnswerReachesNoCaller guards against a success, or a promise that the request has not run, that
// a caller gets for an answer that its server broke off. A request that may run again is sent again.
func TestCutAnswerReachesNoCaller(t *testing.T) {
	for name, tt := range cutCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newCutRig(t)
			for _, cut := range mixedCuts(tt.text, cmp.Or(tt.below, len(tt.text))) {
				got, arrivals := g.ask(tt.method, unsafePath, cut)
				if got.err != nil || got.status != http.StatusBadGateway || arrivals != 1 {
					t.Fatalf("once only, %v: got %+v after %d arrivals", cut, got, arrivals)
				}
				whole := cutanswer.Whole(tt.text)
				got, arrivals = g.ask(tt.method, safePath, cut, whole)
				if got.err != nil || got.status/100 > 3 || arrivals != 2 || !strings.HasSuffix(tt.text, "\r\n\r\n"+got.body) && name != "chunked" {
					t.Fatalf("repeatable, %v: got %+v after %d arrivals", cut, got, arrivals)
				}
			}
			is.True(g.log.count("answer lost") > 0)
		})
	}
}

// TestCutAnswerOfHedgedCall guards against a hedged call that ends with an answer of one attempt that its
// server broke off, while the other attempt is open.
func TestCutAnswerOfHedgedCall(t *testing.T) {
	for name, tt := range map[string]struct {
		// firstMillis and secondMillis are the times after which the attempts are answered.
		firstMillis, secondMillis int
		// firstCut and secondCut say which of the answers is cut.
		firstCut, secondCut bool
		status              int
		outcome             string
	}{
		"first cut, hedge open": {2 * lateMillis, 3 * lateMillis, true, false, http.StatusOK, metrics.HedgeSecondWon},
		"hedge cut, first open": {3 * lateMillis, 0, false, true, http.StatusOK, metrics.HedgeFirstWon},
		"both cut":              {2 * lateMillis, 0, true, true, http.StatusBadGateway, metrics.HedgeBothFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newCutRig(t)
			g.delayMillis = func(nth int) int {
				if nth == 1 {
					return tt.firstMillis
				}
				return tt.secondMillis
			}
			const step = 27
			for bytes := 9; bytes < len(wholeAnswer); bytes += step {
				answers := []cutanswer.Answer{cutanswer.Whole(wholeAnswer), cutanswer.Whole(wholeAnswer)}
				for i, cut := range []bool{tt.firstCut, tt.secondCut} {
					if cut {
						answers[i].Bytes = bytes
					}
				}
				got, arrivals := g.ask(http.MethodPost, safePath, answers...)
				is.NoErr(got.err)
				is.Equal(got.status, tt.status)
				is.Equal(arrivals, 2)
				is.True(got.status != http.StatusOK || got.body == "whole answer")
			}
			is.True(g.outcomes()[tt.outcome] > 0)
		})
	}
}

// TestCutStreamIsNotComplete guards against a stream that reaches its caller as complete although an
// answer that it came from was broken off. Answers follow one another; an arrival after them is refused.
func TestCutStreamIsNotComplete(t *testing.T) {
	const events = 4
	first := cutanswer.Whole(chunkedHead + eventChunks(1, 2)) // without the last chunk
	refused := cutanswer.Whole("HTTP/1.1 503 Service Unavailable\r\nFulmarvalve-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	for name, tt := range map[string]struct {
		path string
		// before is the number of events in the answer before the one that is cut; zero for none.
		before int
		// unframed says that the answer that is cut ends with its connection, so that a cut shows
		// until its first event.
		unframed bool
		// moved says that the run moves. Otherwise a second answer is one of a new generation.
		moved bool
	}{
		"only answer":                  {streamPath, 0, false, false},
		"only answer, unframed":        {streamPath, 0, true, false},
		"resumed":                      {resumablePath, 2, false, false},
		"resumed, unframed":            {resumablePath, 2, true, false},
		"at the copy":                  {streamPath, 2, false, true},
		"at the copy, unframed":        {streamPath, 2, true, true},
		"resumable, at copy, unframed": {resumablePath, 2, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newCutRig(t)
			g.moved = tt.moved
			var before []cutanswer.Answer
			if tt.before > 0 {
				before = append(before, first)
			}
			text := chunkedHead + eventChunks(tt.before+1, events) + lastChunk
			below := len(text)
			if tt.unframed {
				text, below = unframedHead+eventTexts(tt.before+1, events), len(unframedHead)+1
			}
			for _, cut := range mixedCuts(text, below) {
				got, _ := g.ask(http.MethodPost, tt.path, append(slices.Clone(before), cut, refused)...)
				if got.err == nil && got.status != http.StatusBadGateway {
					t.Errorf("%v: got %+v", cut, got)
				}
				if got.status == http.StatusOK && !strings.HasPrefix(eventTexts(1, events), got.body) {
					t.Errorf("%v: got %+v", cut, got)
				}
			}
			whole, _ := g.ask(http.MethodPost, tt.path, append(slices.Clone(before), cutanswer.Whole(text), refused)...)
			if whole.err != nil || whole.body != eventTexts(1, events) {
				t.Errorf("whole: got %+v", whole)
			}
		})
	}
}

// sendAndMove sends an answer and announces that its run has moved to another server, before it closes the
// connection.
func (g *cutRig) sendAndMove(w http.ResponseWriter, id string, answer cutanswer.Answer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, answer.Text)
	source := conn.LocalAddr().String()
	runs := func() bool {
		return slices.ContainsFunc(g.relay.Migrations.RunsOn(source), func(r StreamRun) bool { return r.RequestID == id })
	}
	for deadline := time.Now().Add(time.Second); !runs() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	destination := g.servers[0].Listener.Addr().String()
	if destination == source {
		destination = g.servers[1].Listener.Addr().String()
	}
	g.relay.Migrations.Announce(Migration{
		RequestID: id, Stopped: true, Source: platform.Handle{Address: source, ID: "h"}, Destination: destination,
	})
}

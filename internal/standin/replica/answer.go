package replica

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/cutanswer"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// earlierRefusal is the refusal of an earlier request.
const earlierRefusal = "HTTP/1.1 503 Service Unavailable\r\nFulmarvalve-Request-Id: earlier\r\n" +
	"Fulmarvalve-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nfull"

// lateCrashMillis is the time from an answer until the server crashes because of its request.
const lateCrashMillis = 20

// answer handles one request to a service. Unless Faults.AnswerEarly is set, it does not
// run a request that expects another server, that Faults.Decline refuses, or that resumes
// a run without a valid handle.
func (r *Replica) answer(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	early, raw := r.faults.AnswerEarly, r.faults.Raw
	r.mu.Unlock()
	if early {
		r.answerEarly(w, q)
		return
	}
	body := raw.readBody(q)
	arrival := &Arrival{At: time.Now(), Method: q.Method, Target: q.RequestURI, Header: q.Header.Clone(), Body: string(body)}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival)
	faults := r.faults
	if r.rateLimit != "" {
		w.Header().Set("Server-Limit", r.rateLimit)
	}
	r.mu.Unlock()
	beginAnswer(w, q, faults)
	id, ended := r.identity()
	if expected := q.Header.Get("Fulmarvalve-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Fulmarvalve-Replica-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if faults.Decline || !r.hasValidHandle(q) {
		if faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		w.Header().Set("Fulmarvalve-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	arrival.Ran = true
	r.mu.Unlock()
	if !faults.Unsigned {
		w.Header().Set("Fulmarvalve-Response-Signature", id)
	}
	if faults.Raw != nil {
		faults.Raw.send(w, q)
		return
	}
	if faults.Endless != nil {
		faults.Endless.send(w, q)
		return
	}
	if faults.CutHead != 0 && !faults.CutCopies {
		cutHead(w, faults)
		return
	}
	if q.Header.Get("Fulmarvalve-Token-Usage") != "" && faults.Status == 0 {
		r.stream(w, q, arrival, faults)
		return
	}
	r.answerPlain(w, q, arrival, faults, ended)
}

// answerPlain runs a request of a plain service and answers it. The request is broken when the
// server ends.
func (r *Replica) answerPlain(w http.ResponseWriter, q *http.Request, arrival *Arrival, faults Faults, ended <-chan struct{}) {
	r.runPlain(q, arrival, ended, faults.RunMillis)
	if faults.Crashes(*arrival) && !faults.CrashAfterAnswer {
		r.OnCrash()
		r.holdDark(q)
		panic(http.ErrAbortHandler)
	}
	r.holdDark(q)
	r.plain(w, faults)
	r.note(&arrival.AnsweredAt)
	if faults.Crashes(*arrival) {
		time.Sleep(lateCrashMillis * time.Millisecond)
		r.OnCrash()
	}
}

// beginAnswer sets the headers of every answer, after what a fault writes before it.
func beginAnswer(w http.ResponseWriter, q *http.Request, faults Faults) {
	for range faults.EarlierRefusals {
		_, _ = io.WriteString(serving.Conn(q), earlierRefusal)
	}
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Fulmarvalve-Request-Id", q.Header.Get("Fulmarvalve-Request-Id"))
}

// note sets a time of an arrival to now.
func (r *Replica) note(at *time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*at = time.Now()
}

// runPlain runs a request of a plain service. The request is broken when the server ends.
func (r *Replica) runPlain(q *http.Request, arrival *Arrival, ended <-chan struct{}, millis int) {
	r.holdHung(q)
	select {
	case <-ended:
		panic(http.ErrAbortHandler)
	case <-q.Context().Done():
		r.note(&arrival.DisconnectedAt)
		panic(http.ErrAbortHandler)
	case <-time.After(time.Duration(millis) * time.Millisecond):
	}
}

// answerEarly responds to a request before it reads the body. The arrival holds the
// part of the body that came until the client closed the connection, at most for
// lateReadMillis.
func (r *Replica) answerEarly(w http.ResponseWriter, q *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id, _ := r.identity()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Response-Signature: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", q.Header.Get("Fulmarvalve-Request-Id"), id, len(plainBody), plainBody)
	_ = buffer.Flush()
	_ = conn.SetReadDeadline(time.Now().Add(lateReadMillis * time.Millisecond))
	body, _ := io.ReadAll(buffer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, &Arrival{At: time.Now(), Method: q.Method, Target: q.RequestURI, Header: q.Header.Clone(), Body: string(body), Ran: true})
}

// hasValidHandle reports whether a request that resumes a migrated run has a valid
// handle of a copy. Other requests need none.
func (r *Replica) hasValidHandle(q *http.Request) bool {
	from := q.Header.Get("Kv-From")
	return from == "" || r.Group.redeem(from, q.Header.Get("Fulmarvalve-Request-Id"))
}

// cutHead sends the beginning of the head of an answer and closes the connection.
func cutHead(w http.ResponseWriter, faults Faults) {
	var head strings.Builder
	_, _ = head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(plainBody))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	cut := cutanswer.CutBefore(head.String(), faults.CutHead)
	cut.Reset = faults.CutByReset
	cut.Send(conn)
}

// plain responds as a plain service.
func (r *Replica) plain(w http.ResponseWriter, faults Faults) {
	const body = plainBody
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	if faults.ForeignAnswer {
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: another\r\n" +
			"Fulmarvalve-Response-Signature: other\r\nContent-Length: 5\r\n\r\nother")
	}
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.Header().Write(buffer)
	if !faults.NoContentLength {
		_, _ = fmt.Fprintf(buffer, "Content-Length: %d\r\n", len(body))
	}
	sent := body
	if faults.TruncateBody {
		sent = body[:len(body)/2]
	}
	_, _ = buffer.WriteString("\r\n" + sent)
	_ = buffer.Flush()
}

// stream generates the events after the last one that the client received. The
// Fulmarvalve-Token-Usage header holds the size of the prompt and the maximum size of
// the output, in tokens, separated by a comma; the output always has the maximum size.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request, arrival *Arrival, faults Faults) {
	id := q.Header.Get("Fulmarvalve-Request-Id")
	prompt, output, _ := strings.Cut(q.Header.Get("Fulmarvalve-Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	outputTokens, _ := strconv.Atoi(output)
	running := &run{tokens: promptTokens, stop: make(chan struct{})}
	r.addRun(id, running)
	defer r.removeRun(id)
	_, ended := r.identity()
	w.Header().Set("Content-Type", "text/event-stream")
	if faults.EndByClose {
		// The server of net/http then sends no chunks and closes the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	for event := number(q.Header, "Last-Event-Id") + 1; event <= outputTokens/eventTokens; event++ {
		select {
		case <-running.stop:
			panic(http.ErrAbortHandler)
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			r.note(&arrival.DisconnectedAt)
			return
		case <-time.After(eventMillis * time.Millisecond):
		}
		if faults.StallBefore != 0 && event == faults.StallBefore {
			stall(w, q, ended, faults)
		}
		if faults.Crashes(*arrival) || (faults.CrashAfter != 0 && event > faults.CrashAfter) {
			_ = http.NewResponseController(w).Flush()
			r.OnCrash()
			r.holdDark(q)
			panic(http.ErrAbortHandler)
		}
		r.holdDark(q)
		if r.shutDownWithRuns() {
			r.note(&arrival.BrokenAt)
			panic(http.ErrAbortHandler)
		}
		if faults.BreakAfter != 0 && event > faults.BreakAfter {
			r.note(&arrival.BrokenAt)
		}
		r.sendEvent(w, running, event, faults)
	}
	if q.Context().Err() == nil {
		r.note(&arrival.AnsweredAt)
	}
}

// Crashes reports whether the server calls Replica.OnCrash under a request.
func (f Faults) Crashes(a Arrival) bool {
	if f.CrashPart != "" && strings.Contains(a.Header.Get("Fulmarvalve-Prompt-Prefix"), f.CrashPart+":") {
		return true
	}
	return f.CrashText != "" && strings.Contains(a.Target+" "+a.Body, f.CrashText)
}

// stall waits for the time of the fault, or until the client is gone or the server ends.
func stall(w http.ResponseWriter, q *http.Request, ended <-chan struct{}, faults Faults) {
	end := time.After(time.Duration(faults.StallMillis) * time.Millisecond)
	var drip <-chan time.Time
	if faults.DripMillis > 0 {
		ticker := time.NewTicker(time.Duration(faults.DripMillis) * time.Millisecond)
		defer ticker.Stop()
		drip = ticker.C
	}
	for {
		select {
		case <-end:
			return
		case <-ended:
			return
		case <-q.Context().Done():
			return
		case <-drip:
			_, _ = io.WriteString(w, ":")
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// sendEvent sends one event, or breaks the stream if a fault requires it.
func (r *Replica) sendEvent(w http.ResponseWriter, running *run, event int, faults Faults) {
	text := fmt.Sprintf("id: %d\ndata: tokens of event %d\n\n", event, event)
	if faults.BreakAfter != 0 && event > faults.BreakAfter {
		if faults.BreakWithinEvent {
			_, _ = io.WriteString(w, text[:len(text)/2])
		}
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	running.events++
	running.tokens += eventTokens
}

func (r *Replica) addRun(id string, running *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]*run)
	}
	r.runs[id] = running
}

func (r *Replica) removeRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, id)
}

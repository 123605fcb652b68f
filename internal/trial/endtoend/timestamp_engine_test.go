package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

// stampBase is the number base of the timestamps in token texts.
const stampBase = 36

// timestampEngine is an engine without a model. The text of each token is the time
// at which the token was sent.
type timestampEngine struct {
	// staggered makes each generation count its steps from its own start, as the
	// generations of many engines do. Otherwise all generations produce tokens at
	// the same times, as those of one batch do.
	staggered atomic.Bool
	// begin is the time from which timestamps, and steps that are not staggered,
	// are counted.
	begin time.Time
	// stepMicros is the time between two tokens; zero means no pause.
	stepMicros atomic.Int64
	// open counts the running generations.
	open atomic.Int64
	// prompts holds the beginnings of the prompts that have come, up to their first bar.
	prompts sync.Map
}

func newTimestampEngine(stepMillis int64) *timestampEngine {
	e := &timestampEngine{begin: time.Now()}
	e.stepMicros.Store(stepMillis * 1000)
	return e
}

// ServeHTTP serves the part of the engine protocol that the process beside the
// engine uses.
func (e *timestampEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/v1/completions":
		e.complete(w, r)
	case r.URL.Path == "/cache-events":
		_, _ = w.Write([]byte("[]"))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *timestampEngine) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.ResumeFrom != 0 {
		http.Error(w, "invalid completion request", http.StatusNotFound)
		return
	}
	name, _, _ := strings.Cut(c.Prompt, "|")
	e.prompts.Store(name, true)
	e.open.Add(1)
	defer e.open.Add(-1)
	flusher := http.NewResponseController(w)
	tokens := wantedTokens(c.Prompt)
	begin := e.begin
	if e.staggered.Load() {
		begin = time.Now()
	}
	for n := range tokens {
		if n > 0 && !e.pause(r, begin) {
			return
		}
		send(w, engine.Token{RequestID: c.ID, Position: n, Text: e.stamp()})
		_ = flusher.Flush()
	}
	send(w, engine.Finished{RequestID: c.ID, Reason: engine.ReasonStop, Tokens: tokens})
}

// wantedTokens returns the number after "tokens=" in the prompt, or 1 without one.
func wantedTokens(prompt string) int {
	_, rest, _ := strings.Cut(prompt, "tokens=")
	number, _, _ := strings.Cut(rest, " ")
	tokens, err := strconv.Atoi(number)
	if err != nil {
		return 1
	}
	return tokens
}

// pause waits until the next step, counted from begin. It returns false if the
// request ends first.
func (e *timestampEngine) pause(r *http.Request, begin time.Time) bool {
	step := time.Duration(e.stepMicros.Load()) * time.Microsecond
	if step == 0 {
		return true
	}
	timer := time.NewTimer(step - time.Since(begin)%step)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// stamp returns the text of a token that is sent now.
func (e *timestampEngine) stamp() string {
	return " " + strconv.FormatInt(time.Since(e.begin).Microseconds(), stampBase)
}

// ages returns how long ago each token of a text was sent.
func (e *timestampEngine) ages(text string) []time.Duration {
	now := time.Since(e.begin)
	var all []time.Duration
	for _, stamp := range strings.Fields(text) {
		micros, err := strconv.ParseInt(stamp, stampBase, 64)
		if err == nil {
			all = append(all, now-time.Duration(micros)*time.Microsecond)
		}
	}
	return all
}

func send(w http.ResponseWriter, event engine.Event) {
	data, err := engine.EncodeEvent(event)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

// stampBase is the base of the times in the texts of a pacer's tokens.
const stampBase = 36

// timestampEngine is an engine without a model. The text of each token is the time at
// which it was sent.
type timestampEngine struct {
	// staggered lets each generation keep its own time, as those of many engines
	// do. Else all produce a token at the same moments, as one batch does.
	staggered atomic.Bool
	// begin is what the times count from.
	begin time.Time
	// stepMicros is the time between two tokens.
	stepMicros atomic.Int64
	open       atomic.Int64
}

func newTimestampEngine(stepMillis int64) *timestampEngine {
	p := &timestampEngine{begin: time.Now()}
	p.stepMicros.Store(stepMillis * 1000)
	return p
}

// ServeHTTP serves the part of the engine's protocol that the process beside
// it uses.
func (p *timestampEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/v1/completions":
		p.complete(w, r)
	case r.URL.Path == "/cache-events":
		_, _ = w.Write([]byte("[]"))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *timestampEngine) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.ResumeFrom != 0 {
		http.Error(w, "cannot serve that", http.StatusNotFound)
		return
	}
	p.open.Add(1)
	defer p.open.Add(-1)
	flusher := http.NewResponseController(w)
	tokens := wantedTokens(c.Prompt)
	begin := p.begin
	if p.staggered.Load() {
		begin = time.Now()
	}
	for n := range tokens {
		if n > 0 && !p.pause(r, begin) {
			return
		}
		send(w, engine.Token{RequestID: c.ID, Position: n, Text: p.stamp()})
		_ = flusher.Flush()
	}
	send(w, engine.Finished{RequestID: c.ID, Reason: engine.ReasonStop, Tokens: tokens})
}

// wantedTokens reads the length that the prompt asks for.
func wantedTokens(prompt string) int {
	_, rest, _ := strings.Cut(prompt, "tokens=")
	number, _, _ := strings.Cut(rest, " ")
	tokens, err := strconv.Atoi(number)
	if err != nil {
		return 1
	}
	return tokens
}

// pause waits until the next step, counted from begin.
func (p *timestampEngine) pause(r *http.Request, begin time.Time) bool {
	step := time.Duration(p.stepMicros.Load()) * time.Microsecond
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

func (p *timestampEngine) stamp() string {
	return " " + strconv.FormatInt(time.Since(p.begin).Microseconds(), stampBase)
}

// ages returns how long ago the tokens of a text were sent.
func (p *timestampEngine) ages(text string) []time.Duration {
	now := time.Since(p.begin)
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

package endtoend

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

const (
	// longestMicros is the longest time that a histogram holds.
	longestMicros = 120_000_000
	// histogramDigits is the precision of a histogram.
	histogramDigits = 3
	// faultsShown bounds the faults that are printed.
	faultsShown = 5
)

// latencies is a histogram of times in microseconds.
type latencies struct{ *hdrhistogram.Histogram }

func (h latencies) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestMicros))
}

func (h latencies) millis(quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func (h latencies) String() string {
	return fmt.Sprintf("n %d, p50 %.1f ms, p95 %.1f ms, p99 %.1f ms", h.TotalCount(), h.millis(50), h.millis(95), h.millis(99))
}

// results counts what came of the requests of a scenario.
type results struct {
	mu sync.Mutex
	// series holds times by name.
	series   map[string]latencies
	codes    map[string]int
	faults   []error
	sent     int
	omitted  int
	switches int
	resent   int
	// tokens counts those of complete answers.
	tokens   int
	requests []*sizedRequest
}

func newResults() *results {
	return &results{series: make(map[string]latencies), codes: make(map[string]int)}
}

func (a *results) countOmitted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.omitted++
}

// addTime adds a time to a series; the caller holds mu.
func (a *results) addTime(name string, d time.Duration) {
	h, ok := a.series[name]
	if !ok {
		h = latencies{hdrhistogram.New(1, longestMicros, histogramDigits)}
		a.series[name] = h
	}
	h.add(d)
}

func (a *results) add(r *sizedRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	a.switches += r.switches
	if r.resent {
		a.resent++
	}
	a.tokens += r.tokens
	a.requests = append(a.requests, r)
	if r.fault != nil {
		a.faults = append(a.faults, errors.Wrapf(r.fault, "%s, requests %v", r.kind.name(), r.requests))
		return
	}
	name := r.series()
	a.codes[fmt.Sprintf("%s: %s", name, r.code)]++
	took := r.endedAt.Sub(r.begunAt)
	if r.code.Info().Outcome == resultcode.NotRun {
		a.addTime(fmt.Sprintf("refusal %s", r.code), took)
		return
	}
	if r.code.Info().Outcome != resultcode.Complete {
		return
	}
	a.addTime(name+" answer", took)
	if !r.streamed {
		return
	}
	a.addTime(name+" first token", r.firstAt.Sub(r.begunAt))
	for _, gap := range r.gaps {
		if !r.kind.buffered {
			a.addTime(name+" between tokens", gap)
		}
	}
}

// series names the figures that a request counts towards. What a flooding
// client account sends is kept apart from the requests of others.
func (r *sizedRequest) series() string {
	switch {
	case r.flood:
		return r.kind.name() + " of the flood"
	case r.load.flooded && r.request.account == r.load.company.flooder:
		return r.kind.name() + " of the flooding account"
	default:
		return r.kind.name()
	}
}

// print writes every figure.
func (a *results) print(t *testing.T) {
	t.Helper()
	t.Logf("%d asked, %d left out by the bound of open requests, %d turns to another entry host, %d sent anew since entry host and owner were lost",
		a.sent, a.omitted, a.switches, a.resent)
	for _, name := range slices.Sorted(maps.Keys(a.codes)) {
		t.Logf("  %s %d", name, a.codes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(a.series)) {
		t.Logf("  %s: %s", name, a.series[name])
	}
}

// checkAnswers checks that no whole repeatable answer is lost, and that
// anything is lost only where a host was.
func (a *results) checkAnswers(t *testing.T, hostsLost bool) {
	t.Helper()
	wrong, lost, unknown := len(a.faults), 0, 0
	for _, err := range a.faults[:min(len(a.faults), faultsShown)] {
		t.Logf("  wrong or no answer: %v", err)
	}
	for _, r := range a.requests {
		if r.fault != nil || r.code.Info().Outcome != resultcode.Unknown {
			continue
		}
		unknown++
		if r.kind.repeatable && (!r.streamed || r.kind.buffered) {
			lost++
			t.Logf("  lost: %s %v ended with %s: %s", r.kind.name(), r.requests, r.code, r.reason)
		}
	}
	t.Logf("wrong or no answer %d, whole repeatable answers lost %d, other answers of unknown outcome %d", wrong, lost, unknown-lost)
	if wrong+lost > 0 {
		t.Errorf("%d answers are wrong or missing, %d are lost", wrong, lost)
	}
	if unknown > 0 && !hostsLost {
		t.Errorf("%d answers of unknown outcome while no host was lost", unknown)
	}
}

// checkExecutions checks how often each request ran, at engines and desks.
func (a *results) checkExecutions(t *testing.T, d *deployment, hostsLost bool) {
	t.Helper()
	doubled, again, untrue := 0, 0, 0
	for _, r := range a.requests {
		runs := d.executionsOf(r)
		switch {
		case r.fault == nil && len(r.requests) > 0 && r.code.Info().Outcome == resultcode.NotRun && d.executionsOf(&sizedRequest{requests: r.requests[len(r.requests)-1:]}) > 0:
			untrue++
			t.Logf("  said to be not run, but ran: %s %v %s", r.kind.name(), r.requests, r.code)
		case runs <= 1:
		case r.kind.repeatable && hostsLost:
			again++
		default:
			doubled++
			t.Logf("  ran %d times: %s %v %s", runs, r.kind.name(), r.requests, r.code)
		}
	}
	t.Logf("doubled %d, ran though said not to %d, repeatable ones run again after a loss %d", doubled, untrue, again)
	if doubled+untrue > 0 {
		t.Errorf("%d doubled executions, %d untrue refusals", doubled, untrue)
	}
}

// executionsOf counts the executions of a request under all its identities.
func (d *deployment) executionsOf(r *sizedRequest) int {
	count := 0
	for _, id := range slices.Compact(slices.Sorted(slices.Values(r.requests))) {
		count += d.executions(id)
		for _, b := range d.backends {
			if b.plainService != nil {
				count += b.plainService.Executions(id)
			}
		}
	}
	return count
}

// checkBookings checks that no more were booked than keys were sent.
func (a *results) checkBookings(t *testing.T, booked int) {
	t.Helper()
	complete, undecided := 0, 0
	for _, r := range a.requests {
		switch {
		case r.kind.name() != "POST /bookings":
		case r.fault == nil && r.code == resultcode.OK:
			complete++
		case r.fault != nil || r.code.Info().Outcome == resultcode.Unknown:
			undecided++
		}
	}
	t.Logf("bookings at the desks %d, answered %d, of unknown outcome %d", booked, complete, undecided)
	if booked < complete || booked > complete+undecided {
		t.Errorf("%d bookings at the desks for %d answered and %d undecided keys", booked, complete, undecided)
	}
}

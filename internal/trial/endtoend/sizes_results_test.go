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
	// longestMicros is the longest time that a histogram can record; longer times
	// are recorded as this one.
	longestMicros = 120_000_000
	// histogramDigits is the precision of a histogram in significant digits.
	histogramDigits = 3
	// faultsShown is the number of faults that are logged.
	faultsShown = 5
)

// latencies is a histogram of durations in microseconds.
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

// results holds the results of the requests of a scenario.
type results struct {
	mu sync.Mutex
	// series holds durations by name.
	series map[string]latencies
	// codes counts requests by series and result code.
	codes    map[string]int
	faults   []error
	sent     int
	omitted  int
	switches int
	resent   int
	// tokens counts the tokens of complete answers.
	tokens   int
	requests []*sizedRequest
}

func newResults() *results {
	return &results{series: make(map[string]latencies), codes: make(map[string]int)}
}

// countOmitted counts a request that was not sent because maxBacklog requests were open.
func (rs *results) countOmitted() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.omitted++
}

// addTime adds a duration to a series. The caller must hold mu.
func (rs *results) addTime(name string, d time.Duration) {
	h, ok := rs.series[name]
	if !ok {
		h = latencies{hdrhistogram.New(1, longestMicros, histogramDigits)}
		rs.series[name] = h
	}
	h.add(d)
}

// add adds the result of a finished request.
func (rs *results) add(r *sizedRequest) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.sent++
	rs.switches += r.switches
	if r.resent {
		rs.resent++
	}
	rs.tokens += r.tokens
	rs.requests = append(rs.requests, r)
	if r.fault != nil {
		rs.faults = append(rs.faults, errors.Wrapf(r.fault, "%s, requests %v", r.kind.name(), r.requests))
		return
	}
	name := r.series()
	rs.codes[fmt.Sprintf("%s: %s", name, r.code)]++
	took := r.endedAt.Sub(r.begunAt)
	if r.code.Info().Outcome == resultcode.NotRun {
		rs.addTime(fmt.Sprintf("refusal %s", r.code), took)
		return
	}
	if r.code.Info().Outcome != resultcode.Complete {
		return
	}
	rs.addTime(name+" answer", took)
	if !r.streamed {
		return
	}
	rs.addTime(name+" first token", r.firstAt.Sub(r.begunAt))
	for _, gap := range r.gaps {
		if !r.kind.buffered {
			rs.addTime(name+" between tokens", gap)
		}
	}
}

// series returns the name under which a request is counted. Requests of a flooding
// client account are counted separately from those of others.
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

// print logs all counts and durations.
func (rs *results) print(t *testing.T) {
	t.Helper()
	t.Logf("%d requests sent, %d omitted at the limit of open requests, %d retries at another entry host, %d sent anew after the loss of both entry host and owner",
		rs.sent, rs.omitted, rs.switches, rs.resent)
	for _, name := range slices.Sorted(maps.Keys(rs.codes)) {
		t.Logf("  %s %d", name, rs.codes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(rs.series)) {
		t.Logf("  %s: %s", name, rs.series[name])
	}
}

// checkAnswers checks that no answer is wrong, that no idempotent answer which is
// delivered only as a whole is lost, and that outcomes are unknown only if a host was
// lost.
func (rs *results) checkAnswers(t *testing.T, hostsLost bool) {
	t.Helper()
	wrong, lost, unknown := len(rs.faults), 0, 0
	for _, err := range rs.faults[:min(len(rs.faults), faultsShown)] {
		t.Logf("  wrong or missing answer: %v", err)
	}
	for _, r := range rs.requests {
		if r.fault != nil || r.code.Info().Outcome != resultcode.Unknown {
			continue
		}
		unknown++
		if r.kind.repeatable && (!r.streamed || r.kind.buffered) {
			lost++
			t.Logf("  lost answer: %s %v ended with %s: %s", r.kind.name(), r.requests, r.code, r.reason)
		}
	}
	t.Logf("%d wrong or missing answers, %d lost idempotent answers of those delivered only as a whole, %d other answers of unknown outcome", wrong, lost, unknown-lost)
	if wrong+lost > 0 {
		t.Errorf("%d answers are wrong or missing, %d idempotent answers that are delivered only as a whole are lost", wrong, lost)
	}
	if unknown > 0 && !hostsLost {
		t.Errorf("%d answers have an unknown outcome although no host was lost", unknown)
	}
}

// checkExecutions checks how often each request ran, at engines and plain services: at
// most once, except for idempotent requests after the loss of a host, and not at all if
// its answer says so.
func (rs *results) checkExecutions(t *testing.T, d *deployment, hostsLost bool) {
	t.Helper()
	doubled, rerun, misreported := 0, 0, 0
	for _, r := range rs.requests {
		runs := d.executionsOf(r)
		switch {
		case r.fault == nil && len(r.requests) > 0 && r.code.Info().Outcome == resultcode.NotRun && d.executionsOf(&sizedRequest{requests: r.requests[len(r.requests)-1:]}) > 0:
			misreported++
			t.Logf("  answered as not run, but ran: %s %v %s", r.kind.name(), r.requests, r.code)
		case runs <= 1:
		case r.kind.repeatable && hostsLost:
			rerun++
		default:
			doubled++
			t.Logf("  ran %d times: %s %v %s", runs, r.kind.name(), r.requests, r.code)
		}
	}
	t.Logf("%d requests ran more than once, %d ran although answered as not run, %d idempotent requests ran again after a loss", doubled, misreported, rerun)
	if doubled+misreported > 0 {
		t.Errorf("%d requests ran more than once, %d ran although answered as not run", doubled, misreported)
	}
}

// executionsOf returns the number of executions of a request under all its identifiers.
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

// checkBookings checks that there is a booking for every answered key, and at most one
// for every key of unknown outcome.
func (rs *results) checkBookings(t *testing.T, booked int) {
	t.Helper()
	complete, unknown := 0, 0
	for _, r := range rs.requests {
		switch {
		case r.kind.name() != "POST /bookings":
		case r.fault == nil && r.code == resultcode.OK:
			complete++
		case r.fault != nil || r.code.Info().Outcome == resultcode.Unknown:
			unknown++
		}
	}
	t.Logf("%d bookings at the plain services, %d answered, %d of unknown outcome", booked, complete, unknown)
	if booked < complete || booked > complete+unknown {
		t.Errorf("%d bookings at the plain services for %d answered keys and %d of unknown outcome", booked, complete, unknown)
	}
}

package metrics

import (
	"cmp"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

// VarName is the name of the metrics among the expvar variables.
const VarName = "Fulmarvalve"

// Snapshot holds all metrics of a process at one moment.
type Snapshot struct {
	// WindowEndsAt is the time of the next rotation.
	WindowEndsAt time.Time
	// Series is in order of account and class.
	Series []SeriesSnapshot
	// Overflowed is the number of series look-ups that returned the series Other
	// because the maximum number of series was reached.
	Overflowed int64
	// Results is the number of finished requests by result code.
	Results map[string]int64
	Retries int64
	// LimitedSends is the number of requests that were sent to backend servers with a
	// rate limit.
	LimitedSends int64
	// LongPauses is the number of requests that were placed at an engine at which their
	// streams were forecast to pause for longer than their limits.
	LongPauses int64
	// EventMicros is the usual time between two events of a run of the engine, in
	// microseconds; zero when it is not known.
	EventMicros int64
	// Unresponsive is the number of requests that were placed otherwise because a backend server
	// is unresponsive, by what was done.
	Unresponsive map[string]int64
	// CutAnswers is the number of answers that did not reach their callers completely, by cause.
	CutAnswers map[string]int64
	// AnswerEnds is the number of answers that ended with their connections, without a length or chunks, by
	// the verdict on their ends.
	AnswerEnds map[string]int64
	// RejectedFrames is the number of rejected frames by reason.
	RejectedFrames map[string]int64
	// Moves is the number of planned migrations of generations by outcome.
	Moves map[string]int64
	// MovePause holds the times, in milliseconds, for which migrated generations
	// paused.
	MovePause Quantiles
	// Hedges holds, by outcome, the times in milliseconds from the arrival of a hedged request
	// to its end. Total counts them.
	Hedges map[string]Quantiles
	// StoreCalls is the number of calls to the platform's store by cause.
	StoreCalls []storecalls.Total
	// Received is the memory of what others have sent and is not complete, or not passed on yet.
	Received heldbytes.Usage
	// Callers is what callers make the process hold.
	Callers intake.Usage
}

// SeriesSnapshot holds the metrics of one client account and class.
type SeriesSnapshot struct {
	Account string
	Class   string
	// Stall, FirstToken and BetweenTokens are times in milliseconds.
	Stall         Quantiles
	FirstToken    Quantiles
	BetweenTokens Quantiles
	// Preemptions is the number of preemptions since the process started.
	Preemptions int64
}

// WindowEndsAt returns the time of the next rotation.
func (r *Registry) WindowEndsAt() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.windowEndsAt
}

// Snapshot returns all metrics.
func (r *Registry) Snapshot() Snapshot {
	return Snapshot{
		WindowEndsAt:   r.WindowEndsAt(),
		Series:         r.seriesSnapshots(),
		Overflowed:     r.overflowed.Load(),
		Results:        counts(&r.results),
		Retries:        r.retries.Value(),
		LimitedSends:   r.limitedSends.Value(),
		LongPauses:     r.longPauses.Value(),
		EventMicros:    r.eventMicros.Value(),
		Unresponsive:   counts(&r.unresponsive),
		CutAnswers:     counts(&r.cuts),
		AnswerEnds:     counts(&r.answerEnds),
		RejectedFrames: counts(&r.rejectedFrames),
		Moves:          counts(&r.migrations),
		MovePause:      r.migrationPause.quantiles(),
		Hedges:         r.hedges.quantiles(),
		StoreCalls:     r.StoreCalls.Totals(),
		Received:       r.Received.Usage(),
		Callers:        r.Callers.Usage(),
	}
}

// Var returns the metrics as an expvar variable that is not published.
func (r *Registry) Var() expvar.Var {
	return expvar.Func(func() any { return r.Snapshot() })
}

// Handler returns an HTTP handler that writes the published expvar variables of
// the process and the metrics as one JSON object. The metrics are not published
// under a global name because one process may have several Registries.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = fmt.Fprintf(w, "{\n%q: %s", VarName, r.Var())
		expvar.Do(func(v expvar.KeyValue) {
			if v.Key != VarName {
				_, _ = fmt.Fprintf(w, ",\n%q: %s", v.Key, v.Value)
			}
		})
		_, _ = fmt.Fprint(w, "\n}\n")
	})
}

func (r *Registry) seriesSnapshots() []SeriesSnapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]SeriesSnapshot, 0, len(r.series))
	for key, s := range r.series {
		all = append(all, SeriesSnapshot{
			Account:       key.Account,
			Class:         key.Class,
			Stall:         s.stall.quantiles(),
			FirstToken:    s.firstToken.quantiles(),
			BetweenTokens: s.betweenTokens.quantiles(),
			Preemptions:   s.preemptions.Load(),
		})
	}
	slices.SortFunc(all, func(a, b SeriesSnapshot) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Class, b.Class))
	})
	return all
}

// counts returns the integer counters of an expvar map.
func counts(m *expvar.Map) map[string]int64 {
	all := make(map[string]int64)
	m.Do(func(v expvar.KeyValue) {
		if count, ok := v.Value.(*expvar.Int); ok {
			all[v.Key] = count.Value()
		}
	})
	return all
}

package metrics

import (
	"sync"
	"time"
)

// Outcomes of a hedged request, that is, one that was sent to a second backend server before the
// first one had answered.
const (
	// HedgeFirstWon means that the first attempt was answered first.
	HedgeFirstWon = "FirstWon"
	// HedgeSecondWon means that the second attempt was answered first.
	HedgeSecondWon = "SecondWon"
	// HedgeBothFailed means that neither attempt was answered.
	HedgeBothFailed = "BothFailed"
	// HedgeCancelled means that the caller disconnected before.
	HedgeCancelled = "Cancelled"
)

// hedgeTimers holds the times of hedged requests by outcome. It is safe for concurrent use.
type hedgeTimers struct {
	mu sync.Mutex
	// timers holds one timer for each outcome that has occurred.
	timers map[string]*timer
}

// RecordHedge counts a hedged request by its outcome and records the time from its arrival to its
// end. The outcome must be one of the constants, since the registry keeps a timer for each one.
func (r *Registry) RecordHedge(outcome string, d time.Duration) {
	r.hedges.timer(outcome).record(d)
}

func (h *hedgeTimers) timer(outcome string) *timer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timers == nil {
		h.timers = make(map[string]*timer)
	}
	t, ok := h.timers[outcome]
	if !ok {
		t = &timer{}
		h.timers[outcome] = t
	}
	return t
}

func (h *hedgeTimers) rotate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.timers {
		t.rotate()
	}
}

func (h *hedgeTimers) quantiles() map[string]Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]Quantiles, len(h.timers))
	for outcome, t := range h.timers {
		all[outcome] = t.quantiles()
	}
	return all
}

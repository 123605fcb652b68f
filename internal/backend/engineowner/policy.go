package engineowner

import (
	"math"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// shareUnits is the number of integer shares for a configured share of one.
const shareUnits = 100

// policyOf maps the configured policy to the book's.
func policyOf(p operatorfile.Policy) admission.Policy {
	return admission.Policy{
		StallWeight:            p.StallWeight,
		PreemptionWeight:       p.PreemptionWeight,
		MemoryQuantile:         p.MemoryQuantile,
		UrgentHeadroomPermille: p.UrgentHeadroomPermille,
		QueueLimit:             p.QueueLimit,
	}
}

// sharesOf maps the configured shares to whole numbers.
func sharesOf(accounts []operatorfile.Account) map[string]int {
	shares := make(map[string]int, len(accounts))
	for _, account := range accounts {
		shares[account.Name] = max(1, int(math.Round(account.Share*shareUnits)))
	}
	return shares
}

// pace estimates the time between two tokens of one generation.
type pace struct {
	// micros is the estimate in microseconds; positive.
	micros float64
}

const (
	// paceWeight is the weight of a new measurement.
	paceWeight = 0.02
	// paceCeilingMicros drops gaps that are stalls and not the engine's step.
	paceCeilingMicros = 1_000_000
)

// observe takes the time between two consecutive tokens.
func (p *pace) observe(from, to time.Time) {
	micros := float64(to.Sub(from).Microseconds())
	if micros <= 0 || micros > paceCeilingMicros {
		return
	}
	p.micros += paceWeight * (micros - p.micros)
}

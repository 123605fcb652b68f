package engineowner

import (
	"math"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// shareUnits is the integer share that corresponds to a configured share of 1.
const shareUnits = 100

// policyOf converts the configured policy to the policy of the admission
// controller.
func policyOf(p operatorfile.Policy) admission.Policy {
	return admission.Policy{
		StallWeight:            p.StallWeight,
		PreemptionWeight:       p.PreemptionWeight,
		MemoryQuantile:         p.MemoryQuantile,
		UrgentHeadroomPermille: p.UrgentHeadroomPermille,
		QueueLimit:             p.QueueLimit,
	}
}

// sharesOf converts the configured shares to integer shares of at least 1.
func sharesOf(accounts []operatorfile.Account) map[string]int {
	shares := make(map[string]int, len(accounts))
	for _, account := range accounts {
		shares[account.Name] = max(1, int(math.Round(account.Share*shareUnits)))
	}
	return shares
}

// pace estimates the time between two tokens of one generation.
type pace struct {
	// micros is the estimate in microseconds. It is positive.
	micros float64
}

const (
	// paceWeight is the weight of a new measurement in the moving average.
	paceWeight = 0.02
	// paceCeilingMicros is the longest gap between tokens that is taken into
	// account. Longer gaps are stalls and not the engine's usual step.
	paceCeilingMicros = 1_000_000
)

// observe adds the time between two consecutive tokens to the estimate.
func (p *pace) observe(from, to time.Time) {
	micros := float64(to.Sub(from).Microseconds())
	if micros <= 0 || micros > paceCeilingMicros {
		return
	}
	p.micros += paceWeight * (micros - p.micros)
}

package reconciler

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
)

const (
	// spreadMillisPerReplica spreads the requests of a model's engines, so that
	// about ten a second reach the store.
	spreadMillisPerReplica = 100
	// spreadMaxMillis bounds the spread.
	spreadMaxMillis = 120_000
	// spreadMinMillis is the spread of a few engines.
	spreadMinMillis = 1000
	// refusalFactor is what each refusal by the rate limit leaves of the pause,
	// because fewer engines ask the longer a rollout lasts.
	refusalFactor = 0.9
	// minPauseShare is the least share of the spread that a pause lasts.
	minPauseShare = 0.25
)

// pacing decides when one engine's process asks the store again.
type pacing struct {
	// replicas is the number of engines that may ask at the same time.
	replicas int
	// refusals counts the refusals by the rate limit since the last failure.
	refusals int
	// failures spaces the requests to a store that is down; nil before the
	// first failure.
	failures *backoff.ExponentialBackOff
}

// retryAt returns when the store is asked again after an error.
func (p *pacing) retryAt(err error, now time.Time) time.Time {
	var throttled *weights.ThrottledError
	if !errors.As(err, &throttled) {
		p.refusals = 0
		return now.Add(p.failureDelays().NextBackOff())
	}
	pause := float64(spread(p.replicas)) * max(math.Pow(refusalFactor, float64(p.refusals)), minPauseShare)
	p.refusals++
	// The store names about the same time to all who ask, so that a random
	// pause follows it.
	return later(now, throttled.RetryAt).Add(jittered(time.Duration(pause)))
}

func (p *pacing) failureDelays() *backoff.ExponentialBackOff {
	if p.failures == nil {
		p.failures = backoff.NewExponentialBackOff()
		p.failures.InitialInterval = time.Duration(float64(spread(p.replicas)) * minPauseShare)
		p.failures.MaxInterval = spread(p.replicas)
	}
	return p.failures
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstLoadAt draws when an engine first asks the store for a version.
func firstLoadAt(replicas int, now time.Time) time.Time {
	return now.Add(time.Duration(rand.Float64() * float64(spread(replicas))))
}

// spread is the period over which the requests of all engines are spread.
func spread(replicas int) time.Duration {
	millis := min(max(replicas*spreadMillisPerReplica, spreadMinMillis), spreadMaxMillis)
	return time.Duration(millis) * time.Millisecond
}

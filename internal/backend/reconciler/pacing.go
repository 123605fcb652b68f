package reconciler

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
)

// The processes of all engines of a model send their requests to the weight store at
// random times within a period, the spread, so that they do not exceed its rate limit
// all at once.
const (
	// spreadMillisPerReplica is the length of the spread for each engine of the model.
	// With it the store receives about ten requests per second.
	spreadMillisPerReplica = 100
	// spreadMaxMillis is the maximum spread.
	spreadMaxMillis = 120_000
	// spreadMinMillis is the minimum spread, for models with few engines.
	spreadMinMillis = 1000
	// refusalFactor is the factor by which the pause before a retry shrinks at each
	// refusal by the rate limit, because fewer engines send requests the longer a
	// rollout lasts.
	refusalFactor = 0.9
	// minPauseShare is the minimum of that pause before it is randomised, and the
	// first pause after another failure, as a share of the spread.
	minPauseShare = 0.25
)

// pacing determines when the process of one engine retries a request to the weight
// store.
type pacing struct {
	// replicas is the number of engines that may send requests at the same time.
	replicas int
	// refusals is the number of refusals by the rate limit since the last other
	// failure.
	refusals int
	// failures is the back-off for a store that is down. It is nil before the first
	// failure.
	failures *backoff.ExponentialBackOff
}

// retryAt returns when the request is to be retried after an error.
func (p *pacing) retryAt(err error, now time.Time) time.Time {
	var throttled *weights.ThrottledError
	if !errors.As(err, &throttled) {
		p.refusals = 0
		return now.Add(p.failureDelays().NextBackOff())
	}
	pause := float64(spread(p.replicas)) * max(math.Pow(refusalFactor, float64(p.refusals)), minPauseShare)
	p.refusals++
	// The store returns about the same retry time to all clients, so a random
	// pause is added to it.
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

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstLoadAt returns a random time within the spread for an engine's first request
// to the store for a version.
func firstLoadAt(replicas int, now time.Time) time.Time {
	return now.Add(time.Duration(rand.Float64() * float64(spread(replicas))))
}

// spread returns the period over which the requests of a model's engines are spread.
func spread(replicas int) time.Duration {
	millis := min(max(replicas*spreadMillisPerReplica, spreadMinMillis), spreadMaxMillis)
	return time.Duration(millis) * time.Millisecond
}

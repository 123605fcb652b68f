package retrybudget

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

const (
	// permille is one retry in the unit of the balance, thousandths of a retry.
	permille = 1000
	// backoffMultiplier is the factor by which the backoff grows with each
	// attempt.
	backoffMultiplier = 2
)

// RecordSuccess records a successful request, which adds
// Rules.SuccessPermille thousandths of a retry to the budget.
func (b *Budget) RecordSuccess() {
	b.balance = min(b.balance+b.Rules.SuccessPermille, b.Rules.BurstRetries*permille)
}

// Fill sets the budget to its maximum. With an empty budget at the start, requests
// whose attempts fail before the first successes could not be retried.
func (b *Budget) Fill() {
	b.balance = b.Rules.BurstRetries * permille
}

// Decide returns whether and when a failed attempt is retried. If it returns Retry,
// it has taken one retry from the budget.
func (b *Budget) Decide(a Attempt, random *rand.Rand, now time.Time) Decision {
	at := b.retryAt(a, random, now)
	switch {
	case a.Outcome == OutcomeUnknown && !a.Repeatable:
		return NoRetry{Reason: ReasonNotRepeatable}
	case a.Count >= b.Rules.AttemptLimit:
		return NoRetry{Reason: ReasonAttempts, RetryAt: at}
	case !a.Deadline.IsZero() && !at.Before(a.Deadline):
		return NoRetry{Reason: ReasonDeadline, RetryAt: at}
	case !b.spend(now):
		return NoRetry{Reason: ReasonBudget, RetryAt: at}
	default:
		return Retry{At: at}
	}
}

// Remaining returns the number of whole retries in the balance. The minimum
// rate of retries comes on top.
func (b *Budget) Remaining() int {
	return b.balance / permille
}

// spend takes one retry from the balance or, if that is empty, from the minimum
// rate. It reports whether a retry was available.
func (b *Budget) spend(now time.Time) bool {
	if b.balance >= permille {
		b.balance -= permille
		return true
	}
	if b.minRate == nil {
		b.minRate = rate.NewLimiter(rate.Limit(b.Rules.MinRetriesPerSecond), max(b.Rules.MinRetriesPerSecond, 1))
	}
	return b.minRate.AllowN(now, 1)
}

// retryAt returns the time of the next attempt. The first retry after a refusal
// goes to another backend server immediately. If no other one is left, the next
// attempt is not made before the retry time that the refusal stated.
func (b *Budget) retryAt(a Attempt, random *rand.Rand, now time.Time) time.Time {
	if a.Outcome == OutcomeNotRun && a.Count == 1 && a.OthersLeft {
		return now
	}
	at := now.Add(b.interval(a.Count, random))
	if !a.OthersLeft && at.Before(a.RetryAt) {
		return a.RetryAt.Add(b.interval(1, random))
	}
	return at
}

// interval returns the wait after the given number of attempts. It is random,
// distributed uniformly between half of the exponential backoff and all of it.
func (b *Budget) interval(count int, random *rand.Rand) time.Duration {
	policy := backoff.ExponentialBackOff{
		InitialInterval: time.Duration(b.Rules.InitialIntervalMillis) * time.Millisecond,
		Multiplier:      backoffMultiplier,
		MaxInterval:     time.Duration(b.Rules.MaxIntervalMillis) * time.Millisecond,
	}
	policy.Reset()
	interval := policy.InitialInterval
	for range min(count, b.Rules.AttemptLimit) {
		interval = policy.NextBackOff()
	}
	half := interval / 2
	return half + time.Duration(random.Float64()*float64(half))
}

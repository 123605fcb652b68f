package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 4))
}

func TestDecide(t *testing.T) {
	refused := Attempt{Count: 1, Outcome: OutcomeNotRun, OthersLeft: true}
	unknown := Attempt{Count: 1, Outcome: OutcomeUnknown, OthersLeft: true}
	repeatable := unknown
	repeatable.Repeatable = true
	atLimit := refused
	atLimit.Count = 5
	shortDeadline := repeatable
	shortDeadline.Deadline = now.Add(time.Millisecond)
	onlyServer := refused
	onlyServer.OthersLeft = false
	onlyServer.RetryAt = now.Add(time.Minute)
	onlyServer.Deadline = now.Add(time.Second)

	cases := []struct {
		name    string
		attempt Attempt
		want    Reason
	}{
		{"refused", refused, 0},
		{"unknown outcome, idempotent", repeatable, 0},
		{"unknown outcome, not idempotent", unknown, ReasonNotRepeatable},
		{"attempt limit reached", atLimit, ReasonAttempts},
		{"deadline before the next attempt", shortDeadline, ReasonDeadline},
		{"retry time after the deadline", onlyServer, ReasonDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &Budget{Rules: DefaultRules()}
			switch d := b.Decide(c.attempt, newRandom(1), now).(type) {
			case Retry:
				is.Equal(c.want, Reason(0))
			case NoRetry:
				is.Equal(d.Reason, c.want)
			}
		})
	}
}

func TestFirstRetryAfterRefusalIsImmediate(t *testing.T) {
	is := is.New(t)
	b := &Budget{Rules: DefaultRules()}
	d := b.Decide(Attempt{Count: 1, Outcome: OutcomeNotRun, OthersLeft: true}, newRandom(1), now)
	is.Equal(d, Retry{At: now})
}

func TestRetriesAreBoundedAfterMassFailure(t *testing.T) {
	is := is.New(t)
	b := &Budget{Rules: DefaultRules()}
	for range 1000 {
		b.RecordSuccess()
	}
	retries := 0
	for range 5000 {
		a := Attempt{Count: 1, Outcome: OutcomeUnknown, Repeatable: true, OthersLeft: true}
		if _, ok := b.Decide(a, newRandom(1), now).(Retry); ok {
			retries++
		}
	}
	is.Equal(retries, b.Rules.BurstRetries+b.Rules.MinRetriesPerSecond)
}

func TestFilledBudgetIsBounded(t *testing.T) {
	is := is.New(t)
	b := &Budget{Rules: DefaultRules()}
	b.Fill()
	is.Equal(b.Remaining(), b.Rules.BurstRetries)
	retries := 0
	for range 5000 {
		a := Attempt{Count: 1, Outcome: OutcomeUnknown, Repeatable: true, OthersLeft: true}
		if _, ok := b.Decide(a, newRandom(1), now).(Retry); ok {
			retries++
		}
	}
	is.Equal(retries, b.Rules.BurstRetries+b.Rules.MinRetriesPerSecond)
}

func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Rules: DefaultRules()}
		random := newRandom(rapid.Uint64().Draw(t, "seed"))
		successes, retries := 0, 0
		at := now
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess()
				successes++
				continue
			}
			a := Attempt{Count: rapid.IntRange(1, 6).Draw(t, "count"), Outcome: OutcomeNotRun}
			if d, ok := b.Decide(a, random, at).(Retry); ok {
				retries++
				if d.At.Before(at) {
					t.Fatalf("retry at %s, before the decision at %s", d.At, at)
				}
			}
		}
		seconds := int(at.Sub(now)/time.Second) + 1
		limit := successes*b.Rules.SuccessPermille/permille + b.Rules.MinRetriesPerSecond*(seconds+1)
		if retries > limit {
			t.Fatalf("%d retries allowed, at most %d expected", retries, limit)
		}
	})
}

func TestIntervalGrowsToMaximum(t *testing.T) {
	is := is.New(t)
	b := &Budget{Rules: DefaultRules()}
	b.Rules.AttemptLimit = 20
	random := newRandom(1)
	for count := 1; count <= 20; count++ {
		millis := int(b.interval(count, random).Milliseconds())
		full := min(b.Rules.InitialIntervalMillis<<(count-1), b.Rules.MaxIntervalMillis)
		is.True(millis >= full/2)
		is.True(millis <= full)
	}
}

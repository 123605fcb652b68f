package endtoend

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// lengthExponent is the exponent of the Pareto distribution of lengths.
	lengthExponent = 1.3
	// sizesTimeoutMillis bounds one request of a caller, with its retries.
	sizesTimeoutMillis = 90000
	// maxBacklog bounds the open requests of a scenario. Requests beyond it are
	// not sent, but counted.
	maxBacklog = 600
)

// requestKind describes one kind of request: a plain call if method is set, otherwise
// a generation.
type requestKind struct {
	class string
	// weight is the share of this kind among all generations.
	weight float64
	// shortest and longest bound the length of the answer in tokens.
	shortest, longest int
	// perSecond is the rate of a plain call at factor 1.
	perSecond    float64
	method, path string
	// repeatable is true if the requests are idempotent; others carry an
	// idempotency key.
	repeatable bool
	// urgent is true if the p99 of the kind is bounded during a flood. Generations
	// of an urgent kind are always streamed.
	urgent bool
	// buffered is true if tokens are delivered only when the answer is complete.
	buffered bool
}

// name returns the class of a generation, or the method and path of a plain call.
func (k requestKind) name() string {
	if k.method == "" {
		return k.class
	}
	return k.method + " " + k.path
}

// length samples an answer length from a bounded Pareto distribution.
func (k requestKind) length(random *rand.Rand) int {
	low, high := math.Pow(float64(k.shortest), -lengthExponent), math.Pow(float64(k.longest), -lengthExponent)
	return int(math.Pow(low-random.Float64()*(low-high), -1/lengthExponent))
}

// meanLength estimates the mean of length from samples.
func (k requestKind) meanLength() float64 {
	const samples = 20000
	random := rand.New(rand.NewPCG(1, 2))
	sum := 0
	for range samples {
		sum += k.length(random)
	}
	return float64(sum) / samples
}

// clientAccount is a client account of the operator file.
type clientAccount struct {
	Name    string
	Share   float64
	Classes []string
}

// clientAccountsIn returns the client accounts of an operator file.
func clientAccountsIn(t *testing.T, document []byte) []clientAccount {
	t.Helper()
	var file struct{ Accounts []clientAccount }
	if err := json.Unmarshal(document, &file); err != nil {
		t.Fatal(err)
	}
	return file.Accounts
}

// pickAccount samples a client account among those that may use the class, weighted by
// their shares.
func pickAccount(all []clientAccount, class string, random *rand.Rand) string {
	total := 0.0
	for _, c := range all {
		if c.mayUse(class) {
			total += c.Share
		}
	}
	remaining := random.Float64() * total
	for _, c := range all {
		if !c.mayUse(class) {
			continue
		}
		if remaining -= c.Share; remaining < 0 {
			return c.Name
		}
	}
	return all[0].Name
}

// mayUse reports whether the account may use the class. An account without a list of
// classes may use all.
func (c clientAccount) mayUse(class string) bool {
	return len(c.Classes) == 0 || slices.Contains(c.Classes, class)
}

// openLoopLoad sends the requests of a scenario at given rates, regardless of when their
// answers arrive.
type openLoopLoad struct {
	deployment *deployment
	company    company
	accounts   []clientAccount
	random     *rand.Rand
	results    *results
	// flooded is true in a scenario in which one client account floods: it sends
	// additional requests at a high rate.
	flooded bool
	// excluded marks the entry hosts to which the load balancer sends no requests.
	excluded []atomic.Bool
	open     atomic.Int64
	// mostOpen is the largest value of open.
	mostOpen atomic.Int64
	work     errgroup.Group
}

// generationsPerSecond returns the rate of generations whose answers have the given
// number of tokens per second in the mean.
func (c company) generationsPerSecond(tokensPerSecond float64) float64 {
	mean := 0.0
	for _, k := range c.kinds {
		mean += k.weight * k.meanLength()
	}
	return tokensPerSecond / mean
}

// run sends requests until endAt: generations for the given number of tokens per
// second, plain calls at their rates times factor, and the flood if its rate is
// positive.
func (l *openLoopLoad) run(ctx context.Context, tokensPerSecond, factor, floodPerSecond float64, endAt time.Time) {
	var sources errgroup.Group
	perSecond := l.company.generationsPerSecond(tokensPerSecond)
	for _, k := range l.company.kinds {
		rate := perSecond * k.weight
		if k.method != "" {
			rate = k.perSecond * factor
		}
		l.source(ctx, &sources, k, rate, "", endAt)
	}
	if floodPerSecond > 0 {
		k := l.company.kinds[l.company.floodKind]
		l.source(ctx, &sources, k, floodPerSecond, l.company.flooder, endAt)
	}
	_ = sources.Wait()
}

// source sends requests of one kind at exponentially distributed intervals, for the
// client account from or, if it is empty, for accounts picked by share.
func (l *openLoopLoad) source(ctx context.Context, group *errgroup.Group, k requestKind, rate float64, from string, endAt time.Time) {
	random := rand.New(rand.NewPCG(l.random.Uint64(), l.random.Uint64()))
	group.Go(func() error {
		dueAt := time.Now()
		for number := 0; ; number++ {
			dueAt = dueAt.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			if dueAt.After(endAt) {
				return nil
			}
			time.Sleep(time.Until(dueAt))
			l.spawn(ctx, l.request(k, from, number, random))
		}
	})
}

// spawn executes one request in the background, unless maxBacklog requests are open.
func (l *openLoopLoad) spawn(ctx context.Context, r *sizedRequest) {
	if l.open.Load() >= maxBacklog {
		l.results.countOmitted()
		return
	}
	open := l.open.Add(1)
	if open > l.mostOpen.Load() {
		l.mostOpen.Store(open)
	}
	l.work.Go(func() error {
		defer l.open.Add(-1)
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(sizesTimeoutMillis*time.Millisecond))
		defer stop()
		r.execute(ctx)
		l.results.add(r)
		return nil
	})
}

// balance picks at random an entry host that is not excluded.
func (l *openLoopLoad) balance(random *rand.Rand) *entryHost {
	for {
		n := random.IntN(len(l.deployment.entries))
		if !l.excluded[n].Load() {
			return l.deployment.entries[n]
		}
	}
}

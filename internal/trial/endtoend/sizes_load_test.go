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
	// sizesTimeoutMillis bounds one request of a caller.
	sizesTimeoutMillis = 90000
	// maxBacklog bounds the open requests of a scenario.
	maxBacklog = 600
)

// requestKind is one sort of request: a generation, or a plain call where method is set.
type requestKind struct {
	class string
	// weight is the share of generations that are of this kind.
	weight            float64
	shortest, longest int
	// perSecond is the rate of a plain call.
	perSecond    float64
	method, path string
	repeatable   bool
	urgent       bool
	// buffered says that tokens leave only with the whole answer.
	buffered bool
}

func (k requestKind) name() string {
	if k.method == "" {
		return k.class
	}
	return k.method + " " + k.path
}

// length draws a length from a bounded Pareto distribution.
func (k requestKind) length(random *rand.Rand) int {
	low, high := math.Pow(float64(k.shortest), -lengthExponent), math.Pow(float64(k.longest), -lengthExponent)
	return int(math.Pow(low-random.Float64()*(low-high), -1/lengthExponent))
}

// meanLength returns the mean of length.
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

func clientAccountsIn(t *testing.T, document []byte) []clientAccount {
	t.Helper()
	var file struct{ Accounts []clientAccount }
	if err := json.Unmarshal(document, &file); err != nil {
		t.Fatal(err)
	}
	return file.Accounts
}

// pickAccount picks a client account that may use the class, by share.
func pickAccount(all []clientAccount, class string, random *rand.Rand) string {
	total := 0.0
	for _, c := range all {
		if c.mayUse(class) {
			total += c.Share
		}
	}
	left := random.Float64() * total
	for _, c := range all {
		if !c.mayUse(class) {
			continue
		}
		if left -= c.Share; left < 0 {
			return c.Name
		}
	}
	return all[0].Name
}

func (c clientAccount) mayUse(class string) bool {
	return len(c.Classes) == 0 || slices.Contains(c.Classes, class)
}

// openLoopLoad sends the requests of a scenario in open loop.
type openLoopLoad struct {
	d        *deployment
	company  company
	accounts []clientAccount
	random   *rand.Rand
	results  *results
	// flooded tells that one client account floods.
	flooded bool
	// excluded tells which entry hosts the balancer passes over.
	excluded []atomic.Bool
	open     atomic.Int64
	// mostOpen is the largest value of open.
	mostOpen atomic.Int64
	work     errgroup.Group
}

// generationsPerSecond is the rate that asks for so many tokens a second.
func (c company) generationsPerSecond(tokensPerSecond float64) float64 {
	mean := 0.0
	for _, k := range c.kinds {
		mean += k.weight * k.meanLength()
	}
	return tokensPerSecond / mean
}

// run sends requests until endAt: generations for so many tokens a second,
// plain calls at their rates times factor, and a flood where wanted.
func (a *openLoopLoad) run(ctx context.Context, tokensPerSecond, factor, floodPerSecond float64, endAt time.Time) {
	var sources errgroup.Group
	perSecond := a.company.generationsPerSecond(tokensPerSecond)
	for _, k := range a.company.kinds {
		rate := perSecond * k.weight
		if k.method != "" {
			rate = k.perSecond * factor
		}
		a.source(ctx, &sources, k, rate, "", endAt)
	}
	if floodPerSecond > 0 {
		k := a.company.kinds[a.company.floodKind]
		a.source(ctx, &sources, k, floodPerSecond, a.company.flooder, endAt)
	}
	_ = sources.Wait()
}

// source sends one kind of request at exponential intervals.
func (a *openLoopLoad) source(ctx context.Context, group *errgroup.Group, k requestKind, rate float64, from string, endAt time.Time) {
	random := rand.New(rand.NewPCG(a.random.Uint64(), a.random.Uint64()))
	group.Go(func() error {
		dueAt := time.Now()
		for number := 0; ; number++ {
			dueAt = dueAt.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			if dueAt.After(endAt) {
				return nil
			}
			time.Sleep(time.Until(dueAt))
			a.spawn(ctx, a.request(k, from, number, random))
		}
	})
}

// spawn carries one request in the background, within the bound of open ones.
func (a *openLoopLoad) spawn(ctx context.Context, r *sizedRequest) {
	if a.open.Load() >= maxBacklog {
		a.results.countOmitted()
		return
	}
	open := a.open.Add(1)
	if open > a.mostOpen.Load() {
		a.mostOpen.Store(open)
	}
	a.work.Go(func() error {
		defer a.open.Add(-1)
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(sizesTimeoutMillis*time.Millisecond))
		defer stop()
		r.execute(ctx)
		a.results.add(r)
		return nil
	})
}

// balance picks an entry host that the balancer holds for live.
func (a *openLoopLoad) balance(random *rand.Rand) *entryHost {
	for {
		n := random.IntN(len(a.d.entries))
		if !a.excluded[n].Load() {
			return a.d.entries[n]
		}
	}
}

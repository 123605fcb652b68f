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
	// sizesPatienceMillis bounds one request of a caller.
	sizesPatienceMillis = 90000
	// backlogLimit bounds the open requests of a scenario.
	backlogLimit = 600
)

// kind is one sort of request: a generation, or a plain call where method is set.
type kind struct {
	class string
	// weight is the share of generations that are of this kind.
	weight            float64
	shortest, longest int
	// perSecond is the rate of a plain call.
	perSecond    float64
	method, path string
	repeatable   bool
	urgent       bool
	// held says that tokens leave only with the whole answer.
	held bool
}

func (k kind) name() string {
	if k.method == "" {
		return k.class
	}
	return k.method + " " + k.path
}

// length draws a length from a bounded Pareto distribution.
func (k kind) length(random *rand.Rand) int {
	low, high := math.Pow(float64(k.shortest), -lengthExponent), math.Pow(float64(k.longest), -lengthExponent)
	return int(math.Pow(low-random.Float64()*(low-high), -1/lengthExponent))
}

// meanLength returns the mean of length.
func (k kind) meanLength() float64 {
	const samples = 20000
	random := rand.New(rand.NewPCG(1, 2))
	sum := 0
	for range samples {
		sum += k.length(random)
	}
	return float64(sum) / samples
}

// customer is a client account of the operator file.
type customer struct {
	Name    string
	Share   float64
	Classes []string
}

func customersOf(t *testing.T, document []byte) []customer {
	t.Helper()
	var file struct{ Accounts []customer }
	if err := json.Unmarshal(document, &file); err != nil {
		t.Fatal(err)
	}
	return file.Accounts
}

// draw picks a client account that may use the class, by share.
func draw(all []customer, class string, random *rand.Rand) string {
	total := 0.0
	for _, c := range all {
		if c.may(class) {
			total += c.Share
		}
	}
	left := random.Float64() * total
	for _, c := range all {
		if !c.may(class) {
			continue
		}
		if left -= c.Share; left < 0 {
			return c.Name
		}
	}
	return all[0].Name
}

func (c customer) may(class string) bool {
	return len(c.Classes) == 0 || slices.Contains(c.Classes, class)
}

// arrivals sends the requests of a scenario in open loop.
type arrivals struct {
	d         *deployment
	company   company
	customers []customer
	random    *rand.Rand
	tally     *tally
	// flooded tells that one client account floods.
	flooded bool
	// away tells which entry hosts the balancer passes over.
	away []atomic.Bool
	open atomic.Int64
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
func (a *arrivals) run(ctx context.Context, tokensPerSecond, factor, floodPerSecond float64, endAt time.Time) {
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
func (a *arrivals) source(ctx context.Context, group *errgroup.Group, k kind, rate float64, from string, endAt time.Time) {
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
func (a *arrivals) spawn(ctx context.Context, r *sizedRequest) {
	if a.open.Load() >= backlogLimit {
		a.tally.omit()
		return
	}
	open := a.open.Add(1)
	if open > a.mostOpen.Load() {
		a.mostOpen.Store(open)
	}
	a.work.Go(func() error {
		defer a.open.Add(-1)
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(sizesPatienceMillis*time.Millisecond))
		defer stop()
		r.carry(ctx)
		a.tally.add(r)
		return nil
	})
}

// balance picks an entry host that the balancer holds for live.
func (a *arrivals) balance(random *rand.Rand) *entryHost {
	for {
		n := random.IntN(len(a.d.entries))
		if !a.away[n].Load() {
			return a.d.entries[n]
		}
	}
}

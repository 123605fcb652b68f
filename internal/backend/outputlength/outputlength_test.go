package outputlength

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// lengths returns n log-normally distributed lengths.
func lengths(seed uint64, n int, median, deviation float64) []int {
	random := rand.New(rand.NewPCG(seed, 1))
	out := make([]int, n)
	for i := range out {
		out[i] = max(1, int(median*math.Exp(deviation*random.NormFloat64())))
	}
	return out
}

func TestRemainingMatchesSample(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	sample := lengths(seed, 5000, 900, 0.5)
	m := &Model{}
	for _, n := range sample {
		m.Observe("programme", "gym", n)
	}
	for _, produced := range []int{0, 300, 900, 1500} {
		for _, quantile := range []float64{0.5, 0.9} {
			t.Run(fmt.Sprintf("%d at %v", produced, quantile), func(t *testing.T) {
				is := is.New(t)
				want := sampleRemaining(sample, produced, quantile)
				got := float64(m.Remaining("programme", "gym", produced, quantile))
				is.True(got > 0.7*want)
				is.True(got < 1.4*want)
			})
		}
	}
}

// sampleRemaining returns a quantile of the remaining tokens of the answers in the
// sample that are longer than produced.
func sampleRemaining(sample []int, produced int, quantile float64) float64 {
	var rest []int
	for _, n := range sample {
		if n > produced {
			rest = append(rest, n-produced)
		}
	}
	sort.Ints(rest)
	return float64(rest[int(quantile*float64(len(rest)))])
}

func TestFewObservationsFallBackToClassAndPrior(t *testing.T) {
	is := is.New(t)
	m := &Model{}
	unknown := m.Remaining("check", "gym", 0, 0.5)
	is.True(unknown > 200 && unknown < 300) // close to the prior's median

	for range 50 {
		m.Observe("check", "club", 40)
	}
	is.True(m.Remaining("check", "gym", 0, 0.5) < 50) // predicted from the class

	for range 50 {
		m.Observe("check", "gym", 400)
	}
	is.True(m.Remaining("check", "gym", 0, 0.5) > 300) // predicted from the account's own observations
	is.True(m.Remaining("check", "club", 0, 0.5) < 50)
}

func TestAdaptsAfterChange(t *testing.T) {
	is := is.New(t)
	m := &Model{}
	for range 1000 {
		m.Observe("draft", "harbour", 100)
	}
	for range 2 * accountHalfLife {
		m.Observe("draft", "harbour", 3000)
	}
	is.True(m.Remaining("draft", "harbour", 0, 0.5) > 2000)
}

func TestLimit(t *testing.T) {
	is := is.New(t)
	m := &Model{Limit: 10}
	for i := range 100 {
		m.Observe("draft", fmt.Sprint("account ", i), 100)
	}
	is.Equal(m.Len(), 10)
}

func TestCurveProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Model{Limit: 4}
		n := rapid.IntRange(0, 200).Draw(t, "observations")
		for range n {
			account := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
			m.Observe("class", account, rapid.IntRange(0, 1<<20).Draw(t, "tokens"))
		}
		c := m.Curve("class", "a")
		produced := rapid.IntRange(0, 1<<20).Draw(t, "produced")
		low := rapid.Float64Range(0, 1).Draw(t, "low")
		high := rapid.Float64Range(low, 1).Draw(t, "high")
		if c.Remaining(produced, low) > c.Remaining(produced, high) {
			t.Fatalf("remaining tokens decrease from quantile %v to quantile %v", low, high)
		}
		if c.Remaining(produced, low) < 1 {
			t.Fatalf("remaining tokens are below 1")
		}
		near := rapid.IntRange(0, 1<<16).Draw(t, "near")
		far := rapid.IntRange(near, 1<<20).Draw(t, "far")
		first, second := c.Conditional(produced, near), c.Conditional(produced, far)
		if second > first+1e-12 || first > 1 || second < 0 {
			t.Fatalf("conditional survival increases or lies outside 0 to 1: %v, %v", first, second)
		}
	})
}

func BenchmarkRemaining(b *testing.B) {
	m := &Model{}
	for _, n := range lengths(1, 1000, 900, 0.5) {
		m.Observe("programme", "gym", n)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Remaining("programme", "gym", 300, 0.9)
	}
}

package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
)

func TestForecastCoversOutcome(t *testing.T) {
	const seed, rounds = 11, 100
	t.Logf("seed %d", seed)
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 2))
	lengths := &outputlength.Model{}
	sampleLength := func() int { return 20 + int(random.ExpFloat64()*300) }
	for range 2000 {
		lengths.Observe("programme", "gym", sampleLength())
	}
	exceeded := 0
	for range rounds {
		c := newController()
		c.Lengths = lengths
		c.CapacityTokens = 20_000
		if overflows(c, sampleLength) {
			exceeded++
		}
	}
	is.True(exceeded < rounds/10) // stricter than the policy, which accepts one in four (1-MemoryQuantile)
}

// overflows admits one burst of requests and reports whether the memory is
// exceeded before all of the generations have ended.
func overflows(c *Controller, sampleLength func() int) bool {
	left := []int{}
	for range fill(c) {
		left = append(left, sampleLength())
	}
	for step := 0; ; step++ {
		used := 0
		for _, n := range left {
			if n > step {
				used += 100 + step
			}
		}
		if used == 0 {
			return false
		}
		if used > c.CapacityTokens {
			return true
		}
	}
}

func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newController()
		c.BatchLimit = rapid.IntRange(1, 12).Draw(t, "batch")
		c.Policy.QueueLimit = rapid.IntRange(0, 12).Draw(t, "queue")
		held := map[string]bool{}
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis")) * time.Millisecond)
			randomStep(t, c, i, held, now)
			load := c.Load()
			if load.Running+load.Waiting != len(held) {
				t.Fatalf("controller has %d running and %d waiting requests, want %d in total", load.Running, load.Waiting, len(held))
			}
			checkBatch(t, c)
			if load.Waiting > c.Policy.QueueLimit*wholeQueueFactor {
				t.Fatalf("%d requests are waiting, QueueLimit is %d", load.Waiting, c.Policy.QueueLimit)
			}
		}
	})
}

// checkBatch fails when more urgent generations run than the batch has slots, or
// when more generations would have to be preempted than the limit allows.
func checkBatch(t *rapid.T, c *Controller) {
	urgent := 0
	for _, r := range c.running {
		if r.Urgent {
			urgent++
		}
	}
	if urgent > c.BatchLimit {
		t.Fatalf("%d urgent generations run, the batch limit is %d", urgent, c.BatchLimit)
	}
	if most := max(1, c.BatchLimit/preemptibleDivisor); c.Excess() > most {
		t.Fatalf("%d generations run beyond the batch limit of %d", c.Excess(), c.BatchLimit)
	}
}

func randomStep(t *rapid.T, c *Controller, i int, held map[string]bool, now time.Time) {
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0, 1:
		r := request(fmt.Sprint("request ", i))
		r.Urgent = rapid.Bool().Draw(t, "urgent")
		r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
		r.PromptTokens = rapid.IntRange(1, 600).Draw(t, "prompt")
		r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second)
		if _, refused := c.Offer(r, now).(Refuse); !refused {
			held[r.RequestID] = true
		}
	case 2:
		for id := range held {
			c.Release(id)
			delete(held, id)
			break
		}
	default:
		c.Next(now)
		for _, r := range c.Expire(now) {
			delete(held, r.RequestID)
		}
	}
	if len(c.running) != len(c.byID) {
		t.Fatalf("%d generations are running, %d are indexed by ID", len(c.running), len(c.byID))
	}
}

func BenchmarkOffer(b *testing.B) {
	c := newController()
	c.CapacityTokens = 20_000
	fill(c)
	b.ReportMetric(float64(len(c.running)), "running")
	b.ReportAllocs()
	for b.Loop() {
		c.Offer(request("new"), start)
		c.Release("new")
	}
}

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
	draw := func() int { return 20 + int(random.ExpFloat64()*300) }
	for range 2000 {
		lengths.Observe("programme", "gym", draw())
	}
	exceeded := 0
	for range rounds {
		b := newController()
		b.Lengths = lengths
		b.CapacityTokens = 20_000
		if overflows(b, draw) {
			exceeded++
		}
	}
	is.True(exceeded < rounds/10) // the policy asks for one in twenty
}

// overflows fills the controller with one burst and tells whether the memory is
// exceeded before all generations have ended.
func overflows(b *Controller, draw func() int) bool {
	left := []int{}
	for range fill(b) {
		left = append(left, draw())
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
		if used > b.CapacityTokens {
			return true
		}
	}
}

func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newController()
		b.BatchLimit = rapid.IntRange(1, 12).Draw(t, "batch")
		b.Policy.QueueLimit = rapid.IntRange(0, 12).Draw(t, "queue")
		held := map[string]bool{}
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis")) * time.Millisecond)
			randomStep(t, b, i, held, now)
			load := b.Load()
			if load.Running+load.Waiting != len(held) {
				t.Fatalf("%d running and %d waiting of %d held", load.Running, load.Waiting, len(held))
			}
			checkBatch(t, b)
			if load.Waiting > b.Policy.QueueLimit*wholeQueueFactor {
				t.Fatalf("%d waiting of %d", load.Waiting, b.Policy.QueueLimit)
			}
		}
	})
}

// checkBatch fails when more generations run than the batch holds once those
// that may be pushed aside for urgent ones are, or when too many are.
func checkBatch(t *rapid.T, b *Controller) {
	urgent := 0
	for _, r := range b.running {
		if r.Urgent {
			urgent++
		}
	}
	if urgent > b.BatchLimit {
		t.Fatalf("%d urgent ones running of %d", urgent, b.BatchLimit)
	}
	if most := max(1, b.BatchLimit/preemptibleDivisor); b.Excess() > most {
		t.Fatalf("%d running beyond the batch of %d", b.Excess(), b.BatchLimit)
	}
}

func randomStep(t *rapid.T, b *Controller, i int, held map[string]bool, now time.Time) {
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0, 1:
		r := request(fmt.Sprint("request ", i))
		r.Urgent = rapid.Bool().Draw(t, "urgent")
		r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
		r.PromptTokens = rapid.IntRange(1, 600).Draw(t, "prompt")
		r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second)
		if _, refused := b.Offer(r, now).(Refuse); !refused {
			held[r.RequestID] = true
		}
	case 2:
		for id := range held {
			b.Release(id)
			delete(held, id)
			break
		}
	default:
		b.Next(now)
		for _, r := range b.Expire(now) {
			delete(held, r.RequestID)
		}
	}
	if len(b.running) != len(b.byID) {
		t.Fatalf("%d running, %d known by identity", len(b.running), len(b.byID))
	}
}

func BenchmarkOffer(b *testing.B) {
	book := newController()
	book.CapacityTokens = 20_000
	fill(book)
	b.ReportMetric(float64(len(book.running)), "running")
	b.ReportAllocs()
	for b.Loop() {
		book.Offer(request("new"), start)
		book.Release("new")
	}
}

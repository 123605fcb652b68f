package engineowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
)

// newBenchController returns a controller with the given numbers of running and
// waiting generations, which belong to twenty accounts. If waiting is 0, memory and
// batch have room for more.
func newBenchController(b *testing.B, running, waiting int, now time.Time) *admission.Controller {
	b.Helper()
	policy := admission.DefaultPolicy()
	policy.QueueLimit = 4 * (waiting + 1)
	controller := &admission.Controller{
		Policy:         policy,
		CapacityTokens: 100_000_000,
		BatchLimit:     2 * (running + 1),
		StepMicros:     initialStepMicros,
		Lengths:        &outputlength.Model{},
	}
	for n := range running {
		offerBench(b, controller, fmt.Sprint("running ", n), n, now)
	}
	if waiting == 0 {
		return controller
	}
	controller.BatchLimit = running
	for n := range waiting {
		offerBench(b, controller, fmt.Sprint("waiting ", n), n, now)
	}
	return controller
}

func offerBench(b *testing.B, controller *admission.Controller, id string, account int, now time.Time) {
	b.Helper()
	request := admission.Request{RequestID: id, Account: fmt.Sprint(account % 20), Class: "programme", PromptTokens: 250, MaxTokens: 4000}
	if refusal, refused := controller.Offer(request, now).(admission.Refuse); refused {
		b.Fatal(refusal.Reason)
	}
}

// BenchmarkAdmission measures the admission decision on one request for different
// numbers of running and waiting requests.
func BenchmarkAdmission(b *testing.B) {
	for _, size := range []struct{ running, waiting int }{{16, 0}, {97, 0}, {400, 0}, {97, 16}, {97, 64}, {97, 256}} {
		b.Run(fmt.Sprintf("%drunning%dwaiting", size.running, size.waiting), func(b *testing.B) {
			now := time.Now()
			controller := newBenchController(b, size.running, size.waiting, now)
			b.ReportAllocs()
			for b.Loop() {
				offerBench(b, controller, "new", 1, now)
				controller.Release("new")
			}
		})
	}
}

// BenchmarkNextWaiting measures the search for waiting requests that may start,
// which takes place at each tick and at each end of a generation.
func BenchmarkNextWaiting(b *testing.B) {
	for _, waiting := range []int{0, 16, 64, 256} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now := time.Now()
			controller := newBenchController(b, 97, waiting, now)
			b.ReportAllocs()
			for b.Loop() {
				controller.Next(now)
			}
		})
	}
}

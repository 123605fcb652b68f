package engineowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
)

// newBenchController has so many running and waiting generations of twenty accounts. The
// memory has room where nothing waits.
func newBenchController(b *testing.B, running, waiting int, now time.Time) *admission.Controller {
	b.Helper()
	policy := admission.DefaultPolicy()
	policy.QueueLimit = 4 * (waiting + 1)
	book := &admission.Controller{
		Policy:         policy,
		CapacityTokens: 100_000_000,
		BatchLimit:     2 * (running + 1),
		StepMicros:     initialStepMicros,
		Lengths:        &outputlength.Model{},
	}
	for n := range running {
		offerBench(b, book, fmt.Sprint("running ", n), n, now)
	}
	if waiting == 0 {
		return book
	}
	book.BatchLimit = running
	for n := range waiting {
		offerBench(b, book, fmt.Sprint("waiting ", n), n, now)
	}
	return book
}

func offerBench(b *testing.B, book *admission.Controller, id string, account int, now time.Time) {
	b.Helper()
	request := admission.Request{RequestID: id, Account: fmt.Sprint(account % 20), Class: "programme", PromptTokens: 250, MaxTokens: 4000}
	if refusal, refused := book.Offer(request, now).(admission.Refuse); refused {
		b.Fatal(refusal.Reason)
	}
}

// BenchmarkAdmission measures the decision on one request beside so many
// running ones, and behind so many waiting ones.
func BenchmarkAdmission(b *testing.B) {
	for _, size := range []struct{ running, waiting int }{{16, 0}, {97, 0}, {400, 0}, {97, 16}, {97, 64}, {97, 256}} {
		b.Run(fmt.Sprintf("%drunning%dwaiting", size.running, size.waiting), func(b *testing.B) {
			now := time.Now()
			book := newBenchController(b, size.running, size.waiting, now)
			b.ReportAllocs()
			for b.Loop() {
				offerBench(b, book, "new", 1, now)
				book.Release("new")
			}
		})
	}
}

// BenchmarkNextWaiting measures the look for a waiting request that may start,
// as each tick and each end of a generation does.
func BenchmarkNextWaiting(b *testing.B) {
	for _, waiting := range []int{0, 16, 64, 256} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now := time.Now()
			book := newBenchController(b, 97, waiting, now)
			b.ReportAllocs()
			for b.Loop() {
				book.Next(now)
			}
		})
	}
}

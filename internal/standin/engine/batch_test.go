package engine_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

// maxSteps is the maximum number of steps that run executes.
const maxSteps = 100_000

// run runs steps until the batch holds no job and calls see with each change. It returns
// false if the batch still holds jobs after maxSteps.
func run(b *standin.Batch, see func(step int, c standin.Change)) bool {
	for step := range maxSteps {
		if b.Running()+b.Waiting() == 0 {
			return true
		}
		for _, c := range b.Step() {
			see(step, c)
		}
	}
	return false
}

// TestBatchProducesEachTokenOnce checks for random jobs that the memory limit is
// never exceeded, that every job ends once, and that every job that fits into memory
// produces each of its tokens once and in order, however often it is preempted.
func TestBatchProducesEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &standin.Batch{
			MemoryTokens:  rapid.IntRange(20, 200).Draw(t, "memory"),
			MaxBatch:      rapid.IntRange(0, 6).Draw(t, "max batch"),
			PrefillTokens: rapid.IntRange(0, 8).Draw(t, "prefill"),
		}
		count := rapid.IntRange(1, 30).Draw(t, "jobs")
		wanted := make(map[uint64]int)
		for key := uint64(1); key <= uint64(count); key++ {
			prompt := rapid.IntRange(1, 20).Draw(t, "prompt")
			job := standin.Job{
				Key:          key,
				Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
				PromptTokens: prompt,
				PrefixHash:   rapid.Uint64Range(0, 3).Draw(t, "prefix"),
				PrefixTokens: rapid.IntRange(0, prompt).Draw(t, "prefix tokens"),
				OutputTokens: rapid.IntRange(1, 120).Draw(t, "output"),
			}
			wanted[key] = job.OutputTokens
			b.Add(job)
		}
		produced := make(map[uint64]int)
		ended := make(map[uint64]int)
		done := run(b, func(step int, c standin.Change) {
			if b.MemoryUsed() > b.MemoryTokens || b.Free() < 0 {
				t.Fatalf("step %d: %d tokens of memory in use, limit is %d", step, b.MemoryUsed(), b.MemoryTokens)
			}
			switch c.Kind {
			case standin.TokenProduced:
				if c.Position != produced[c.Key] || ended[c.Key] > 0 {
					t.Fatalf("step %d: job %d produced position %d after %d tokens", step, c.Key, c.Position, produced[c.Key])
				}
				produced[c.Key]++
			case standin.JobFinished:
				ended[c.Key]++
				if produced[c.Key] != wanted[c.Key] {
					t.Fatalf("job %d finished after %d of %d tokens", c.Key, produced[c.Key], wanted[c.Key])
				}
			case standin.JobFailed:
				ended[c.Key]++
			default:
			}
		})
		if !done {
			t.Fatalf("jobs are still in the batch after %d steps", maxSteps)
		}
		for key := range wanted {
			if ended[key] != 1 {
				t.Fatalf("job %d ended %d times, want 1", key, ended[key])
			}
		}
		if b.MemoryUsed() != b.CachedTokens() {
			t.Fatalf("%d tokens of memory in use after all jobs ended, want the %d tokens of cached prefixes", b.MemoryUsed(), b.CachedTokens())
		}
	})
}

func TestBatchPreemptsLowestPriorityYoungest(t *testing.T) {
	is := is.New(t)
	b := &standin.Batch{MemoryTokens: 40}
	b.Add(standin.Job{Key: 1, Priority: 0, PromptTokens: 5, OutputTokens: 20})
	b.Add(standin.Job{Key: 2, Priority: 1, PromptTokens: 5, OutputTokens: 20})
	b.Add(standin.Job{Key: 3, Priority: 0, PromptTokens: 5, OutputTokens: 20})
	var preempted, resumed, finished []uint64
	is.True(run(b, func(_ int, c standin.Change) {
		switch c.Kind {
		case standin.JobPreempted:
			preempted = append(preempted, c.Key)
		case standin.JobResumed:
			resumed = append(resumed, c.Key)
		case standin.JobFinished:
			finished = append(finished, c.Key)
		default:
		}
	}))
	is.Equal(preempted[0], uint64(3))
	is.Equal(len(resumed), len(preempted))
	is.Equal(finished[len(finished)-1], uint64(3))
}

func TestBatchSharesAndEvictsPrefixes(t *testing.T) {
	is := is.New(t)
	b := &standin.Batch{MemoryTokens: 50}
	add := func(key, hash uint64) {
		b.Add(standin.Job{Key: key, PromptTokens: 20, PrefixHash: hash, PrefixTokens: 18, OutputTokens: 2})
	}
	var stored, evicted []uint64
	see := func(_ int, c standin.Change) {
		switch c.Kind {
		case standin.PrefixStored:
			stored = append(stored, c.PrefixHash)
		case standin.PrefixEvicted:
			evicted = append(evicted, c.PrefixHash)
		default:
		}
	}
	add(1, 100)
	add(2, 100)
	is.True(run(b, see))
	is.Equal(b.MemoryUsed(), 18)
	for i, hash := range []uint64{200, 100, 300} {
		add(uint64(3+i), hash)
		is.True(run(b, see))
	}
	is.Equal(stored, []uint64{100, 200, 300})
	is.Equal(evicted, []uint64{200})
}

func TestBatchCancelFreesMemory(t *testing.T) {
	is := is.New(t)
	b := &standin.Batch{MemoryTokens: 20}
	b.Add(standin.Job{Key: 1, PromptTokens: 5, OutputTokens: 10})
	b.Add(standin.Job{Key: 2, PromptTokens: 15, OutputTokens: 2})
	b.Step()
	is.Equal(b.Waiting(), 1)
	is.True(b.Cancel(1))
	is.True(b.Cancel(2))
	is.True(!b.Cancel(2))
	is.Equal(b.MemoryUsed(), 0)
}

func BenchmarkBatchStep(b *testing.B) {
	const jobs = 64
	batch := &standin.Batch{MemoryTokens: 16_384}
	key := uint64(0)
	tokens := 0
	for b.Loop() {
		for batch.Running()+batch.Waiting() < jobs {
			key++
			batch.Add(standin.Job{Key: key, PromptTokens: 50, PrefixHash: key % 8, PrefixTokens: 30, OutputTokens: int(key%400) + 1})
		}
		for _, c := range batch.Step() {
			if c.Kind == standin.TokenProduced {
				tokens++
			}
		}
	}
	b.ReportMetric(float64(tokens)/float64(b.N), "tokens/step")
}

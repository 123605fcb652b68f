package engineowner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/background"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

func TestEngineFaultsDoNotReachTheAnswer(t *testing.T) {
	tests := []struct {
		name string
		give func(*standin.Faults)
	}{
		{"none", func(*standin.Faults) {}},
		{"repeated tokens", func(f *standin.Faults) { f.DuplicateTokens.Store(5) }},
		{"missing tokens", func(f *standin.Faults) { f.OmitTokens.Store(2) }},
		{"tokens of another request", func(f *standin.Faults) { f.ForeignTokens.Store(3) }},
		{"ends of another request", func(f *standin.Faults) { f.ForeignEnds.Store(3) }},
		{"lost answer", func(f *standin.Faults) { f.LoseAnswers.Store(1) }},
		{"all", func(f *standin.Faults) {
			f.LoseAnswers.Store(1)
			f.DuplicateTokens.Store(3)
			f.OmitTokens.Store(1)
			f.ForeignTokens.Store(2)
			f.ForeignEnds.Store(1)
		}},
	}
	var want string
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := &standin.Server{StepMillis: 1, Seed: 1}
			o := start(t, server)
			tt.give(&server.Faults)
			in := request("tokens=40 same prompt")
			out := &recorder{}
			is.NoErr(generate(o, in, out))
			is.Equal(out.last().GetEnd().GetCode(), uint32(resultcode.OK))
			is.Equal(out.tokens(), uint64(40))
			if want == "" {
				want = out.text()
			}
			is.Equal(out.text(), want)
			is.Equal(server.Executions(in.GetRequestId()), 1)
		})
	}
}

func TestBrokenPathIsResumedFromTheReplayBuffer(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	o := start(t, server)
	in := request("tokens=30 resume")
	first := &recorder{breakAfter: 8}
	is.True(generate(o, in, first) != nil)
	in.FromPosition = first.tokens()
	in.Attach = first.last().GetGeneration()
	second := &recorder{}
	is.NoErr(generate(o, in, second))
	is.Equal(first.tokens()+second.tokens(), uint64(30))
	is.Equal(server.Executions(in.GetRequestId()), 1)
}

func TestRefusals(t *testing.T) {
	other := draft("tokens=3 x")
	other.Permit.Incarnation++
	lost := request("tokens=3 x")
	lost.Attach = &message.Generation{Backend: "coaching-1", Incarnation: incarnation + 1, Sequence: 1}
	foreign := request("tokens=3 x")
	foreign.Model = "other"
	tests := []struct {
		name         string
		give         *message.GenerateRequest
		leaving      bool
		wantCode     resultcode.Code
		wantRecorded bool
	}{
		{"permit of another incarnation", other, false, resultcode.NotOwner, true},
		{"generation of another incarnation", lost, false, resultcode.NotHeld, false},
		{"other model", foreign, false, resultcode.EngineRefused, false},
		{"leaving", request("tokens=3 x"), true, resultcode.Leaving, false},
		{"leaving, non-idempotent", draft("tokens=3 x"), true, resultcode.Leaving, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := &standin.Server{StepMillis: 1, Seed: 1}
			o := start(t, server)
			if tt.leaving {
				o.Leave()
			}
			out := &recorder{}
			is.NoErr(generate(o, tt.give, out))
			is.Equal(resultcode.Code(out.last().GetRefusal().GetCode()), tt.wantCode)
			is.Equal(out.last().GetRefusal().GetRecorded(), tt.wantRecorded)
			is.Equal(server.Executions(tt.give.GetRequestId()), 0)
		})
	}
}

// TestRecordedRefusalHolds: a non-idempotent request that was refused is refused
// again when it is retried, even if the cause of the refusal is gone.
func TestRecordedRefusalHolds(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	o := start(t, server)
	in := draft("tokens=3 x")
	o.Leave()
	is.NoErr(generate(o, in, &recorder{}))
	o.leaving.Store(false)
	out := &recorder{}
	is.NoErr(generate(o, in, out))
	is.Equal(resultcode.Code(out.last().GetRefusal().GetCode()), resultcode.Leaving)
	is.Equal(server.Executions(in.GetRequestId()), 0)
}

func TestSameRequestTwiceRunsOnce(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	o := start(t, server)
	in := draft("tokens=20 twice")
	recorders := []*recorder{{}, {}, {}}
	var group errgroup.Group
	for _, out := range recorders {
		group.Go(func() error { return generate(o, in, out) })
	}
	is.NoErr(group.Wait())
	for _, out := range recorders {
		is.Equal(out.tokens(), uint64(20))
		is.Equal(out.text(), recorders[0].text())
	}
	is.Equal(server.Executions(in.GetRequestId()), 1)
}

func TestCacheEvents(t *testing.T) {
	stored := func(sequence, hash uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Kind: engine.Stored, PrefixHash: hash}
	}
	evicted := func(sequence, hash uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Kind: engine.Evicted, PrefixHash: hash}
	}
	tests := []struct {
		name string
		give []engine.CacheEvent
		want []uint64
	}{
		{"stored", []engine.CacheEvent{stored(1, 5), stored(2, 6)}, []uint64{6, 5}},
		{"evicted", []engine.CacheEvent{stored(1, 5), stored(2, 6), evicted(3, 5)}, []uint64{6}},
		{"repeated", []engine.CacheEvent{stored(1, 5), evicted(2, 5), stored(1, 5)}, []uint64{}},
		{"gap", []engine.CacheEvent{stored(1, 5), stored(4, 6)}, []uint64{6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := &Owner{}
			o.applyCacheEvents(tt.give)
			is.Equal(append([]uint64{}, o.prefixes.hashes...), tt.want)
		})
	}
}

// TestUrgentRequestPreemptsRepeatableOne: the engine's memory is full with a
// non-idempotent generation and an idempotent one. An urgent request preempts the
// idempotent one.
func TestUrgentRequestPreemptsRepeatableOne(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 2, Seed: 1, MemoryTokens: 4096}
	o := start(t, server)
	o.Records = explanation.Writer{Ring: &explanation.Ring{}}
	long := func(words int) string { return " " + strings.Repeat("word ", words) }
	nonIdempotent, idempotent, urgent := draft("tokens=400"+long(800)), request("tokens=400"+long(800)), request("tokens=5"+long(1800))
	urgent.Class = "now"
	var group errgroup.Group
	for n, in := range []*message.GenerateRequest{nonIdempotent, idempotent} {
		group.Go(func() error { return generate(o, in, &recorder{}) })
		waitRunning(t, o, uint32(n+1))
	}
	is.NoErr(generate(o, urgent, &recorder{}))
	is.True(preemptedFor(o, idempotent.GetRequestId(), urgent.GetRequestId()))
	is.True(!preemptedFor(o, nonIdempotent.GetRequestId(), urgent.GetRequestId()))
	is.NoErr(group.Wait())
}

// TestUrgentRequestTakesABatchSlot: the engine's batch is full, including the slot
// for urgent requests. One more urgent request preempts a generation, which resumes
// afterwards and delivers its whole answer.
func TestUrgentRequestTakesABatchSlot(t *testing.T) {
	is := is.New(t)
	const batch, longTokens = 3, 400
	server := &standin.Server{StepMillis: 2, Seed: 1, MemoryTokens: 4096, MaxBatch: batch}
	o := start(t, server)
	o.Records = explanation.Writer{Ring: &explanation.Ring{}}
	o.Admission.BatchLimit = batch
	var group errgroup.Group
	var recorders [batch]recorder
	var long [batch]*message.GenerateRequest
	for n := range batch {
		long[n] = request(fmt.Sprintf("tokens=%d long %d", longTokens, n))
		if n == batch-1 {
			long[n].Class = "now"
		}
		group.Go(func() error { return generate(o, long[n], &recorders[n]) })
		waitToken(t, o, long[n])
	}
	urgent, out := request("tokens=5 now"), &recorder{}
	urgent.Class = "now"
	is.NoErr(generate(o, urgent, out))
	is.Equal(out.tokens(), uint64(5))
	preempted := 0
	for _, in := range long {
		if preemptedFor(o, in.GetRequestId(), urgent.GetRequestId()) {
			preempted++
		}
	}
	is.Equal(preempted, 1)
	is.True(o.Load().GetRunning() >= batch) // the preempted generation has not ended
	is.NoErr(group.Wait())
	for n := range recorders {
		is.Equal(recorders[n].tokens(), uint64(longTokens))
	}
}

// preemptedFor reports whether a request was preempted in favour of another.
func preemptedFor(o *Owner, id, favoured string) bool {
	for _, record := range o.Records.Ring.Find(id) {
		preempted, ok := record.Decision.(explanation.Preempted)
		if ok && preempted.InFavourOf == favoured {
			return true
		}
	}
	return false
}

// TestUnsentJobAtTheEndIsRefused guards against a generation that is admitted as the process ends, and that
// counts as one that may have run, although it was not sent to the engine.
func TestUnsentJobAtTheEndIsRefused(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1}
	o := start(t, server)
	in := draft("tokens=3 x")
	entry, _, err := o.Replay.Start(in.GetRequestId(), time.Now().Add(time.Minute))
	is.NoErr(err)
	j := &job{request: engine.Request{ID: in.GetRequestId()}, sequence: entry.Sequence, running: true}
	o.mu.Lock()
	o.jobs[in.GetRequestId()] = j
	o.mu.Unlock()
	ended, end := context.WithCancelCause(context.Background())
	end(background.ErrEnded)
	o.runJob(ended, j)
	out := &recorder{}
	is.NoErr(generate(o, in, out))
	is.Equal(resultcode.Code(out.last().GetEnd().GetCode()), resultcode.Leaving)
	is.Equal(server.Starts(), 0)
}

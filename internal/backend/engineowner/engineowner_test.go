package engineowner

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

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
		{"repeated tokens", func(f *standin.Faults) { f.RepeatTokens.Store(5) }},
		{"missing tokens", func(f *standin.Faults) { f.OmitTokens.Store(2) }},
		{"crossed tokens", func(f *standin.Faults) { f.CrossEvents.Store(3) }},
		{"crossed ends", func(f *standin.Faults) { f.CrossEnds.Store(3) }},
		{"lost answer", func(f *standin.Faults) { f.LoseAnswers.Store(1) }},
		{"all", func(f *standin.Faults) {
			f.LoseAnswers.Store(1)
			f.RepeatTokens.Store(3)
			f.OmitTokens.Store(1)
			f.CrossEvents.Store(2)
			f.CrossEnds.Store(1)
		}},
	}
	var want string
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := &standin.Server{StepMillis: 1, Seed: 1}
			k := start(t, server)
			tt.give(&server.Faults)
			in := request("tokens=40 same prompt")
			box := &recorder{}
			is.NoErr(generate(k, in, box))
			is.Equal(box.last().GetEnd().GetCode(), uint32(resultcode.OK))
			is.Equal(box.tokens(), uint64(40))
			if want == "" {
				want = box.text()
			}
			is.Equal(box.text(), want)
			is.Equal(server.Executions(in.GetRequestId()), 1)
		})
	}
}

func TestBrokenPathIsResumedFromTheReplayBuffer(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	k := start(t, server)
	in := request("tokens=30 resume")
	first := &recorder{breakAfter: 8}
	is.True(generate(k, in, first) != nil)
	in.FromPosition = first.tokens()
	in.Attach = first.last().GetGeneration()
	second := &recorder{}
	is.NoErr(generate(k, in, second))
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
		{"leaving, once only", draft("tokens=3 x"), true, resultcode.Leaving, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := &standin.Server{StepMillis: 1, Seed: 1}
			k := start(t, server)
			if tt.leaving {
				k.Leave()
			}
			box := &recorder{}
			is.NoErr(generate(k, tt.give, box))
			is.Equal(resultcode.Code(box.last().GetRefusal().GetCode()), tt.wantCode)
			is.Equal(box.last().GetRefusal().GetRecorded(), tt.wantRecorded)
			is.Equal(server.Executions(tt.give.GetRequestId()), 0)
		})
	}
}

// TestRecordedRefusalHolds proves that a request refused for good does not run
// when it comes again under better conditions.
func TestRecordedRefusalHolds(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	k := start(t, server)
	in := draft("tokens=3 x")
	k.Leave()
	is.NoErr(generate(k, in, &recorder{}))
	k.leaving.Store(false)
	box := &recorder{}
	is.NoErr(generate(k, in, box))
	is.Equal(resultcode.Code(box.last().GetRefusal().GetCode()), resultcode.Leaving)
	is.Equal(server.Executions(in.GetRequestId()), 0)
}

func TestSameRequestTwiceRunsOnce(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	k := start(t, server)
	in := draft("tokens=20 twice")
	boxes := []*recorder{{}, {}, {}}
	var group errgroup.Group
	for _, box := range boxes {
		group.Go(func() error { return generate(k, in, box) })
	}
	is.NoErr(group.Wait())
	for _, box := range boxes {
		is.Equal(box.tokens(), uint64(20))
		is.Equal(box.text(), boxes[0].text())
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
			k := &Owner{}
			k.applyCacheEvents(tt.give)
			is.Equal(append([]uint64{}, k.recent.hashes...), tt.want)
		})
	}
}

// TestUrgentRequestPreemptsRepeatableOne fills the engine's memory with a draft
// that may not be repeated and a check that may, and expects an urgent prompt
// to push the check aside.
func TestUrgentRequestPreemptsRepeatableOne(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 2, Seed: 1, MemoryTokens: 4096}
	k := start(t, server)
	k.Records = explanation.Writer{Ring: &explanation.Ring{}}
	long := func(words int) string { return " " + strings.Repeat("word ", words) }
	once, check, urgent := draft("tokens=400"+long(800)), request("tokens=400"+long(800)), request("tokens=5"+long(1800))
	urgent.Class = "now"
	var group errgroup.Group
	for n, in := range []*message.GenerateRequest{once, check} {
		group.Go(func() error { return generate(k, in, &recorder{}) })
		waitRunning(t, k, uint32(n+1))
	}
	is.NoErr(generate(k, urgent, &recorder{}))
	is.True(preemptedFor(k, check.GetRequestId(), urgent.GetRequestId()))
	is.True(!preemptedFor(k, once.GetRequestId(), urgent.GetRequestId()))
	is.NoErr(group.Wait())
}

// TestUrgentRequestTakesAPlace fills the engine's batch, the place for urgent
// requests among it. One more urgent request pushes a check aside, which goes on
// afterwards and comes whole.
func TestUrgentRequestTakesAPlace(t *testing.T) {
	is := is.New(t)
	const batch, longTokens = 3, 400
	server := &standin.Server{StepMillis: 2, Seed: 1, MemoryTokens: 4096, MaxBatch: batch}
	k := start(t, server)
	k.Records = explanation.Writer{Ring: &explanation.Ring{}}
	k.Admission.BatchLimit = batch
	var group errgroup.Group
	var boxes [batch]recorder
	var long [batch]*message.GenerateRequest
	for n := range batch {
		long[n] = request(fmt.Sprintf("tokens=%d long %d", longTokens, n))
		if n == batch-1 {
			long[n].Class = "now"
		}
		group.Go(func() error { return generate(k, long[n], &boxes[n]) })
		waitToken(t, k, long[n])
	}
	urgent, box := request("tokens=5 now"), &recorder{}
	urgent.Class = "now"
	is.NoErr(generate(k, urgent, box))
	is.Equal(box.tokens(), uint64(5))
	pushed := 0
	for _, in := range long {
		if preemptedFor(k, in.GetRequestId(), urgent.GetRequestId()) {
			pushed++
		}
	}
	is.Equal(pushed, 1)
	is.True(k.Load().GetRunning() >= batch) // the one pushed aside was not ended
	is.NoErr(group.Wait())
	for n := range boxes {
		is.Equal(boxes[n].tokens(), uint64(longTokens))
	}
}

// preemptedFor tells whether a request was preempted in favour of another.
func preemptedFor(k *Owner, id, favoured string) bool {
	for _, record := range k.Records.Ring.Find(id) {
		preempted, is := record.Decision.(explanation.Preempted)
		if is && preempted.InFavourOf == favoured {
			return true
		}
	}
	return false
}

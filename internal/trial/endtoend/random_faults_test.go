package endtoend

import (
	"math/rand/v2"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

const (
	// sequenceSteps is the number of faults in a sequence.
	sequenceSteps = 8
	// sequenceAnswerTokens is the length of each answer during a sequence.
	sequenceAnswerTokens = 400
	// sequenceStepMillis is the time between two faults.
	sequenceStepMillis = 400
)

// faultSequence injects random faults into a deployment. None of them may cause the loss
// of an answer.
type faultSequence struct {
	deployment *deployment
	random     *rand.Rand
}

// newFaultSequence returns a sequence with a random seed, which it logs.
func newFaultSequence(t *testing.T, d *deployment) *faultSequence {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	return &faultSequence{deployment: d, random: rand.New(rand.NewPCG(seed, 0))}
}

// step injects one random fault. Silenced connections are resumed after every second
// step on average.
func (s *faultSequence) step(t *testing.T) {
	b := s.deployment.backends[s.random.IntN(len(s.deployment.backends))]
	const count = 30 // tokens or ends that a fault of an engine affects
	switch n := s.random.IntN(8); n {
	case 0:
		b.engine.Faults.ForeignTokens.Add(count)
	case 1:
		b.engine.Faults.ForeignEnds.Add(count)
	case 2:
		b.engine.Faults.DuplicateTokens.Add(count)
	case 3:
		b.engine.Faults.OmitTokens.Add(count)
	case 4:
		b.engine.StallOpenStreams()
	case 5:
		b.relay.silence(direction(s.random.IntN(int(directions))))
	case 6:
		b.relay.silence(toBackend, toEntry)
	default:
		b.freeze()
		sleepMillis(t, shortProgressMillis/2)
		b.thaw()
	}
	sleepMillis(t, sequenceStepMillis)
	if s.random.IntN(2) == 0 {
		s.deployment.resumeAll()
	}
}

// TestRandomFaults checks that under consecutive and overlapping faults, and with a
// restart of an entry host, every caller receives exactly its own answer, from one
// execution.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2, relayed: true}))
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	all := prompts(12, sequenceAnswerTokens)
	streams := newReaderGroup(d, "programme", all[:6], first, second)
	buffered := newReaderGroup(d, "outline", all[6:9], second)
	var unstreamed errgroup.Group
	for _, prompt := range all[9:] {
		unstreamed.Go(func() error { return d.checkUnstreamed(second, newRequest("programme", prompt)) })
	}
	streams.started.Wait()
	s := newFaultSequence(t, d)
	for n := range sequenceSteps {
		s.step(t)
		if n == sequenceSteps/2 {
			d.entries[0].kill()
			d.entries[0].start()
		}
	}
	streams.checkComplete(t, d)
	buffered.checkComplete(t, d)
	if err := unstreamed.Wait(); err != nil {
		t.Error(err)
	}
}

// TestRandomFaultsWithOwnerLoss kills and restarts an owner between random faults. A
// streamed answer must be complete, or end as lost after correct tokens; an answer that is
// delivered only as a whole must be complete.
func TestRandomFaultsWithOwnerLoss(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 2, relayed: true}))
	c := newCaller(d.entries[0])
	all := prompts(12, sequenceAnswerTokens)
	streams := newReaderGroup(d, "programme", all[:6], c)
	buffered := newReaderGroup(d, "outline", all[6:], c)
	streams.started.Wait()
	s := newFaultSequence(t, d)
	s.step(t)
	d.backends[0].kill()
	d.backends[0].start()
	s.step(t)
	streams.wait(t)
	buffered.wait(t)
	for _, r := range streams.readers {
		if r.checkComplete() == nil {
			continue
		}
		if err := checkLost(&r.transcript, append(lostCodes, resultcode.EngineFailed)...); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
	}
	for _, r := range buffered.readers {
		if err := r.checkComplete(); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
	}
}

package endtoend

import (
	"math/rand/v2"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

const (
	// sequenceSteps is how many faults a storm consists of.
	sequenceSteps = 8
	// sequenceAnswerTokens is the length of each answer under a storm.
	sequenceAnswerTokens = 400
	// sequenceStepMillis is the time between two faults.
	sequenceStepMillis = 400
)

// faultSequence disturbs a deployment by faults drawn at random that cost no answer.
type faultSequence struct {
	d      *deployment
	random *rand.Rand
}

func newFaultSequence(t *testing.T, d *deployment) *faultSequence {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	return &faultSequence{d: d, random: rand.New(rand.NewPCG(seed, 0))}
}

// step begins one fault; those that last end with the next step.
func (s *faultSequence) step(t *testing.T) {
	b := s.d.backends[s.random.IntN(len(s.d.backends))]
	const count = 30
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
		s.d.resumeAll()
	}
}

// TestRandomFaults checks that every caller gets exactly its own answer from one
// execution under faults that follow each other and overlap, while an entry
// host is killed and started again.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 2, relayed: true}))
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	all := prompts(12, sequenceAnswerTokens)
	streams := newReaderGroup(d, "programme", all[:6], first, second)
	held := newReaderGroup(d, "outline", all[6:9], second)
	var wholes errgroup.Group
	for _, prompt := range all[9:] {
		wholes.Go(func() error { return d.checkUnstreamed(second, newRequest("programme", prompt)) })
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
	held.checkComplete(t, d)
	if err := wholes.Wait(); err != nil {
		t.Error(err)
	}
}

// TestRandomFaultsWithOwnerLoss checks the same while an owner dies: a streamed answer is
// whole or ends as lost after a right beginning, and a held one is whole.
func TestRandomFaultsWithOwnerLoss(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 2, relayed: true}))
	c := newCaller(d.entries[0])
	all := prompts(12, sequenceAnswerTokens)
	streams := newReaderGroup(d, "programme", all[:6], c)
	held := newReaderGroup(d, "outline", all[6:], c)
	streams.started.Wait()
	s := newFaultSequence(t, d)
	s.step(t)
	d.backends[0].kill()
	d.backends[0].start()
	s.step(t)
	streams.wait(t)
	held.wait(t)
	for _, r := range streams.readers {
		if r.checkComplete() == nil {
			continue
		}
		if err := checkLost(&r.transcript, append(lostCodes, resultcode.EngineFailed)...); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
	}
	for _, r := range held.readers {
		if err := r.checkComplete(); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
	}
}

package endtoend

import (
	"math/rand/v2"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

const (
	// stormSteps is how many faults a storm consists of.
	stormSteps = 8
	// stormTokens is the length of each answer under a storm.
	stormTokens = 400
	// stormMillis is the time between two faults.
	stormMillis = 400
)

// storm disturbs a deployment by faults drawn at random that cost no answer.
type storm struct {
	d      *deployment
	random *rand.Rand
}

func newStorm(t *testing.T, d *deployment) *storm {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	return &storm{d: d, random: rand.New(rand.NewPCG(seed, 0))}
}

// step begins one fault; those that last end with the next step.
func (s *storm) step(t *testing.T) {
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
		waitFor(t, quickProgressMillis/2)
		b.thaw()
	}
	waitFor(t, stormMillis)
	if s.random.IntN(2) == 0 {
		s.d.wakeAll()
	}
}

// TestStorm checks that every caller gets exactly its own answer from one
// execution under faults that follow each other and overlap, while an entry
// host is killed and started again.
func TestStorm(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, quick(layout{entries: 2, engines: 2, relayed: true}))
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	all := prompts(12, stormTokens)
	streams := newCrowd(d, "programme", all[:6], first, second)
	held := newCrowd(d, "outline", all[6:9], second)
	var wholes errgroup.Group
	for _, prompt := range all[9:] {
		wholes.Go(func() error { return d.checkWholeUnseen(second, ask("programme", prompt)) })
	}
	streams.begun.Wait()
	s := newStorm(t, d)
	for n := range stormSteps {
		s.step(t)
		if n == stormSteps/2 {
			d.entries[0].kill()
			d.entries[0].start()
		}
	}
	streams.checkWhole(t, d)
	held.checkWhole(t, d)
	if err := wholes.Wait(); err != nil {
		t.Error(err)
	}
}

// TestStormWithLoss checks the same while an owner dies: a streamed answer is
// whole or ends as lost after a right beginning, and a held one is whole.
func TestStormWithLoss(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, quick(layout{entries: 1, engines: 2, relayed: true}))
	c := newCaller(d.entries[0])
	all := prompts(12, stormTokens)
	streams := newCrowd(d, "programme", all[:6], c)
	held := newCrowd(d, "outline", all[6:], c)
	streams.begun.Wait()
	s := newStorm(t, d)
	s.step(t)
	d.backends[0].kill()
	d.backends[0].start()
	s.step(t)
	streams.wait(t)
	held.wait(t)
	for _, r := range streams.readers {
		if r.checkWhole() == nil {
			continue
		}
		if err := checkLost(&r.transcript, append(lostCodes, resultcode.EngineFailed)...); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
	}
	for _, r := range held.readers {
		if err := r.checkWhole(); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
	}
}

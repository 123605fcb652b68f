package endtoend

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

const (
	// tokensPerFault is the number of tokens that an injected fault affects.
	tokensPerFault = 60
	// omittedTokens is large enough that every open answer loses all its remaining
	// tokens, and that some tokens are lost again when they are requested again.
	omittedTokens = 900
)

// TestEngineFaults checks that faults in the event streams of an engine do not
// affect any answer. Several callers run concurrently, so that the engine can mix
// up their events.
func TestEngineFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		inject func(*testing.T, *engine.Server)
	}{
		{"tokens of other requests", func(_ *testing.T, s *engine.Server) { s.Faults.ForeignTokens.Store(tokensPerFault) }},
		{"ends of other requests", func(_ *testing.T, s *engine.Server) { s.Faults.ForeignEnds.Store(tokensPerFault) }},
		{"duplicate tokens", func(_ *testing.T, s *engine.Server) { s.Faults.DuplicateTokens.Store(tokensPerFault) }},
		{"omitted tokens", func(_ *testing.T, s *engine.Server) { s.Faults.OmitTokens.Store(tokensPerFault) }},
		{"omitted ends", func(_ *testing.T, s *engine.Server) { s.Faults.OmitTokens.Store(omittedTokens) }},
		{"duplicate tokens and stalled streams", func(t *testing.T, s *engine.Server) {
			s.Faults.DuplicateTokens.Store(tokensPerFault)
			eventually(t, "tokens were duplicated", func() error { return checkFaultsInjected(&s.Faults) })
			s.StallOpenStreams()
		}},
		{"stalled streams", func(_ *testing.T, s *engine.Server) { s.StallOpenStreams() }},
		{"lost answers", func(_ *testing.T, s *engine.Server) { s.Faults.LoseAnswers.Store(4) }},
		{"answers that end within their heads", func(_ *testing.T, s *engine.Server) { s.Faults.CutHeads.Store(4) }},
	}
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1}))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCaller(d.entries[0])
			first := newReaderGroup(d, "programme", prompts(6, 80), c)
			first.started.Wait()
			tt.inject(t, d.backends[0].engine)
			second := newReaderGroup(d, "outline", prompts(6, 40), c)
			first.checkComplete(t, d)
			second.checkComplete(t, d)
			if err := checkFaultsInjected(&d.backends[0].engine.Faults); err != nil {
				t.Error(err)
			}
		})
	}
}

// checkFaultsInjected returns an error while faults that were set have not all
// taken effect.
func checkFaultsInjected(f *engine.Faults) error {
	left := f.ForeignTokens.Load() + f.ForeignEnds.Load() + f.DuplicateTokens.Load() + f.OmitTokens.Load() + f.LoseAnswers.Load() + f.CutHeads.Load()
	if left > 0 {
		return errors.Newf("%d faults have not taken effect", left)
	}
	return nil
}

// TestEngineCrash checks that a crash of the engine ends streamed answers with
// EngineFailed, and that idempotent answers which are delivered only as a whole
// are retried without the caller noticing.
func TestEngineCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 2}))
	c := newCaller(d.entries[0])
	streams := newReaderGroup(d, "programme", prompts(4, 300), c)
	var group errgroup.Group
	for n, prompt := range prompts(4, 300) {
		group.Go(func() error {
			if n%2 == 0 {
				return d.checkUnstreamed(c, newRequest("programme", prompt))
			}
			return d.checkBufferedStream(c, newRequest("outline", prompt))
		})
	}
	streams.started.Wait()
	for _, b := range d.backends {
		b.engine.Crash()
	}
	is.NoErr(group.Wait())
	streams.wait(t)
	for _, r := range streams.readers {
		is.NoErr(checkLost(&r.transcript, resultcode.EngineFailed))
		is.Equal(d.executions(r.request), 1)
	}
}

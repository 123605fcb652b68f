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
	// tokensPerFault is how many tokens one switch of a fault disturbs.
	tokensPerFault = 60
	// omittedTokens is enough to leave out every token up to the ends of all
	// answers, and some of those that are asked for again.
	omittedTokens = 900
)

// TestEngineFaults checks that a disturbed stream of an engine disturbs no
// answer, with callers at once whose events may cross.
func TestEngineFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		disturb func(*testing.T, *engine.Server)
	}{
		{"crossed events", func(_ *testing.T, s *engine.Server) { s.Faults.ForeignTokens.Store(tokensPerFault) }},
		{"crossed ends", func(_ *testing.T, s *engine.Server) { s.Faults.ForeignEnds.Store(tokensPerFault) }},
		{"repeated tokens", func(_ *testing.T, s *engine.Server) { s.Faults.DuplicateTokens.Store(tokensPerFault) }},
		{"omitted tokens", func(_ *testing.T, s *engine.Server) { s.Faults.OmitTokens.Store(tokensPerFault) }},
		{"omitted ends", func(_ *testing.T, s *engine.Server) { s.Faults.OmitTokens.Store(omittedTokens) }},
		{"repeated tokens and silent streams", func(t *testing.T, s *engine.Server) {
			s.Faults.DuplicateTokens.Store(tokensPerFault)
			eventually(t, "tokens were repeated", func() error { return checkFaultsInjected(&s.Faults) })
			s.StallOpenStreams()
		}},
		{"silent streams", func(_ *testing.T, s *engine.Server) { s.StallOpenStreams() }},
		{"lost answers", func(_ *testing.T, s *engine.Server) { s.Faults.LoseAnswers.Store(4) }},
	}
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 1}))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCaller(d.entries[0])
			first := newReaderGroup(d, "programme", prompts(6, 80), c)
			first.started.Wait()
			tt.disturb(t, d.backends[0].engine)
			second := newReaderGroup(d, "outline", prompts(6, 40), c)
			first.checkComplete(t, d)
			second.checkComplete(t, d)
			if err := checkFaultsInjected(&d.backends[0].engine.Faults); err != nil {
				t.Error(err)
			}
		})
	}
}

// checkFaultsInjected checks that every fault that was switched has happened.
func checkFaultsInjected(f *engine.Faults) error {
	left := f.ForeignTokens.Load() + f.ForeignEnds.Load() + f.DuplicateTokens.Load() + f.OmitTokens.Load() + f.LoseAnswers.Load()
	if left > 0 {
		return errors.Newf("%d faults did not happen", left)
	}
	return nil
}

// TestEngineCrash checks that a crash of the engine ends streamed answers as
// failed, and that whole repeatable answers run again unseen.
func TestEngineCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 1, engines: 2}))
	c := newCaller(d.entries[0])
	w := newReaderGroup(d, "programme", prompts(4, 300), c)
	var group errgroup.Group
	for n, prompt := range prompts(4, 300) {
		group.Go(func() error {
			if n%2 == 0 {
				return d.checkUnstreamed(c, newRequest("programme", prompt))
			}
			return d.checkBufferedStream(c, newRequest("outline", prompt))
		})
	}
	w.started.Wait()
	for _, b := range d.backends {
		b.engine.Crash()
	}
	is.NoErr(group.Wait())
	w.wait(t)
	for _, r := range w.readers {
		is.NoErr(checkLost(&r.transcript, resultcode.EngineFailed))
		is.Equal(d.executions(r.request), 1)
	}
}

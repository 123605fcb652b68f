package configversion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
)

// lateMillis is the delay after which some failed appends take effect.
const lateMillis = 300

// faultyLog is a log that delays every call, and loses some calls and answers. Some of
// the lost appends take effect later.
type faultyLog struct {
	journal.Log

	mu     sync.Mutex
	random *rand.Rand
	// lossPermille is the fraction of calls that fail, in thousandths.
	lossPermille int
}

func newFaultyLog(seed uint64, lossPermille int) *faultyLog {
	return &faultyLog{Log: &standin.Store{}, random: rand.New(rand.NewPCG(seed, 1)), lossPermille: lossPermille}
}

// draw returns a random delay and whether the call is lost.
func (f *faultyLog) draw() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.IntN(20)) * time.Millisecond, f.random.IntN(1000) < f.lossPermille
}

func (f *faultyLog) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	delay, lost := f.draw()
	time.Sleep(delay)
	if _, late := f.draw(); lost && late {
		time.AfterFunc(lateMillis*time.Millisecond, func() { _, _ = f.Log.Append(context.Background(), name, data) })
	}
	if lost {
		return 0, journal.ErrUnknown
	}
	offset, err := f.Log.Append(ctx, name, data)
	delay, lost = f.draw()
	time.Sleep(delay)
	if lost {
		return 0, journal.ErrUnknown
	}
	return offset, err
}

func (f *faultyLog) Read(ctx context.Context, name string, from uint64, limit int) (journal.Page, error) {
	delay, lost := f.draw()
	time.Sleep(delay)
	if lost {
		return journal.Page{}, journal.ErrUnavailable
	}
	page, err := f.Log.Read(ctx, name, from, limit)
	delay, _ = f.draw()
	time.Sleep(delay)
	return page, err
}

// registerInput is an operation on the version in force: the change named by ID, or a
// read when ID is empty.
type registerInput struct {
	ID       string
	Replaces uint64
}

// registerOutput is the result of an operation.
type registerOutput struct {
	Outcome string
	Version uint64
	ID      string
}

const (
	outcomeRead     = "read"
	outcomeAccepted = "accepted"
	outcomeConflict = "conflict"
	outcomeUnknown  = "unknown"
)

// registerState is the version in force and the ID of its change.
type registerState struct {
	Version uint64
	ID      string
}

// registerModel returns the model of a register with compare-and-swap.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{registerState{}} },
		Step: func(state, input, output any) []any {
			return stepRegister(state.(registerState), input.(registerInput), output.(registerOutput))
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func stepRegister(s registerState, in registerInput, out registerOutput) []any {
	swapped := registerState{Version: in.Replaces + 1, ID: in.ID}
	switch out.Outcome {
	case outcomeAccepted:
		if s.Version == in.Replaces && out.Version == swapped.Version {
			return []any{swapped}
		}
	case outcomeConflict:
		if s.Version != in.Replaces && s.Version == out.Version && s.ID == out.ID {
			return []any{s}
		}
	case outcomeUnknown:
		if s.Version == in.Replaces {
			return []any{s, swapped}
		}
		return []any{s}
	case outcomeRead:
		if s.Version == out.Version && s.ID == out.ID {
			return []any{s}
		}
	}
	return nil
}

// recorder records a history of operations with logical times.
type recorder struct {
	mu      sync.Mutex
	clock   int64
	history []porcupine.Operation
}

func (r *recorder) now() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

func (r *recorder) run(client int, in registerInput, operation func() registerOutput) {
	call := r.now()
	out := operation()
	done := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if out.Outcome == outcomeUnknown {
		done = 1 << 60 // it may take effect at any later time
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: done})
}

// race runs concurrent operators and readers, and returns their history. The argument
// apply replaces the fold; nil means State.Apply.
func race(t *testing.T, seed uint64, apply applyFunc) []porcupine.Operation {
	const operators, readers, rounds = 4, 2, 4
	r := &recorder{}
	synctest.Test(t, func(t *testing.T) {
		log := newFaultyLog(seed, 300)
		var g errgroup.Group
		for operator := range operators {
			g.Go(func() error {
				for round := range rounds {
					applyOnce(t, r, log, apply, operator, round)
				}
				return nil
			})
		}
		for reader := range readers {
			g.Go(func() error {
				for range rounds {
					readOnce(t, r, log, apply, operators+reader)
				}
				return nil
			})
		}
		is.New(t).NoErr(g.Wait())
	})
	return r.history
}

func applyOnce(t *testing.T, r *recorder, log journal.Log, apply applyFunc, operator, round int) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(400*time.Millisecond))
	defer cancel()
	c := cursor{log: log, apply: apply}
	if err := c.advance(ctx); err != nil {
		return
	}
	id := fmt.Sprintf("o%d-%d", operator, round)
	in := registerInput{ID: id, Replaces: c.state.Configuration.Version}
	r.run(operator, in, func() registerOutput {
		publisher := Publisher{Journal: log, apply: apply}
		configuration, err := publisher.Publish(ctx, Change{ID: id, Replaces: in.Replaces, Text: smallDocument(round)})
		var conflict *ConflictError
		switch {
		case err == nil:
			return registerOutput{Outcome: outcomeAccepted, Version: configuration.Version, ID: configuration.ID}
		case errors.As(err, &conflict):
			return registerOutput{Outcome: outcomeConflict, Version: conflict.InForce, ID: conflict.Winner}
		default:
			return registerOutput{Outcome: outcomeUnknown}
		}
	})
}

func readOnce(t *testing.T, r *recorder, log journal.Log, apply applyFunc, client int) {
	for done := false; !done; {
		call := r.now()
		c := cursor{log: log, apply: apply}
		if err := c.advance(t.Context()); err != nil {
			continue
		}
		done = true
		configuration := c.state.Configuration
		returned := r.now()
		r.mu.Lock()
		r.history = append(r.history, porcupine.Operation{
			ClientId: client, Input: registerInput{}, Call: call,
			Output: registerOutput{Outcome: outcomeRead, Version: configuration.Version, ID: configuration.ID}, Return: returned,
		})
		r.mu.Unlock()
	}
}

const historySeeds = 30

// TestOperatorRacesAreLinearizable checks that the results of concurrent operators and
// readers are linearizable, although the log loses calls and answers.
func TestOperatorRacesAreLinearizable(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(historySeeds) {
		history := race(t, seed, nil)
		for _, operation := range history {
			outcomes[operation.Output.(registerOutput).Outcome]++
		}
		if !porcupine.CheckOperations(registerModel(), history) {
			t.Errorf("seed %d: history is not linearizable: %+v", seed, history)
		}
	}
	t.Logf("seeds 0 to %d: %v", historySeeds-1, outcomes)
	for _, outcome := range []string{outcomeRead, outcomeAccepted, outcomeConflict, outcomeUnknown} {
		is.New(t).True(outcomes[outcome] > 0) // every outcome occurs in the histories
	}
}

// TestHistoryCheckCanFail checks that the linearizability check detects faulty folds.
func TestHistoryCheckCanFail(t *testing.T) {
	broken := map[string]applyFunc{
		"ignores the replaced version": func(s State, record journal.Record) (State, Verdict) {
			entry, err := Decode(record.Data)
			p, ok := entry.(Proposal)
			if err != nil || !ok {
				return s.Apply(record)
			}
			p.Replaces = s.Configuration.Version
			p.Version = p.Replaces + 1
			return s.WithThrough(record.Offset).applyProposal(p)
		},
		"last one wins": func(s State, record journal.Record) (State, Verdict) {
			entry, err := Decode(record.Data)
			p, ok := entry.(Proposal)
			if err != nil || !ok || p.Version != s.Configuration.Version {
				return s.Apply(record)
			}
			configuration, err := newConfiguration(p.Version, p.ID, p.Author, p.Document)
			if err != nil {
				return s.Apply(record)
			}
			return s.WithThrough(record.Offset).WithConfiguration(configuration), Accepted{Version: configuration.Version}
		},
	}
	for name, apply := range broken {
		t.Run(name, func(t *testing.T) {
			rejected := 0
			for seed := range uint64(historySeeds) {
				if !porcupine.CheckOperations(registerModel(), race(t, seed, apply)) {
					rejected++
				}
			}
			t.Logf("rejected %d of %d histories", rejected, historySeeds)
			is.New(t).True(rejected > 0)
		})
	}
}

package reconciler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	standinengine "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	standinweights "github.com/fulmarvalve/fulmarvalve/internal/standin/weights"
)

// maxAttempts is the maximum number of times that a resumed process reconciles until
// it succeeds.
const maxAttempts = 5

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestOrdersFollowTheConfiguration(t *testing.T) {
	forEachEngine(t, func(b *testbed) {
		r, local := b.start(configversion.Configuration{})
		b.publish(local, configurationOf(1, "1", 2, "strength"))
		settle()
		b.publish(local, configurationOf(2, "1", 2, "strength"))
		settle()
		b.publish(local, configurationOf(3, "2", 2))
		settle()
		b.is.Equal(b.orders(), []string{
			"1 LoadModel coach1", "1 LoadAdapter strength1", "1 ChangeRole Serving",
			"2 ChangeRole Serving",
			"3 ChangeRole Serving", "3 LoadVersion coach2",
		})
		b.is.Equal(b.loads("1"), 1)
		b.is.Equal(r.Status(), Status{ModelVersion: "2", Role: instruction.RoleServing, OrderedVersion: 3})
	})
}

// TestOrderIsRepeatedAfterALostAnswer: when the answer to an order is lost, the order
// is repeated with the same fencing number, and the plan is computed again after
// settleMillis.
func TestOrderIsRepeatedAfterALostAnswer(t *testing.T) {
	forEachEngine(t, func(b *testbed) {
		b.engine.Faults.LoseOrders.Store(2)
		b.log.accept(configurationOf(1, "1", 2))
		b.start(configurationOf(1, "1", 2))
		settle()
		b.is.True(!b.numberDecreased())
		b.is.Equal(b.engine.State().Version, "1")
		b.is.Equal(b.engine.State().Role, instruction.RoleServing)
		b.is.Equal(b.loads("1"), 1)
	})
}

// TestPlanIsRepeatedAfterALostAnswer: a copy of an old order takes effect late, after
// the plan of a newer version. The repeated plan corrects the engine's state.
func TestPlanIsRepeatedAfterALostAnswer(t *testing.T) {
	b := &testbed{engine: &standinengine.Server{HidesState: true}}
	inVirtualTime(t, b, func(b *testbed) {
		_, local := b.start(configversion.Configuration{})
		b.engine.Faults.LoseOrders.Store(1)
		b.publish(local, configurationOf(1, "1", 1))
		synctest.Wait()
		b.publish(local, configurationOf(2, "2", 1))
		time.Sleep(10 * time.Second)
		late := engine.Order{Kind: engine.LoadModel, Target: modelName, Version: "1", Fence: 1}
		client := &engine.Client{Address: "engine", HTTP: b.client(&b.enginePipe)}
		b.is.NoErr(client.Order(b.ctx, late))
		b.is.Equal(b.engine.State().Version, "1")
		settle()
		b.is.Equal(b.engine.State().Version, "2")
		b.is.Equal(b.loads("2"), 1)
	})
}

// TestReplacementConfirmsTheNumber: a process that starts with an old configuration
// does not send its orders to an engine that has been given a newer one.
func TestReplacementConfirmsTheNumber(t *testing.T) {
	forEachEngine(t, func(b *testbed) {
		_, local := b.start(configversion.Configuration{})
		b.publish(local, configurationOf(1, "1", 1))
		settle()
		b.publish(local, configurationOf(2, "2", 1))
		settle()
		b.stop()
		r, _ := b.start(configurationOf(1, "1", 1))
		settle()
		b.is.True(!b.numberDecreased())
		b.is.Equal(b.engine.State().Version, "2")
		b.is.Equal(r.Status().Waiting, "")
	})
}

// TestReplacementWaitsForTheLog: while the log is down, a replacement process can't
// confirm which orders the engine has been given. It sends orders only to an engine
// that checks fencing numbers or has nothing loaded.
func TestReplacementWaitsForTheLog(t *testing.T) {
	tests := []struct {
		name   string
		engine *standinengine.Server
		empty  bool
		orders bool
	}{
		{"ignores", &standinengine.Server{}, false, false},
		{"ignores and hides", &standinengine.Server{HidesState: true}, false, false},
		{"ignores and is empty", &standinengine.Server{}, true, true},
		{"checks", &standinengine.Server{ChecksFencing: true}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inVirtualTime(t, &testbed{engine: tt.engine}, func(b *testbed) {
				b.log.accept(configurationOf(1, "1", 1))
				if !tt.empty {
					b.start(configurationOf(1, "1", 1))
					settle()
					b.stop()
				}
				b.log.setDown(true)
				before := len(b.orders())
				b.start(configurationOf(2, "2", 1))
				settle()
				b.is.Equal(len(b.orders()) > before, tt.orders)
				b.log.accept(configurationOf(2, "2", 1))
				b.log.setDown(false)
				settle()
				b.is.Equal(b.engine.State().Version, "2")
			})
		})
	}
}

// TestResumedProcessDoesNotSendAStaleOrder: a process is paused after planning an
// order and before sending it. The engine is given a newer version in the meantime.
func TestResumedProcessDoesNotSendAStaleOrder(t *testing.T) {
	forEachEngine(t, func(b *testbed) {
		first := configurationOf(1, "1", 1)
		b.log.accept(first)
		former, _ := b.newReconciler(first)
		former.prepare()
		b.is.NoErr(former.refresh(b.ctx))
		old := instruction.Plan(first.Document, 1, former.backend(), former.engineState)[0]

		_, local := b.start(first)
		settle()
		b.publish(local, configurationOf(2, "2", 1))
		settle()
		err := former.send(b.ctx, old)
		b.is.True(errors.Is(err, instruction.ErrExpired))
		b.is.True(!b.numberDecreased())
		b.is.Equal(b.engine.State().Version, "2")

		for range maxAttempts {
			err = former.reconcile(b.ctx, former.Configuration.Changed())
			if err == nil {
				break
			}
		}
		b.is.NoErr(err)
		b.is.True(!b.numberDecreased())
		b.is.Equal(b.engine.State().Version, "2")
	})
}

func TestNewerConfigurationReplacesThePlan(t *testing.T) {
	b := &testbed{
		engine: &standinengine.Server{},
		store:  &standinweights.Server{LoadMillis: 120_000},
	}
	inVirtualTime(t, b, func(b *testbed) {
		_, local := b.start(configversion.Configuration{})
		b.publish(local, configurationOf(1, "1", 1))
		time.Sleep(60 * time.Second)
		b.publish(local, configurationOf(2, "2", 1))
		time.Sleep(125 * time.Second)
		b.is.Equal(b.orders(), []string{"2 LoadModel coach2", "2 ChangeRole Serving"})
		b.is.Equal(b.loads("1"), 0)
	})
}

// TestUnrelatedChangesDoNotInterruptALoad: a load completes even if the operator file
// changes at intervals shorter than the load.
func TestUnrelatedChangesDoNotInterruptALoad(t *testing.T) {
	b := &testbed{
		engine: &standinengine.Server{},
		store:  &standinweights.Server{LoadMillis: 120_000},
	}
	inVirtualTime(t, b, func(b *testbed) {
		_, local := b.start(configversion.Configuration{})
		for number := range uint64(6) {
			b.publish(local, configurationOf(number+1, "1", 1))
			time.Sleep(27 * time.Second)
		}
		b.is.Equal(b.orders(), []string{"5 LoadModel coach1", "5 ChangeRole Serving", "6 ChangeRole Serving"})
		b.is.Equal(b.loads("1"), 1)
	})
}

// TestEngineServesWhileWeightsLoad: a generation that is open during a change of the
// model's version is neither interrupted nor started again.
func TestEngineServesWhileWeightsLoad(t *testing.T) {
	const tokens = 30_000
	b := &testbed{
		engine: &standinengine.Server{MemoryTokens: 2 * tokens, StepMillis: 5},
		store:  &standinweights.Server{LoadMillis: 60_000},
	}
	inVirtualTime(t, b, func(b *testbed) {
		_, local := b.start(configversion.Configuration{})
		b.publish(local, configurationOf(1, "1", 1))
		settle()
		client := &engine.Client{Address: "engine", HTTP: b.client(&b.enginePipe)}
		prompt := fmt.Sprintf("tokens=%d", tokens)
		stream, err := client.Generate(b.ctx, engine.Request{ID: "draft", Model: modelName, Prompt: prompt})
		b.is.NoErr(err)
		b.publish(local, configurationOf(2, "2", 1))
		for position := range tokens {
			event, err := stream.Next()
			b.is.NoErr(err)
			b.is.Equal(event.(engine.Token).Position, position)
		}
		end, err := stream.Next()
		b.is.NoErr(err)
		b.is.Equal(end, engine.Finished{RequestID: "draft", Reason: engine.ReasonStop, Tokens: tokens})
		b.is.NoErr(stream.Close())
		b.is.Equal(b.engine.Executions("draft"), 1)
		b.is.Equal(b.engine.State().Version, "2")
	})
}

func TestStoreFaults(t *testing.T) {
	const adapter = "strength"
	tests := []struct {
		name     string
		store    *standinweights.Server
		prepare  func(*standinweights.Server)
		endFault func(*standinweights.Server)
		// readyBefore reports whether the engine is ready before the fault ends.
		readyBefore bool
		loads       int
	}{
		{
			"down", &standinweights.Server{},
			func(s *standinweights.Server) { s.Faults.Down.Store(true) },
			func(s *standinweights.Server) { s.Faults.Down.Store(false) },
			false, 1,
		},
		{
			"slow", &standinweights.Server{},
			func(s *standinweights.Server) { s.Faults.SlowMillis.Store(80_000) },
			func(*standinweights.Server) {}, true, 1,
		},
		{
			"lost answers", &standinweights.Server{},
			func(s *standinweights.Server) { s.Faults.LoseAnswers.Store(2) },
			func(*standinweights.Server) {}, true, 3,
		},
		{
			"rate-limited", &standinweights.Server{LoadsPerMinute: 1},
			func(*standinweights.Server) {},
			func(*standinweights.Server) {}, true, 1,
		},
		{
			"without the version", &standinweights.Server{Versions: map[string][]string{modelName: {"0"}, adapter: {"1"}}},
			func(*standinweights.Server) {},
			func(*standinweights.Server) {}, false, 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inVirtualTime(t, &testbed{engine: &standinengine.Server{}, store: tt.store}, func(b *testbed) {
				tt.prepare(b.store)
				r, local := b.start(configversion.Configuration{})
				b.publish(local, configurationOf(1, "1", 1, adapter))
				settle()
				b.is.Equal(b.engine.State().Role == instruction.RoleServing, tt.readyBefore)
				b.is.Equal(r.Status().Waiting == "", tt.readyBefore)
				tt.endFault(b.store)
				settle()
				b.is.Equal(b.loads("1"), tt.loads)
				b.is.Equal(len(b.engine.State().Adapters), min(tt.loads, 1))
			})
		})
	}
}

func TestModelIsReloadedAfterAnEngineCrash(t *testing.T) {
	b := &testbed{engine: &standinengine.Server{ChecksFencing: true}}
	inVirtualTime(t, b, func(b *testbed) {
		b.start(configurationOf(1, "1", 1))
		settle()
		b.engine.Crash()
		b.is.Equal(b.engine.State(), engine.State{})
		settle()
		b.is.Equal(b.engine.State(), engine.State{Fence: 1, Model: modelName, Version: "1", Role: instruction.RoleServing})
		b.is.Equal(b.loads("1"), 2)
	})
}

func TestStandbyWaitsForOpenRequests(t *testing.T) {
	b := &testbed{engine: &standinengine.Server{}}
	inVirtualTime(t, b, func(b *testbed) {
		b.log.accept(configurationOf(1, "1", 1))
		b.start(configurationOf(1, "1", 1))
		settle()
		b.stop()
		b.rank = 1
		b.open = 1
		r, _ := b.start(configurationOf(1, "1", 1))
		settle()
		b.is.Equal(b.engine.State().Role, instruction.RoleServing)
		b.is.True(r.Status().Waiting != "")
		b.stop()
		b.open = 0
		b.start(configurationOf(1, "1", 1))
		settle()
		b.is.Equal(b.engine.State().Role, instruction.RoleStandby)
	})
}

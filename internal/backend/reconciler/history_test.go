package reconciler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	standinweights "github.com/fulmarvalve/fulmarvalve/internal/standin/weights"
)

const (
	// historySeeds is the number of random histories for each kind of engine.
	historySeeds = 4
	// historySteps is the number of events of one history.
	historySteps = 60
)

// history is one random run of configurations, faults and replacements.
type history struct {
	*testbed
	random         *rand.Rand
	configurations []configversion.Configuration
	// local is the configuration of the running process.
	local *localConfiguration
}

// TestRandomHistories: under random faults the fencing numbers at the engine never
// decrease, and the engine reaches the last version once all faults have ended.
func TestRandomHistories(t *testing.T) {
	for name := range engineKinds() {
		for seed := range uint64(historySeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				b := &testbed{
					engine: engineKinds()[name],
					store:  &standinweights.Server{LoadsPerMinute: 30, LoadMillis: 2000},
				}
				inVirtualTime(t, b, func(b *testbed) {
					h := &history{testbed: b, random: rand.New(rand.NewPCG(seed, 1))}
					h.run()
				})
			})
		}
	}
}

// run executes one random history and checks its result.
func (h *history) run() {
	h.accept()
	_, h.local = h.start(h.configurations[0])
	for range historySteps {
		h.step()
		time.Sleep(time.Duration(h.random.IntN(15_000)) * time.Millisecond)
	}
	h.engine.Faults.Down.Store(false)
	h.store.Faults.Down.Store(false)
	h.log.setDown(false)
	last := h.configurations[len(h.configurations)-1]
	h.local.receive(last)
	settle()
	settle()
	h.is.True(!h.numberDecreased())
	h.is.Equal(h.engine.State().Version, last.Document.Models[0].Version)
	h.is.Equal(h.engine.State().Role, instruction.RoleServing)
}

// accept adds another version to the log, which no process has received yet.
func (h *history) accept() {
	number := uint64(len(h.configurations) + 1)
	configuration := configurationOf(number, fmt.Sprint(h.random.IntN(3)), 1, "strength")
	h.configurations = append(h.configurations, configuration)
	h.log.accept(configuration)
}

// step injects one random event.
func (h *history) step() {
	switch h.random.IntN(8) {
	case 0, 1:
		h.accept()
	case 2, 3:
		h.local.receive(h.configurations[len(h.configurations)-1])
	case 4:
		h.engine.Faults.LoseOrders.Store(2)
	case 5:
		h.store.Faults.Down.Store(h.random.IntN(2) == 0)
	case 6:
		h.engine.Faults.Down.Store(h.random.IntN(2) == 0)
	case 7:
		h.log.setDown(h.random.IntN(2) == 0)
		h.replace()
	}
}

// replace stops the process and starts another one with a random earlier
// configuration.
func (h *history) replace() {
	h.stop()
	_, h.local = h.start(h.configurations[h.random.IntN(len(h.configurations))])
}

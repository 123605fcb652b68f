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
	// historySeeds is the number of random histories for each engine.
	historySeeds = 4
	// historySteps is the number of events of one history.
	historySteps = 60
)

// history is one random run of configurations, faults and replacements.
type history struct {
	*bench
	random   *rand.Rand
	editions []configversion.Configuration
	// heard is what the running process has heard of.
	heard *heard
}

// TestRandomHistories: numbers never go back at the engine, and the engine ends
// at the last version once all faults are mended.
func TestRandomHistories(t *testing.T) {
	for name := range kindsOfEngine() {
		for seed := range uint64(historySeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				b := &bench{
					engine: kindsOfEngine()[name],
					store:  &standinweights.Server{LoadsPerMinute: 30, LoadMillis: 2000},
				}
				inVirtualTime(t, b, func(b *bench) {
					h := &history{bench: b, random: rand.New(rand.NewPCG(seed, 1))}
					h.run()
				})
			})
		}
	}
}

func (h *history) run() {
	h.accept()
	_, h.heard = h.start(h.editions[0])
	for range historySteps {
		h.step()
		time.Sleep(time.Duration(h.random.IntN(15_000)) * time.Millisecond)
	}
	h.engine.Faults.Down.Store(false)
	h.store.Faults.Down.Store(false)
	h.log.setDown(false)
	last := h.editions[len(h.editions)-1]
	h.heard.hear(last)
	quiet()
	quiet()
	h.is.True(!h.wentBack())
	h.is.Equal(h.engine.State().Version, last.Document.Models[0].Version)
	h.is.Equal(h.engine.State().Role, instruction.RoleServing)
}

// accept puts another version in the log, of which nobody has heard.
func (h *history) accept() {
	number := uint64(len(h.editions) + 1)
	e := editionOf(number, fmt.Sprint(h.random.IntN(3)), 1, "strength")
	h.editions = append(h.editions, e)
	h.log.accept(e)
}

func (h *history) step() {
	switch h.random.IntN(8) {
	case 0, 1:
		h.accept()
	case 2, 3:
		h.heard.hear(h.editions[len(h.editions)-1])
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

// replace ends the process; the next one starts with a configuration as old as any.
func (h *history) replace() {
	h.stop()
	_, h.heard = h.start(h.editions[h.random.IntN(len(h.editions))])
}

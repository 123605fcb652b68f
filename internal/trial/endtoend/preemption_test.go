package endtoend

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

// TestPreempted checks that a generation that is preempted several times resumes at
// the same position, also when its connections stop delivering data.
func TestPreempted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, withShortTimeouts(layout{entries: 2, engines: 1, relayed: true}))
	prompt := prompts(1, 200)[0]
	s, err := newCaller(d.entries[0]).stream(newRequest("programme", prompt))
	is.NoErr(err)
	defer s.close()
	answer := newTranscript(d.output(prompt))
	orders := &engine.Client{Address: d.backends[0].settings.EngineAddress}
	for n := range 4 {
		is.NoErr(answer.readUntil(s, answer.position+tokensBeforeFault))
		is.NoErr(orders.Order(context.Background(), engine.Order{
			Kind:      engine.Preempt,
			Fence:     uint64(n + 1),
			RequestID: answer.request,
		}))
		if n%2 == 1 {
			d.silenceAll(toBackend, toEntry)
		}
	}
	is.NoErr(answer.readAll(s))
	is.NoErr(answer.checkComplete())
	is.Equal(d.executions(answer.request), 1)
	is.Equal(d.preemptionOrders(), 4)
}

// preemptionOrders returns the number of preemption orders that the first engine
// received, without its owner's orders to load a model and to serve.
func (d *deployment) preemptionOrders() int {
	count := 0
	for _, order := range d.backends[0].engine.Orders() {
		if order.Kind == engine.Preempt {
			count++
		}
	}
	return count
}

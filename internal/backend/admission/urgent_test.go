package admission

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestUrgentUsesHeadroom(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.Policy.UrgentHeadroomPermille = 200
	fill(c)
	urgent := request("urgent")
	urgent.Urgent = true
	_, ok := c.Offer(urgent, start).(Admit)
	is.True(ok)
}

func TestUrgentDuringFlood(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.Policy.QueueLimit = 8
	c.Policy.UrgentHeadroomPermille = 200
	for i := range 100 {
		c.Offer(request(fmt.Sprint("flood ", i)), start)
	}
	urgent := request("urgent")
	urgent.Urgent = true
	urgent.Account = "desk"
	_, ok := c.Offer(urgent, start).(Admit)
	is.True(ok)
}

// TestSmallBatchReservesAnUrgentSlot checks that one slot is reserved for urgent
// requests even if the headroom, here 50 in a thousand of a batch of ten, is less
// than one slot.
func TestSmallBatchReservesAnUrgentSlot(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.BatchLimit = 10
	c.CapacityTokens = 1_000_000
	is.Equal(fill(c), 9)
	urgent := request("urgent")
	urgent.Urgent = true
	_, admitted := c.Offer(urgent, start).(Admit)
	is.True(admitted)
}

// TestUrgentTakesASlotInAFullBatch checks that, when the batch is full including
// its urgent slot, further urgent requests start until half of the batch has to be
// preempted, and that no other request starts before the preempted generations
// resume.
func TestUrgentTakesASlotInAFullBatch(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.BatchLimit = 10
	c.CapacityTokens = 1_000_000
	fill(c)
	starts := 0
	for n := range 8 {
		urgent := request(fmt.Sprint("urgent ", n))
		urgent.Urgent, urgent.Priority = true, 1
		if _, admitted := c.Offer(urgent, start).(Admit); admitted {
			starts++
		}
	}
	is.Equal(starts, 6)
	is.Equal(c.Excess(), 5)
	c.Release("urgent 0")
	is.Equal(len(c.Next(start)), 1)
	is.Equal(c.Excess(), 5)
}

// TestUrgentDoesNotPreemptEqualPriority checks that an urgent request waits when the
// batch is full of requests that the engine would resume before it.
func TestUrgentDoesNotPreemptEqualPriority(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.BatchLimit = 2
	c.CapacityTokens = 1_000_000
	for n := range 2 {
		high := request(fmt.Sprint("high ", n))
		high.Urgent, high.Priority = n == 1, 5
		c.Offer(high, start)
	}
	urgent := request("urgent")
	urgent.Urgent, urgent.Priority = true, 5
	_, waits := c.Offer(urgent, start).(Wait)
	is.True(waits)
}

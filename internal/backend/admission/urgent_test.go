package admission

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestUrgentUsesHeadroom(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.Policy.UrgentHeadroomPermille = 200
	fill(b)
	urgent := request("urgent")
	urgent.Urgent = true
	_, ok := b.Offer(urgent, start).(Admit)
	is.True(ok)
}

func TestUrgentDuringFlood(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.Policy.QueueLimit = 8
	b.Policy.UrgentHeadroomPermille = 200
	for i := range 100 {
		b.Offer(request(fmt.Sprint("flood ", i)), start)
	}
	urgent := request("urgent")
	urgent.Urgent = true
	urgent.Account = "desk"
	_, ok := b.Offer(urgent, start).(Admit)
	is.True(ok)
}

// TestSmallBatchKeepsAnUrgentPlace fills a batch of ten, of which 50 in a
// thousand are less than one place.
func TestSmallBatchKeepsAnUrgentPlace(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.BatchLimit = 10
	b.CapacityTokens = 1_000_000
	is.Equal(fill(b), 9)
	urgent := request("urgent")
	urgent.Urgent = true
	_, admitted := b.Offer(urgent, start).(Admit)
	is.True(admitted)
}

// TestUrgentTakesAPlaceInAFullBatch fills a batch with its urgent place and
// offers more urgent requests: they start until half of the batch would be
// pushed aside, and nothing else starts before those go on.
func TestUrgentTakesAPlaceInAFullBatch(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.BatchLimit = 10
	b.CapacityTokens = 1_000_000
	fill(b)
	starts := 0
	for n := range 8 {
		urgent := request(fmt.Sprint("urgent ", n))
		urgent.Urgent, urgent.Priority = true, 1
		if _, admitted := b.Offer(urgent, start).(Admit); admitted {
			starts++
		}
	}
	is.Equal(starts, 6)
	is.Equal(b.Excess(), 5)
	b.Release("urgent 0")
	is.Equal(len(b.Next(start)), 1)
	is.Equal(b.Excess(), 5)
}

// TestUrgentSparesHigherPriority fills a batch with requests that the engine
// would resume before the urgent one.
func TestUrgentSparesHigherPriority(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.BatchLimit = 2
	b.CapacityTokens = 1_000_000
	for n := range 2 {
		high := request(fmt.Sprint("high ", n))
		high.Urgent, high.Priority = n == 1, 5
		b.Offer(high, start)
	}
	urgent := request("urgent")
	urgent.Urgent, urgent.Priority = true, 5
	_, waits := b.Offer(urgent, start).(Wait)
	is.True(waits)
}

package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestReturnsAreSpread replays a moment of crowding: many requests are refused at once.
// Their callers return one after the other, not together, and no sooner than room
// usually comes.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(1_000_000_000)
	var r returnSchedule
	for n := range 100 {
		r.recordPlaced(300, now.AddMillis(int64(n)*50)) // room after 300 ms, 20 requests a second
	}
	now = now.AddMillis(5000)
	previous := int64(0)
	for n := range 20 {
		millis := r.nextReturn(300, now)
		is.True(millis >= 250)
		is.True(n == 0 || millis >= previous+40)
		previous = millis
	}
	is.True(previous < 2000) // at the rate at which requests find room
	is.True(r.nextReturn(300, now.AddMillis(60_000)) < 600)
}

// TestReturnsGrowWithTheWait checks that callers return later when room comes later.
func TestReturnsGrowWithTheWait(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(1_000_000_000)
	var short, long returnSchedule
	for n := range 50 {
		short.recordPlaced(100, now.AddMillis(int64(n)*100))
		long.recordPlaced(1200, now.AddMillis(int64(n)*100))
	}
	is.True(long.nextReturn(1000, now) > 3*short.nextReturn(100, now))
	var unknown returnSchedule
	is.True(unknown.nextReturn(0, now) >= firstWaitMillis/2)
}

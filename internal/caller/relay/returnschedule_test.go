package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestReturnsAreSpread replays a moment of crowding: many requests are refused at once.
// Their callers return one after the other, not together, at the rate at which requests
// find room.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(1_000_000_000)
	var r returnSchedule
	for n := range 100 {
		r.recordPlaced(now.AddMillis(int64(n) * 50)) // 20 requests a second find room
	}
	now = now.AddMillis(5000)
	previous := int64(0)
	for n := range 20 {
		millis := r.nextReturn(now)
		is.True(millis >= minReturnMillis)
		is.True(n == 0 || millis >= previous+40)
		previous = millis
	}
	is.True(previous < 2000)
	is.Equal(r.nextReturn(now.AddMillis(60_000)), int64(minReturnMillis)) // the crowd has gone
}

// TestReturnsFollowTheRate checks that callers return later when fewer requests find
// room, within bounds.
func TestReturnsFollowTheRate(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(1_000_000_000)
	var fast, slow returnSchedule
	for n := range 50 {
		fast.recordPlaced(now.AddMillis(int64(n) * 20))
		slow.recordPlaced(now.AddMillis(int64(n) * 800))
	}
	now = now.AddMillis(60_000)
	var lastFast, lastSlow int64
	for range 5 {
		lastFast, lastSlow = fast.nextReturn(now), slow.nextReturn(now)
	}
	is.True(lastSlow > 5*lastFast)
	for range 100 {
		is.True(slow.nextReturn(now) <= maxReturnMillis)
	}
	var unknown returnSchedule
	is.Equal(unknown.nextReturn(now), int64(minReturnMillis))
}

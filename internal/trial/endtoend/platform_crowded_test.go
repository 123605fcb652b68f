package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestPlatformCrowded sends more streams at once than the engines have memory for. Those
// that find room are complete. The others never reach an engine: while they can still be
// on time they are refused as not run, with a time to return that they can use.
func TestPlatformCrowded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 2, 0)
	const (
		streams       = 9
		promptTokens  = 10_000 // three of these fit into the memory of an engine
		outputEvents  = 150
		onTimeMillis  = 1500
		slackMillis   = 500
		fittingAtMost = 6
	)
	replies := make([]callerReply, streams)
	took := make([]time.Duration, streams)
	var group errgroup.Group
	for n := range streams {
		group.Go(func() error {
			r := streamRequest(fmt.Sprint("crowd-", n), outputEvents)
			r.prompt = promptTokens
			begun := time.Now()
			replies[n] = s.send(context.Background(), r)
			took[n] = time.Since(begun)
			return nil
		})
	}
	_ = group.Wait()
	served, refused := 0, 0
	for n, reply := range replies {
		switch reply.status {
		case http.StatusOK:
			served++
			is.NoErr(reply.err)
			is.Equal(reply.events(), eventNumbers(outputEvents))
		case http.StatusServiceUnavailable:
			refused++
			seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(seconds > 0 && seconds < 8) // the caller waits for 8 s
			is.True(took[n] < (onTimeMillis+slackMillis)*time.Millisecond)
		default:
			t.Errorf("stream %d was answered %d", n, reply.status)
		}
	}
	is.Equal(served+refused, streams)
	is.True(served >= 2 && served <= fittingAtMost)
	is.Equal(len(s.arrivals()), served) // a refused stream was sent to no engine

	later := streamRequest("later", 5)
	is.Equal(s.send(context.Background(), later).status, http.StatusOK) // the memory is free again
	huge := streamRequest("huge", 5)
	huge.prompt = 40_000
	begun := time.Now()
	reply := s.send(context.Background(), huge)
	is.Equal(reply.status, http.StatusServiceUnavailable)
	is.Equal(reply.header.Get("Retry-After"), "") // no engine will ever have room
	is.True(time.Since(begun) < slackMillis*time.Millisecond)
}

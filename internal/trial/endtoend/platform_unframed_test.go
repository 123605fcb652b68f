package endtoend

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// TestStreamThatEndsWithItsConnection guards against a stream without chunks that was broken off
// and reaches the caller as a complete answer.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	t.Parallel()
	const events = 12
	cases := []struct {
		name   string
		faults replica.Faults
		// status and events are what the caller gets. A broken stream also ends with an error,
		// unless nothing of it was sent.
		status   int
		events   int
		complete bool
	}{
		{"complete", replica.Faults{}, http.StatusOK, events, true},
		{"ends within an event", replica.Faults{BreakAfter: 5, BreakWithinEvent: true}, http.StatusOK, 5, false},
		{"engine crashes between events", replica.Faults{CrashAfter: 5}, http.StatusOK, 5, false},
		{"engine crashes before the first event", replica.Faults{CrashPart: crashPart}, http.StatusBadGateway, 0, false},
		{"ends before the first event", replica.Faults{BreakAfter: -1}, http.StatusBadGateway, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newCrashSite(t, 1, 1)
			c.faults.EndByClose = true
			s.recent(1).SetFaults(c.faults)
			request := streamRequest("unframed", events)
			request.header = http.Header{"Fulmarvalve-Prompt-Prefix": {crashPart + ":10,e0:10"}}
			got := s.send(context.Background(), request)
			is.Equal(got.status, c.status)
			is.Equal(len(got.events()), c.events)
			whole := got.err == nil && got.status == http.StatusOK
			is.Equal(whole, c.complete)
		})
	}
}

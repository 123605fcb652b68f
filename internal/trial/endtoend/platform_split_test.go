package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// crossedConfiguration returns the configuration in which the routes of streams lead to the plain
// service, and the other ones to the engines.
func crossedConfiguration(version int) string {
	crossed := strings.NewReplacer(`"service":"engines"`, `"traffic_split":[{"service":"plain","weight":1}]`,
		`"service":"plain"`, `"traffic_split":[{"service":"engines","weight":1}]`)
	return crossed.Replace(platformConfiguration(version, []string{platformKey}))
}

// crossRoutes puts that configuration in force.
func (s *platformSite) crossRoutes() {
	s.t.Helper()
	s.version++
	s.log.Put("keyed.op", "config", []byte(crossedConfiguration(s.version)))
	eventually(s.t, "the configuration is in force", func() error {
		got := s.send(context.Background(), callerRequest{method: http.MethodGet, target: plainPath, id: fmt.Sprint("look", len(s.arrivals())), key: platformKey})
		if got.err != nil {
			return got.err
		}
		if !strings.HasPrefix(got.header.Get("Fulmarvalve-Response-Signature"), "engine-") {
			return errNotYet
		}
		return nil
	})
}

// TestRoutesToServicesOfTheOtherKind guards against a change of the configuration that ends entry hosts:
// a route of streams may be split to a service without engines, and a route without streams to one
// with engines.
func TestRoutesToServicesOfTheOtherKind(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events = 20
	s := newPlatformSite(t, 2, 2)
	first := s.send(context.Background(), streamRequest("before", events))
	is.Equal(first.events(), eventNumbers(events))
	s.crossRoutes()
	for n, target := range []string{streamPath, resumablePath} {
		request := streamRequest(fmt.Sprint("stream", n), events)
		request.target = target
		got := s.send(context.Background(), request)
		is.NoErr(got.err)
		is.Equal(got.events(), eventNumbers(events))
	}
	got := s.send(context.Background(), callerRequest{method: http.MethodPost, target: oncePath, id: "book", key: platformKey, body: "{}"})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)

	for _, server := range s.plainServices {
		server.SetFaults(replica.Faults{BreakAfter: events})
	}
	request := streamRequest("resumed", events+5) // the second server breaks it, too
	request.target = resumablePath
	got = s.send(context.Background(), request)
	is.True(got.err != nil)
	is.Equal(got.events(), eventNumbers(events))
	resumed := 0
	for _, a := range s.arrivals() {
		if a.Header.Get("Last-Event-Id") == fmt.Sprint(events) {
			resumed++
		}
	}
	is.Equal(resumed, 1)
	is.True(s.entry.running())
}

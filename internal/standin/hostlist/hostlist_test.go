package hostlist_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/hostlist"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// statusCounter is an HTTP transport that counts the responses by status.
type statusCounter struct {
	counts map[int]int
}

// RoundTrip sends the request and counts its response.
func (c *statusCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		c.counts[resp.StatusCode]++
	}
	return resp, err
}

func TestList(t *testing.T) {
	is := is.New(t)
	var seconds atomic.Int64
	entry := hostlist.Host{Name: "entry-1", Role: hostlist.RoleEntry, Zone: "a", State: hostlist.StateLive}
	backend := hostlist.Host{Name: "backend 1/2", Role: hostlist.RoleBackend, Zone: "b", Model: "coach", State: hostlist.StateLive}
	s := &standin.Server{
		InitialHosts: []hostlist.Host{entry},
		LagMillis:    1000,
		Now:          func() time.Time { return time.Unix(seconds.Load(), 0) },
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	counter := &statusCounter{counts: make(map[int]int)}
	client := &hostlist.Client{Address: server.Listener.Addr().String(), HTTP: &http.Client{Transport: counter}}
	check := func(want ...hostlist.Host) {
		t.Helper()
		hosts, err := client.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(hosts, want)
		clear(hosts) // Changes of the returned list must not reach the client's cache.
	}

	check(entry)
	is.NoErr(client.Register(t.Context(), backend))
	check(entry)
	is.Equal(counter.counts[http.StatusNotModified], 1)
	seconds.Add(1)
	check(backend, entry)

	s.Faults.LoseAnswers.Store(1)
	err := client.Register(t.Context(), backend.WithState(hostlist.StateLeaving))
	is.True(errors.Is(err, hostlist.ErrUnavailable))
	s.Faults.Stuck.Store(true)
	seconds.Add(1)
	check(backend, entry)
	s.Faults.Stuck.Store(false)
	check(backend.WithState(hostlist.StateLeaving), entry)

	s.Remove(backend.Name)
	seconds.Add(1)
	s.Faults.Down.Store(true)
	_, err = client.Hosts(t.Context())
	is.True(errors.Is(err, hostlist.ErrUnavailable))
	s.Faults.Down.Store(false)
	check(entry)
}

func TestRegisterRefusesInvalidHosts(t *testing.T) {
	tests := []struct {
		name string
		host hostlist.Host
	}{
		{"no role", hostlist.Host{Name: "a", State: hostlist.StateLive}},
		{"no state", hostlist.Host{Name: "a", Role: hostlist.RoleEntry}},
	}
	s := &standin.Server{}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := &hostlist.Client{Address: server.Listener.Addr().String()}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(client.Register(t.Context(), tt.host), hostlist.ErrRefused))
			is.Equal(len(s.Hosts()), 0)
		})
	}
}

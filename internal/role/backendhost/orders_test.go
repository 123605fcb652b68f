package backendhost

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

func TestRank(t *testing.T) {
	host := func(name, model, state string) hostlist.Host {
		return hostlist.Host{Name: name, Role: hostlist.RoleBackend, Model: model, State: state}
	}
	live, leaving := hostlist.StateLive, hostlist.StateLeaving
	tests := []struct {
		name   string
		listed []hostlist.Host
		want   int
	}{
		{"empty list", nil, 0},
		{"this engine and a following one", []hostlist.Host{host("c", "coach", live), host("d", "coach", live)}, 0},
		{"preceding engines", []hostlist.Host{host("a", "coach", live), host("b", "coach", live)}, 2},
		{"preceding engine that is leaving", []hostlist.Host{host("a", "coach", leaving), host("b", "coach", live)}, 1},
		{"engine of another model", []hostlist.Host{host("a", "drafter", live)}, 0},
		{"entry host", []hostlist.Host{{Name: "a", Role: hostlist.RoleEntry, State: live}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRank("c", "coach")
			is.Equal(r.value(), instruction.RankUnknown)
			r.update(tt.listed)
			is.Equal(r.value(), tt.want)
		})
	}
}

func TestOnlyEnginesReceiveOrders(t *testing.T) {
	tests := []struct {
		kind  string
		store string
		want  bool
	}{
		{process.KindEngine, "", true},
		{process.KindEngine, "127.0.0.1:9", true},
		{process.KindPlain, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.kind+tt.store, func(t *testing.T) {
			is := is.New(t)
			settings := process.DefaultBackend()
			settings.Kind = tt.kind
			settings.MemoryTokens = 1000
			settings.WeightStoreAddress = tt.store
			h := &Host{Settings: settings}
			h.prepare()
			is.Equal(h.orders != nil, tt.want)
			is.Equal(h.status().Orders != nil, tt.want)
			if tt.want {
				is.Equal(h.orders.reconciler.Store != nil, tt.store != "")
			}
		})
	}
}

// TestSecondProcessOnHostSendsNoOrders guards against two processes that send orders
// to the same engine. A process sends orders only while it listens on its peer
// address, so a second process with the same settings fails before it sends any.
func TestSecondProcessOnHostSendsNoOrders(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	first, err := transport.Listen(ctx, "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(first.Close()) }()
	engineCalls := &countingEngine{}
	server := httptest.NewServer(engineCalls)
	defer server.Close()

	settings := process.DefaultBackend()
	settings.Kind = process.KindEngine
	settings.MemoryTokens = 1000
	settings.PeerAddress = first.Addr().String()
	settings.MetricsAddress = "127.0.0.1:0"
	settings.EngineAddress = server.Listener.Addr().String()
	second := &Host{Settings: settings}
	err = second.Run(lifecycle.Lifecycle{Drain: ctx, Abort: ctx})
	is.True(errors.Is(err, syscall.EADDRINUSE))
	is.Equal(engineCalls.calls.Load(), int64(0))
}

// countingEngine is an engine that counts its calls and answers none of them.
type countingEngine struct {
	calls atomic.Int64
}

func (e *countingEngine) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	e.calls.Add(1)
	w.WriteHeader(http.StatusNotFound)
}

package backendhost

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/reconciler"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
	"github.com/fulmarvalve/fulmarvalve/internal/role/configuration"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// orders sends the engine its orders. Host.Run starts the reconciler only when the
// process listens on its peer address. As no second process on the host can listen
// there at the same time, at most one process sends orders.
type orders struct {
	reconciler *reconciler.Reconciler
	rank       *rank
}

func (h *Host) newOrders() *orders {
	engineRank := newRank(h.Settings.Name, h.Settings.Model)
	log := &journal.Client{Address: h.Settings.LogServiceAddress, HTTP: transport.NewPlatformClient()}
	r := &reconciler.Reconciler{
		Model:         h.Settings.Model,
		Rank:          engineRank.value,
		Open:          h.owner.Open,
		Configuration: confirmedSource{Source: h.configuration, log: log},
		Engine: &engine.Client{
			Address: h.Settings.EngineAddress,
			HTTP:    &http.Client{Transport: transport.NewTransport()},
		},
		ChecksFencing: h.Settings.EngineChecksFencing,
		Log:           h.Log,
	}
	if h.Settings.WeightStoreAddress != "" {
		r.Store = &weights.Client{Address: h.Settings.WeightStoreAddress, HTTP: transport.NewPlatformClient()}
	}
	return &orders{reconciler: r, rank: engineRank}
}

// status returns the status of the orders, or nil beside a plain service.
func (o *orders) status() *peer.OrderStatus {
	if o == nil {
		return nil
	}
	status := o.reconciler.Status()
	return &peer.OrderStatus{
		ModelVersion:   status.ModelVersion,
		EngineRole:     status.Role,
		OrderedVersion: status.OrderedVersion,
		Waiting:        status.Waiting,
	}
}

// confirmedSource is a configuration source that reads the log when the reconciler
// requires a confirmed version.
type confirmedSource struct {
	*configuration.Source
	log journal.Log
}

// Confirm reads the log up to its end, so that the source holds the newest accepted
// version.
func (c confirmedSource) Confirm(ctx context.Context) error {
	return c.ReadLog(ctx, c.log)
}

// rank is the position of an engine among the live engines of its model in the
// platform's host list, ordered by name. It is safe for concurrent use.
type rank struct {
	name  string
	model string
	// before is the number of engines that precede this one. It is
	// instruction.RankUnknown until the host list has been read.
	before atomic.Int64
}

func newRank(name, model string) *rank {
	r := &rank{name: name, model: model}
	r.before.Store(instruction.RankUnknown)
	return r
}

// update counts the live engines of the model whose names precede this engine's
// name. With this order, the loss of an engine changes the role of at most one
// other engine.
func (r *rank) update(listed []hostlist.Host) {
	before := int64(0)
	for _, h := range listed {
		live := h.Role == hostlist.RoleBackend && h.State == hostlist.StateLive
		if live && h.Model == r.model && h.Name < r.name {
			before++
		}
	}
	r.before.Store(before)
}

func (r *rank) value() int { return int(r.before.Load()) }

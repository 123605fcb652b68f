package engine

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// orderState holds the executed orders and their effect on the engine.
type orderState struct {
	// highest is the highest fencing number of an executed order.
	highest uint64
	// executed holds the executed orders, oldest first.
	executed []engine.Order
	// state is the state of the engine after the executed orders.
	state engine.State
}

// execute records a valid order and applies it to the state.
func (o *orderState) execute(order engine.Order) {
	o.highest = max(o.highest, order.Fence)
	o.executed = append(o.executed, order)
	switch order.Kind {
	case engine.LoadModel, engine.LoadVersion:
		o.state.Model = order.Target
		o.state.Version = order.Version
		o.state.Adapters = nil
	case engine.LoadAdapter:
		if !slices.Contains(o.state.Adapters, order.Target) {
			o.state.Adapters = append(slices.Clone(o.state.Adapters), order.Target)
		}
	case engine.ChangeRole:
		o.state.Role = order.Target
	}
}

// Orders returns the orders that took effect, oldest first.
func (s *Server) Orders() []engine.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders.executed)
}

// State returns the state of the engine after the executed orders.
func (s *Server) State() engine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.orders.state
	if s.ChecksFencing {
		state.Fence = s.orders.highest
	}
	return state
}

func (s *Server) reportState(w http.ResponseWriter, _ *http.Request) {
	if s.HidesState {
		http.Error(w, "state is not reported", http.StatusNotFound)
		return
	}
	serving.WriteJSON(w, s.State())
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status := s.execute(order)
	if status == http.StatusNoContent && serving.TakeOne(&s.Faults.LoseOrders) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// execute executes an order, unless it is invalid or fenced, and returns the status
// of the response.
func (s *Server) execute(order engine.Order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.ChecksFencing && order.Fence < s.orders.highest {
		return http.StatusPreconditionFailed
	}
	switch order.Kind {
	case engine.LoadModel, engine.LoadAdapter, engine.LoadVersion, engine.ChangeRole:
	case engine.Preempt:
		g, ok := s.latest[order.RequestID]
		if !ok || !s.batch.Preempt(g.key) {
			return http.StatusNotFound
		}
	default:
		return http.StatusBadRequest
	}
	s.orders.execute(order)
	return http.StatusNoContent
}

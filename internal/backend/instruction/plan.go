package instruction

import (
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Plan returns the orders that take an engine from the state reached to the one
// that the document asks for, in the order in which they are to be sent. There
// are none when the engine is there already, or when it has been given a higher
// number. A document that does not name the model leaves the engine as it is.
//
// Each new version leads to at least one order to an engine that has a role, so
// that an engine which checks numbers refuses the orders of earlier versions
// from then on.
func Plan(document operatorfile.Document, version uint64, backend Backend, reached State) []Order {
	if version < reached.Number {
		return nil
	}
	var actions []Action
	if version > reached.Number && reached.Role != "" {
		// The same role again raises the engine's number before long loads.
		actions = append(actions, ChangeRole{Role: reached.Role})
	}
	if model, found := document.Model(backend.Model); found {
		actions = append(actions, changes(model, backend, reached)...)
	}
	return number(version, actions)
}

// changes returns the loads and then the role that are missing.
func changes(model operatorfile.Model, backend Backend, reached State) []Action {
	role := roleOf(model, backend)
	var actions []Action
	if role != RoleStandby {
		actions = loads(model, reached)
	}
	if role != reached.Role {
		actions = append(actions, ChangeRole{Role: role})
	}
	return actions
}

// roleOf returns the engine's role. An engine keeps serving while its rank is
// unknown.
func roleOf(model operatorfile.Model, backend Backend) string {
	if backend.Rank >= model.Replicas {
		return RoleStandby
	}
	return RoleServing
}

// loads returns the loads that are missing. Another version of the model needs
// its adapters anew.
func loads(model operatorfile.Model, reached State) []Action {
	var actions []Action
	held := reached.Adapters
	switch {
	case reached.Model != model.Name:
		actions = append(actions, LoadModel{Model: model.Name, Version: model.Version})
		held = nil
	case reached.Version != model.Version:
		actions = append(actions, LoadVersion{Model: model.Name, Version: model.Version})
		held = nil
	}
	for _, adapter := range model.Adapters {
		if !slices.Contains(held, adapter) {
			actions = append(actions, LoadAdapter{Adapter: adapter, Version: model.Version})
		}
	}
	return actions
}

// number gives the orders of one version its fencing number.
func number(version uint64, actions []Action) []Order {
	orders := make([]Order, 0, len(actions))
	for _, action := range actions {
		orders = append(orders, Order{Number: version, Action: action})
	}
	return orders
}

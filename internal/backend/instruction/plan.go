package instruction

import (
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Plan returns the orders that bring an engine from the given state to the one that
// the document requires, in the order in which they are to be sent. It returns none
// if the engine is in that state already, or if it has been given a higher fencing
// number. If the document does not contain the model, the engine keeps its model and
// role.
//
// Each new version leads to at least one order to an engine that has a role, so that
// an engine that checks fencing numbers refuses the orders of earlier versions from
// then on.
func Plan(document operatorfile.Document, version uint64, backend Backend, state State) []Order {
	if version < state.Number {
		return nil
	}
	var actions []Action
	if version > state.Number && state.Role != "" {
		// Repeating the role raises the engine's fencing number before long loads.
		actions = append(actions, ChangeRole{Role: state.Role})
	}
	if model, found := document.Model(backend.Model); found {
		actions = append(actions, changes(model, backend, state)...)
	}
	return number(version, actions)
}

// changes returns the missing loads, followed by the change of the role if it
// differs.
func changes(model operatorfile.Model, backend Backend, state State) []Action {
	role := roleOf(model, backend)
	var actions []Action
	if role != RoleStandby {
		actions = loads(model, state)
	}
	if role != state.Role {
		actions = append(actions, ChangeRole{Role: role})
	}
	return actions
}

// roleOf returns the role that the engine is to have. An engine whose rank is unknown
// serves.
func roleOf(model operatorfile.Model, backend Backend) string {
	if backend.Rank >= model.Replicas {
		return RoleStandby
	}
	return RoleServing
}

// loads returns the missing loads. After a change of the model or its version, all
// adapters have to be loaded again.
func loads(model operatorfile.Model, state State) []Action {
	var actions []Action
	held := state.Adapters
	switch {
	case state.Model != model.Name:
		actions = append(actions, LoadModel{Model: model.Name, Version: model.Version})
		held = nil
	case state.Version != model.Version:
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

// number returns the orders for the actions, with the version as fencing number.
func number(version uint64, actions []Action) []Order {
	orders := make([]Order, 0, len(actions))
	for _, action := range actions {
		orders = append(orders, Order{Number: version, Action: action})
	}
	return orders
}

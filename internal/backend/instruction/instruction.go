// Package instruction derives the orders for an engine from the operator file in
// force, and prevents stale orders from being sent. Package reconciler sends the
// orders.
//
// Plan returns the orders. They are a pure function of the operator file, its
// version, the backend server and the state of the engine.
//
// The fencing number of an order is the version of the operator file. Versions
// follow the order of the log and never decrease. An engine that checks fencing
// numbers refuses an order whose number is lower than the highest that it has been
// given. Fence does the same in the owner process, for engines that don't.
package instruction

// Roles of an engine.
const (
	// RoleServing is the role of the engines that hold the model's replicas.
	RoleServing = "Serving"
	// RoleStandby is the role of engines beyond the model's replicas.
	RoleStandby = "Standby"
)

// RankUnknown is the Rank of an engine whose position among the engines is unknown.
const RankUnknown = -1

// Backend is the backend server whose engine the orders are for.
type Backend struct {
	// Model is the name of the model in the operator file.
	Model string
	// Rank is the number of live engines of the model that precede this one, or
	// RankUnknown.
	Rank int
}

// Order is one order to an engine. It is immutable.
type Order struct {
	// Number is the fencing number: the version of the operator file that the
	// order was derived from.
	Number uint64
	Action Action
}

// Action is the action of an order: LoadModel, LoadVersion, LoadAdapter or
// ChangeRole. Each action is idempotent.
type Action interface{ isAction() }

// LoadModel loads a version of a model and replaces the loaded model.
type LoadModel struct {
	Model   string
	Version string
}

// LoadVersion loads another version of the loaded model.
type LoadVersion struct {
	Model   string
	Version string
}

// LoadAdapter loads an adapter for the loaded version of the model.
type LoadAdapter struct {
	Adapter string
	// Version is the version of the model.
	Version string
}

// ChangeRole changes the role of the engine.
type ChangeRole struct {
	// Role is RoleServing or RoleStandby.
	Role string
}

func (LoadModel) isAction()   {}
func (LoadVersion) isAction() {}
func (LoadAdapter) isAction() {}
func (ChangeRole) isAction()  {}

// Weights identifies the weights that the weight store provides for one load.
type Weights struct {
	// Name is the name of a model or an adapter.
	Name    string
	Version string
}

// Weights returns the weights that the engine needs for the order. It returns false
// if the engine needs none.
func (o Order) Weights() (Weights, bool) {
	switch a := o.Action.(type) {
	case LoadModel:
		return Weights{Name: a.Model, Version: a.Version}, true
	case LoadVersion:
		return Weights{Name: a.Model, Version: a.Version}, true
	case LoadAdapter:
		return Weights{Name: a.Adapter, Version: a.Version}, true
	default:
		return Weights{}, false
	}
}

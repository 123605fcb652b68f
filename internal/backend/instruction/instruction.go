// Package instruction derives the orders of an engine from the operator file in
// force, and refuses to send an order that is old.
//
// The orders are a pure function of the document, its version, the backend
// server and the state that the engine has reached. The fencing number of an
// order is the version, which comes from log order and never goes back.
package instruction

// Roles of an engine.
const (
	// RoleServing is the role of the engines that hold the model's replicas.
	RoleServing = "Serving"
	// RoleStandby is the role of engines beyond the model's replicas.
	RoleStandby = "Standby"
)

// RankUnknown as Rank says that the position among the engines is not known.
const RankUnknown = -1

// Backend is the backend server whose engine the orders are for.
type Backend struct {
	// Model is the name of the model in the operator file.
	Model string
	// Rank counts the live engines of the model that come before this one, or
	// is RankUnknown.
	Rank int
}

// Order is one order to an engine. It is immutable.
type Order struct {
	// Number is the fencing number: the version of the operator file that the
	// order was derived from.
	Number uint64
	Action Action
}

// Action is what an order does: LoadModel, LoadVersion, LoadAdapter or
// ChangeRole. Each is idempotent.
type Action interface{ isAction() }

// LoadModel loads a version of a model in place of another model.
type LoadModel struct {
	Model   string
	Version string
}

// LoadVersion loads another version of the model that is loaded.
type LoadVersion struct {
	Model   string
	Version string
}

// LoadAdapter loads an adapter for the version of the model that is loaded.
type LoadAdapter struct {
	Adapter string
	// Version is the version of the model.
	Version string
}

// ChangeRole gives the engine a role.
type ChangeRole struct {
	// Role is RoleServing or RoleStandby.
	Role string
}

func (LoadModel) isAction()   {}
func (LoadVersion) isAction() {}
func (LoadAdapter) isAction() {}
func (ChangeRole) isAction()  {}

// Weights names what the weight store hands out for one load.
type Weights struct {
	// Name is of a model or adapter.
	Name    string
	Version string
}

// Weights returns the weights that the engine needs for the order. It reports
// false when it needs none.
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

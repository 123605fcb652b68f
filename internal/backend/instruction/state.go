package instruction

import "slices"

// State is the state that an engine has reached. The zero value is an engine
// of which nothing is known. It is immutable.
type State struct {
	// Number is the highest fencing number that the engine has been given.
	Number uint64
	// Model and Version are what is loaded.
	Model   string
	Version string
	// Adapters are loaded for the model's version.
	Adapters []string
	// Role is empty while it is unknown.
	Role string
}

// With returns the state after the engine has carried out an order.
func (r State) With(order Order) State {
	r.Number = max(r.Number, order.Number)
	switch a := order.Action.(type) {
	case LoadModel:
		r.Model = a.Model
		r.Version = a.Version
		r.Adapters = nil
	case LoadVersion:
		r.Model = a.Model
		r.Version = a.Version
		r.Adapters = nil
	case LoadAdapter:
		r.Adapters = append(slices.Clone(r.Adapters), a.Adapter)
	case ChangeRole:
		r.Role = a.Role
	}
	return r
}

// WithNumber returns the state with a fencing number.
func (r State) WithNumber(number uint64) State {
	r.Number = number
	return r
}

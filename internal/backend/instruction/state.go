package instruction

import "slices"

// State is the state of an engine. The zero value is the state of an engine of which
// nothing is known. A State is immutable.
type State struct {
	// Number is the highest fencing number that the engine has been given.
	Number uint64
	// Model and Version are the loaded model and its version.
	Model   string
	Version string
	// Adapters are the adapters that are loaded for that version.
	Adapters []string
	// Role is the role of the engine. It is empty while it is unknown.
	Role string
}

// With returns the state after the engine has carried out an order.
func (s State) With(order Order) State {
	s.Number = max(s.Number, order.Number)
	switch a := order.Action.(type) {
	case LoadModel:
		s.Model = a.Model
		s.Version = a.Version
		s.Adapters = nil
	case LoadVersion:
		s.Model = a.Model
		s.Version = a.Version
		s.Adapters = nil
	case LoadAdapter:
		s.Adapters = append(slices.Clone(s.Adapters), a.Adapter)
	case ChangeRole:
		s.Role = a.Role
	}
	return s
}

// WithNumber returns the state with the given fencing number.
func (s State) WithNumber(number uint64) State {
	s.Number = number
	return s
}

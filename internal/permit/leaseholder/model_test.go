package leaseholder

import (
	"strings"

	"github.com/anishathalye/porcupine"
)

// claimInput is the input of one claim of a history.
type claimInput struct{ Key, Request, Refused string }

// nextBindings returns the possible states of a key after a claim. A state is the
// list of the requests to which the key was bound; the last binding is in force. A
// permit for an earlier one is harmless, since its owner will never run it.
func nextBindings(state, input, output any) []any {
	list, in, out := state.(string), input.(claimInput), output.(string)
	names := strings.Fields(list)
	takes := len(names) == 0 && in.Refused == ""
	if len(names) > 0 && in.Refused != "" {
		takes = names[len(names)-1] == in.Refused
	}
	after := strings.TrimSpace(list + " " + in.Request)
	switch {
	case out == "" && takes:
		return []any{list, after}
	case out == "":
		return []any{list}
	case takes && out == in.Request:
		return []any{after}
	case strings.Contains(" "+list+" ", " "+out+" "):
		return []any{list}
	default:
		return nil
	}
}

// bindingModel returns the model of the bindings for the linearizability checker
// porcupine. The checker checks the claims of each key separately.
func bindingModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, o := range all {
				key := o.Input.(claimInput).Key
				byKey[key] = append(byKey[key], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{""} },
		Step: nextBindings,
	}
	return m.ToModel()
}

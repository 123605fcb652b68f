package instruction_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// documentOf returns an operator file with one model.
func documentOf(version string, replicas int, adapters ...string) operatorfile.Document {
	model := operatorfile.Model{Name: "coach", Version: version, Adapters: adapters, Replicas: replicas}
	return operatorfile.Document{Models: []operatorfile.Model{model}}.WithIndex()
}

func actionsOf(orders []instruction.Order) []instruction.Action {
	actions := []instruction.Action{}
	for _, o := range orders {
		actions = append(actions, o.Action)
	}
	return actions
}

func TestPlan(t *testing.T) {
	serving := instruction.State{Number: 3, Model: "coach", Version: "1", Adapters: []string{"a"}, Role: instruction.RoleServing}
	tests := []struct {
		name     string
		document operatorfile.Document
		number   uint64
		rank     int
		state    instruction.State
		want     []instruction.Action
	}{
		{"unknown state", documentOf("1", 2, "a"), 3, 0, instruction.State{}, []instruction.Action{
			instruction.LoadModel{Model: "coach", Version: "1"},
			instruction.LoadAdapter{Adapter: "a", Version: "1"},
			instruction.ChangeRole{Role: instruction.RoleServing},
		}},
		{"nothing to do", documentOf("1", 2, "a"), 3, 0, serving, []instruction.Action{}},
		{"new version of the operator file without changes", documentOf("1", 2, "a"), 4, 0, serving, []instruction.Action{
			instruction.ChangeRole{Role: instruction.RoleServing},
		}},
		{"new version of the model needs its adapters", documentOf("2", 2, "a"), 4, 0, serving, []instruction.Action{
			instruction.ChangeRole{Role: instruction.RoleServing},
			instruction.LoadVersion{Model: "coach", Version: "2"},
			instruction.LoadAdapter{Adapter: "a", Version: "2"},
		}},
		{"one more adapter", documentOf("1", 2, "a", "b"), 3, 0, serving, []instruction.Action{
			instruction.LoadAdapter{Adapter: "b", Version: "1"},
		}},
		{"rank beyond the replicas", documentOf("2", 2, "a"), 3, 2, serving, []instruction.Action{
			instruction.ChangeRole{Role: instruction.RoleStandby},
		}},
		{"rank unknown", documentOf("1", 2, "a"), 3, instruction.RankUnknown, serving, []instruction.Action{}},
		{"document without the model", operatorfile.Document{}, 4, 0, serving, []instruction.Action{
			instruction.ChangeRole{Role: instruction.RoleServing},
		}},
		{"older version of the operator file", documentOf("0", 2), 2, 0, serving, []instruction.Action{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backend := instruction.Backend{Model: "coach", Rank: tt.rank}
			orders := instruction.Plan(tt.document, tt.number, backend, tt.state)
			is.New(t).Equal(actionsOf(orders), tt.want)
		})
	}
}

// TestPlanReachesItsGoal: from any state, the plan of a version that is not older
// ends in a state that needs no further orders, even if it is interrupted and
// computed again.
func TestPlanReachesItsGoal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := rapid.SampledFrom([]string{"1", "2", "3"})
		adapters := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID)
		state := instruction.State{
			Number:   rapid.Uint64Range(0, 5).Draw(t, "number"),
			Model:    rapid.SampledFrom([]string{"", "coach", "drafter"}).Draw(t, "model"),
			Version:  version.Draw(t, "reached"),
			Adapters: adapters.Draw(t, "held"),
			Role:     rapid.SampledFrom([]string{"", instruction.RoleServing, instruction.RoleStandby}).Draw(t, "role"),
		}
		goal := documentOf(version.Draw(t, "goal"), 2, adapters.Draw(t, "wanted")...)
		backend := instruction.Backend{Model: "coach", Rank: rapid.IntRange(-1, 3).Draw(t, "rank")}
		number := state.Number + rapid.Uint64Range(0, 2).Draw(t, "step")
		for range 20 {
			orders := instruction.Plan(goal, number, backend, state)
			if len(orders) == 0 {
				break
			}
			for _, o := range orders[:rapid.IntRange(1, len(orders)).Draw(t, "done")] {
				state = state.With(o)
			}
		}
		if left := instruction.Plan(goal, number, backend, state); len(left) > 0 {
			t.Fatalf("orders left after the plan: %v", left)
		}
		if state.Role == instruction.RoleServing && state.Version != goal.Models[0].Version {
			t.Fatalf("engine serves version %s, want %s", state.Version, goal.Models[0].Version)
		}
		if state.Number != number {
			t.Fatalf("fencing number is %d, want %d", state.Number, number)
		}
	})
}

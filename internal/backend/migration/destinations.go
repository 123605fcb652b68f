package migration

import (
	"slices"
)

// Engine names an engine and its availability zone.
type Engine struct {
	ID   string
	Zone string
}

// AssignDestinations assigns each destination to one of the engines that are
// about to shut down, so that copies of several engines do not queue on the link
// of one destination. Engines in the destination's availability zone are
// preferred. The result depends on the sets of engines only, so all hosts with
// the same view assign alike. It maps the ID of a destination to the ID of a
// leaving engine.
func AssignDestinations(leaving, destinations []Engine) map[string]string {
	leaving = sortByID(leaving)
	assigned := make(map[string]string, len(destinations))
	turns := make(map[string]int)
	for _, d := range sortByID(destinations) {
		candidates := inZone(leaving, d.Zone)
		if len(candidates) == 0 {
			candidates = leaving
		}
		if len(candidates) == 0 {
			continue
		}
		assigned[d.ID] = candidates[turns[d.Zone]%len(candidates)].ID
		turns[d.Zone]++
	}
	return assigned
}

func sortByID(engines []Engine) []Engine {
	return slices.SortedFunc(slices.Values(engines), func(a, b Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func inZone(engines []Engine, zone string) []Engine {
	var found []Engine
	for _, e := range engines {
		if e.Zone == zone {
			found = append(found, e)
		}
	}
	return found
}

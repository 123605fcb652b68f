package migration

import (
	"slices"
)

// Engine is an engine in its availability zone.
type Engine struct {
	ID   string
	Zone string
}

// AssignDestinations gives each destination to one of the engines that end, so that their
// copies do not queue on the same links. The own zone goes first. Hosts that
// know the same engines divide them alike. The result is by destination.
func AssignDestinations(ending, destinations []Engine) map[string]string {
	ending = sortByID(ending)
	owners := make(map[string]string, len(destinations))
	turns := make(map[string]int)
	for _, d := range sortByID(destinations) {
		candidates := inZone(ending, d.Zone)
		if len(candidates) == 0 {
			candidates = ending
		}
		if len(candidates) == 0 {
			continue
		}
		owners[d.ID] = candidates[turns[d.Zone]%len(candidates)].ID
		turns[d.Zone]++
	}
	return owners
}

func sortByID(places []Engine) []Engine {
	return slices.SortedFunc(slices.Values(places), func(a, b Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func inZone(places []Engine, zone string) []Engine {
	var found []Engine
	for _, p := range places {
		if p.Zone == zone {
			found = append(found, p)
		}
	}
	return found
}

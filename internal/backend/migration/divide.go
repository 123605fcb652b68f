package migration

import (
	"slices"
)

// Place is an engine in its availability zone.
type Place struct {
	ID   string
	Zone string
}

// Divide gives each destination to one of the engines that end, so that their
// copies do not queue on the same links. The own zone goes first. Hosts that
// know the same engines divide them alike. The result is by destination.
func Divide(ending, destinations []Place) map[string]string {
	ending = sorted(ending)
	owners := make(map[string]string, len(destinations))
	turns := make(map[string]int)
	for _, d := range sorted(destinations) {
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

func sorted(places []Place) []Place {
	return slices.SortedFunc(slices.Values(places), func(a, b Place) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func inZone(places []Place, zone string) []Place {
	var found []Place
	for _, p := range places {
		if p.Zone == zone {
			found = append(found, p)
		}
	}
	return found
}

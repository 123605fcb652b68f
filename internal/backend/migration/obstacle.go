package migration

// Obstacle is why a run cannot be migrated to any destination.
type Obstacle int

// Obstacles, in the order in which they are checked for a destination. The obstacle
// of a run is that of the destination that passes the most checks.
const (
	// NoObstacle means that the run can be migrated.
	NoObstacle Obstacle = iota
	// NoDestination means that no entry host has named a destination.
	NoDestination
	// NoSlot means that no destination has a free slot.
	NoSlot
	// NoMemory means that no destination has free memory for the copy.
	NoMemory
	// NoRoomToGrow means that no destination has memory for what the run will still
	// generate.
	NoRoomToGrow
	// LinkBusy means that other engines copy their runs to the destinations.
	LinkBusy
	// NoTime means that the copy would not complete before the engine shuts down.
	NoTime
)

// String returns the name of the obstacle in Pascal case.
func (o Obstacle) String() string {
	switch o {
	case NoObstacle:
		return "None"
	case NoDestination:
		return "NoDestination"
	case NoSlot:
		return "NoSlot"
	case NoMemory:
		return "NoMemory"
	case NoRoomToGrow:
		return "NoRoomToGrow"
	case LinkBusy:
		return "LinkBusy"
	case NoTime:
		return "NoTime"
	default:
		return "Unknown"
	}
}

// ObstacleOf returns why a run cannot be migrated to any of the destinations before
// the engine shuts down in leavesInMillis.
func ObstacleOf(run Run, destinations []Destination, leavesInMillis int64) Obstacle {
	furthest := NoDestination
	for _, d := range destinations {
		obstacle := d.obstacle(run, leavesInMillis, false)
		if obstacle == NoObstacle {
			return NoObstacle
		}
		furthest = max(furthest, obstacle)
	}
	return furthest
}

// obstacle returns what keeps the run from this destination. As a last resort, the memory for what
// the run will still generate does not count.
func (d Destination) obstacle(run Run, leavesInMillis int64, lastResort bool) Obstacle {
	switch {
	case d.FreeSlots < 1:
		return NoSlot
	case d.FreeTokens < run.Tokens+copyMarginTokens:
		return NoMemory
	case !lastResort && d.SpareTokens < run.NeededTokens():
		return NoRoomToGrow
	case d.Busy:
		return LinkBusy
	case (Step{Run: run, Destination: d}).CopyMillis() > leavesInMillis:
		return NoTime
	default:
		return NoObstacle
	}
}

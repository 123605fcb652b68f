package placement

// Lack is what an engine lacks to take a request.
type Lack int

// Lacks, in the order in which they are checked.
const (
	// LacksNothing means that the engine has room.
	LacksNothing Lack = iota
	// LacksReport means that the load of the engine is not known.
	LacksReport
	// LacksSlot means that the engine runs as many requests as it can at once.
	LacksSlot
	// LacksMemory means that the engine will need its memory for other requests.
	LacksMemory
	// LacksTime means that the prompts ahead would delay the first event too long.
	LacksTime
	// LacksRate means that the engine's rate limit, or a pause that it asked for, holds the
	// request back.
	LacksRate
)

// countLacking counts the usable candidates by what they lack.
func countLacking(candidates []Candidate) map[Lack]int {
	var counts [LacksRate + 1]int
	for i := range candidates {
		if c := &candidates[i]; c.usable() {
			counts[c.Lacking]++
		}
	}
	lacking := make(map[Lack]int)
	for lack, count := range counts {
		if count > 0 {
			lacking[Lack(lack)] = count
		}
	}
	return lacking
}

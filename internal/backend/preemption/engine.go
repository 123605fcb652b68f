package preemption

// priorityStep is the difference between the engine priorities of adjacent class
// priorities. The values in between are for non-idempotent generations.
const priorityStep = 2

// EnginePriority returns the priority to pass to the engine, which preempts the
// lowest priority first. It preserves the order of the class priorities; within
// one class priority, idempotent generations are preempted before non-idempotent
// ones.
func EnginePriority(classPriority int, repeatable bool) int {
	priority := classPriority * priorityStep
	if !repeatable {
		priority++
	}
	return priority
}

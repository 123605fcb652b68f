package preemption

// priorityStep is the step between the engine priorities of neighbouring classes,
// which leaves room for once-only generations in between.
const priorityStep = 2

// EnginePriority returns the priority to hand to the engine, which preempts the
// lowest first: the order of the classes stays, and within one priority a
// once-only generation goes after the repeatable ones.
func EnginePriority(classPriority int, repeatable bool) int {
	priority := classPriority * priorityStep
	if !repeatable {
		priority++
	}
	return priority
}

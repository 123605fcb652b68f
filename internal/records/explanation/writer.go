package explanation

import "time"

// Writer adds the decisions of one part of a process to a ring. Its fields are set
// before use. A Writer without a ring records nothing.
type Writer struct {
	Ring *Ring
	// Process is the name of the host.
	Process string
	// Part is the name of the part of the process.
	Part string
}

// Record adds one decision with the current time.
func (w Writer) Record(requestID string, decision Decision) {
	if w.Ring == nil {
		return
	}
	w.Ring.Add(Record{
		Time:      time.Now(),
		Process:   w.Process,
		Part:      w.Part,
		RequestID: requestID,
		Decision:  decision,
	})
}

package lookout

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/moment"
)

// State is what the process knows of its engine.
type State struct {
	// EngineID is empty while it is not known.
	EngineID string
	// Runs counts the generations on the engine.
	Runs int
	// Leaving says that the engine ends soon.
	Leaving bool
	// Watchers counts the entry hosts that watch.
	Watchers int
	// ReportedAt is when the engine reported; zero before the first report.
	ReportedAt moment.Moment
}

// State returns what the process knows of its engine.
func (l *Lookout) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{
		EngineID:   l.engineID,
		Runs:       len(l.latest.Runs),
		Leaving:    l.leavesAt != 0,
		Watchers:   len(l.watchers),
		ReportedAt: l.reportedAt,
	}
}

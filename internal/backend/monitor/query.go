package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
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
	ReportedAt boottime.Instant
}

// State returns what the process knows of its engine.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{
		EngineID:   m.engineID,
		Runs:       len(m.latest.Runs),
		Leaving:    m.leavesAt != 0,
		Watchers:   len(m.watchers),
		ReportedAt: m.reportedAt,
	}
}

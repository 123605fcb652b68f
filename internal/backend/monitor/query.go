package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// State is the state of the engine and its monitor, for status requests.
type State struct {
	// EngineID is empty while it is not known.
	EngineID string
	// Runs is the number of generations on the engine.
	Runs int
	// Leaving says that the engine is about to shut down.
	Leaving bool
	// Watchers is the number of entry hosts that watch the engine.
	Watchers int
	// ReportedAt is the time of the engine's last report; zero before the first
	// one.
	ReportedAt boottime.Instant
}

// State returns the current state.
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

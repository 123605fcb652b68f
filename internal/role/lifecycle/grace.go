package lifecycle

import "log/slog"

// Grace is the grace period of a process, which its settings file may have changed since the start.
type Grace struct {
	// Path is the settings file.
	Path string
	// Load reads the grace period from that file, in seconds.
	Load func(path string) (float64, error)
	// Before is the grace period that was read at the start, in seconds.
	Before float64
	Log    *slog.Logger
}

// Seconds returns the grace period in the settings file. If the file is invalid now, it returns the one that
// was read before.
func (g Grace) Seconds() float64 {
	seconds, err := g.Load(g.Path)
	if err != nil {
		g.Log.Error("failed to reload settings", "Path", g.Path, "Error", err)
		return g.Before
	}
	return seconds
}

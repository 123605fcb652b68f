package lifecycle

import (
	"runtime/debug"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

const (
	// memoryLimitShare is the share of the process's memory limit that is set as the
	// soft limit of the Go runtime. Near this limit, garbage is collected more often.
	memoryLimitShare = 0.7
	// receivedShare is the share of it that all servers and other processes together may make the process
	// hold.
	receivedShare = 0.2

	// receivedMegabytes is that part of a process without a memory limit in its settings.
	receivedMegabytes = 64

	bytesPerMegabyte = 1 << 20
)

// NewReceivedBudget returns the budget of what others may make a process hold that has no memory limit.
func NewReceivedBudget() *heldbytes.Budget {
	return &heldbytes.Budget{MostBytes: receivedMegabytes * bytesPerMegabyte}
}

// LimitMemory sets the soft limit of the Go runtime for a process with the given memory limit, in megabytes,
// and returns the budget of what others may make it hold.
func LimitMemory(megabytes int) *heldbytes.Budget {
	memoryBytes := float64(megabytes) * bytesPerMegabyte
	debug.SetMemoryLimit(int64(memoryLimitShare * memoryBytes))
	return &heldbytes.Budget{MostBytes: int64(receivedShare * memoryBytes)}
}

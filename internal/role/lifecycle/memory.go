package lifecycle

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

const (
	// memoryLimitShare is the share of the process's memory limit that is set as the
	// soft limit of the Go runtime. Near this limit, garbage is collected more often.
	memoryLimitShare = 0.7
	// receivedShare is the share of it that all servers and other processes together may make the process
	// hold.
	receivedShare = 0.2

	// callersShare is the share of it that all callers together may make the process hold.
	callersShare = 0.3
	// fileDescriptors is how many descriptors are kept for files, at most a part of all, as a divisor. Callers may
	// use half of the others, and as many are left for servers.
	fileDescriptors      = 200
	fileDescriptorsShare = 4

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

// CallerLimits are the settings of what all callers together may make a process hold.
type CallerLimits struct {
	// MemoryMegabytes is the memory limit of the process; zero for none.
	MemoryMegabytes int
	// CallerMegabytes is the part of it for callers. Zero stands for the usual share.
	CallerMegabytes int
	// MaxDescriptors is the number of descriptors that the process may open. Zero stands for the limit of the
	// system.
	MaxDescriptors int
	// ConnectionBytes is the memory of an open connection without a request.
	ConnectionBytes int64
}

// NewBudget returns the budget of what callers may make a process hold.
func (l CallerLimits) NewBudget() *intake.Budget {
	most := int64(l.CallerMegabytes) * bytesPerMegabyte
	if most == 0 {
		most = int64(callersShare * float64(l.MemoryMegabytes) * bytesPerMegabyte)
	}
	return &intake.Budget{MostBytes: most, MostConnections: callerConnections(l.descriptors()), ConnectionBytes: l.ConnectionBytes}
}

// descriptors returns the number of descriptors that the process may open; zero if it is not known.
func (l CallerLimits) descriptors() int {
	if l.MaxDescriptors > 0 {
		return l.MaxDescriptors
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// callerConnections returns how many connections of callers may be open with a number of descriptors.
func callerConnections(descriptors int) int {
	return (descriptors - min(fileDescriptors, descriptors/fileDescriptorsShare)) / 2
}

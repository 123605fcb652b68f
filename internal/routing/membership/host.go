package membership

import "time"

// Role is the role of a host.
type Role string

// Roles in the platform's host list.
const (
	RoleEntry   Role = "Entry"
	RoleBackend Role = "Backend"
)

// HostState is the state of a host in the platform's host list.
type HostState string

// States in the platform's host list.
const (
	// StateLive means that the host takes new work.
	StateLive HostState = "Live"
	// StateLeaving means that the host is draining.
	StateLeaving HostState = "Leaving"
)

// Host is an entry of the platform's host list, which lags.
type Host struct {
	// Name is unique and not empty.
	Name             string
	Role             Role
	Region           string
	AvailabilityZone string
	// PeerAddress is the address of the host's process as host:port. It is not
	// empty.
	PeerAddress string
	// Model is the model that the backend server's engine serves. It is empty for
	// other hosts.
	Model string
	// Service is the name of the service that the backend server is part of. It is
	// empty for entry hosts.
	Service string
	State   HostState
}

// Load is the last load report of a backend server.
type Load struct {
	// Running is the number of running generations.
	Running uint32
	// Waiting is the number of queued requests.
	Waiting uint32
	// MemoryPermille and ForecastPermille are the used and the forecast share of
	// the engine's memory in thousandths.
	MemoryPermille   uint32
	ForecastPermille uint32
	// ConfigVersion is the configuration version in force at the backend server.
	ConfigVersion uint64
	// Prefixes are hashes of the prompt prefixes that the engine has probably
	// cached. The slice must not be changed.
	Prefixes []uint64
}

// Reply describes a reply of a host's process.
type Reply struct {
	// Host is the name of the host that replied.
	Host string
	// Incarnation is that of the process that replied. Since incarnations are random
	// numbers, only the times of requests and replies show which one is newer.
	Incarnation uint64
	// RequestedAt is the time at which this process sent the request, or opened the
	// stream on which the reply arrived.
	RequestedAt time.Time
	// SeenAt is the time at which the reply arrived.
	SeenAt time.Time
	// Leaving is set if the process is draining and takes no new work.
	Leaving bool
}

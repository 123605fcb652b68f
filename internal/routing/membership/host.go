package membership

import "time"

// Role of a host.
type Role string

// Roles that the platform's list names.
const (
	RoleEntry   Role = "Entry"
	RoleBackend Role = "Backend"
)

// HostState is the state of a host in the platform's list.
type HostState string

// States that the platform's list names.
const (
	StateLive    HostState = "Live"
	StateLeaving HostState = "Leaving"
)

// Host is an entry of the platform's list, which lags.
type Host struct {
	// Name is unique and not empty.
	Name             string
	Role             Role
	Region           string
	AvailabilityZone string
	// PeerAddress of the host's process, as host:port, not empty.
	PeerAddress string
	// Model that the backend server's engine serves, empty for others.
	Model string
	// Service that the host's plain service serves, empty for others.
	Service string
	State   HostState
}

// Load is what a backend server last said of itself.
type Load struct {
	Running uint32
	Waiting uint32
	// MemoryPermille and ForecastPermille are shares of the engine's memory in
	// thousandths, now and as forecast.
	MemoryPermille   uint32
	ForecastPermille uint32
	// ConfigVersion in force at the backend server.
	ConfigVersion uint64
	// Prefixes are hashes of the prompt prefixes believed to be cached. The
	// slice must not be changed.
	Prefixes []uint64
}

// Answer identifies a reply of a host's process.
type Answer struct {
	// Host is the name of the host that answered.
	Host string
	// Incarnation of the process that answered. Incarnations are random, so
	// their order is known from the times of questions and answers only.
	Incarnation uint64
	// AskedAt is the time at which this process sent the question, or opened
	// the stream on which the answer arrived.
	AskedAt time.Time
	// SeenAt is the time at which the answer arrived.
	SeenAt time.Time
	// Leaving is set when the process takes no new work.
	Leaving bool
}

package process

import "github.com/fulmarvalve/fulmarvalve/internal/settings/validation"

// Defaults of an entry host.
const (
	// DefaultMaxBodyBytes is the default of Entry.MaxBodyBytes.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxOpenRequests is the default of Entry.MaxOpenRequests.
	DefaultMaxOpenRequests = 4096
	// DefaultCallerMegabytes is the default of Entry.CallerMegabytes.
	DefaultCallerMegabytes = 128
	// DefaultHeartbeatMillis is the default of Entry.HeartbeatMillis and
	// Backend.HeartbeatMillis.
	DefaultHeartbeatMillis = 1000
	// DefaultProgressMillis is the default of Entry.ProgressMillis.
	DefaultProgressMillis = 3000
	// DefaultProbeCandidates is the default of Entry.ProbeCandidates.
	DefaultProbeCandidates = 8
	// DefaultPartitions is the default of Entry.Partitions.
	DefaultPartitions = 64
	// DefaultKeyWindowSeconds is the default of Entry.KeyWindowSeconds.
	DefaultKeyWindowSeconds = 3600
)

// Entry is the settings of one entry host.
type Entry struct {
	// Name is unique among all processes.
	Name string `validate:"required,max=128"`
	// Region names the platform's region.
	Region string `validate:"required,max=128"`
	// Zone names the availability zone.
	Zone string `validate:"required,max=128"`
	// CallerAddress is the listen address of the HTTP interface for callers.
	CallerAddress string `validate:"required,ipport"`
	// PeerAddress is the listen address for calls from other processes of this
	// system.
	PeerAddress string `validate:"required,ipport"`
	// MetricsAddress is the listen address of the metrics endpoint.
	MetricsAddress string `validate:"required,ipport"`
	// LogServiceAddress is the address of the platform's append-only log.
	LogServiceAddress string `validate:"required,ipport"`
	// HostListAddress is the address of the platform's host list.
	HostListAddress string `validate:"required,ipport"`
	// MaxBodyBytes is the maximum size of a request body, in bytes. It is at most
	// 3 MiB, because a message between processes carries no more.
	MaxBodyBytes int `validate:"min=1,max=3145728"`
	// MaxOpenRequests is the maximum number of requests that are open at once.
	MaxOpenRequests int `validate:"min=1,max=1000000"`
	// CallerMegabytes is the memory, in megabytes, that all callers together may make the process hold.
	CallerMegabytes int `validate:"min=4,max=1048576"`
	// MaxDescriptors is the number of descriptors that the process may open. Callers use less than half of them.
	// Zero means the limit of the system.
	MaxDescriptors int `validate:"omitempty,min=64,max=100000000"`
	// DrainSeconds is the time limit of a graceful shutdown, in seconds. Zero sets
	// no limit: the process waits for all requests.
	DrainSeconds int `validate:"min=0,max=604800"`
	// HeartbeatMillis is the interval, in milliseconds, of heartbeats on a stream
	// that carries no other data.
	HeartbeatMillis int `validate:"min=10,max=60000"`
	// ProgressMillis is the time without any data, in milliseconds, after which a
	// stream is considered broken. It must be greater than HeartbeatMillis.
	ProgressMillis int `validate:"max=600000,gtfield=HeartbeatMillis"`
	// ProbeCandidates is the maximum number of backend servers of one service
	// that this entry host probes.
	ProbeCandidates int `validate:"min=1,max=128"`
	// Peers are the peer addresses that the process contacts first. The list may
	// be incomplete.
	Peers []string `validate:"unique,dive,ipport"`
	// Partitions is the number of claim partitions, over which idempotency keys are
	// hashed and each of which has a stream in the log. It must be equal on all
	// entry hosts.
	Partitions int `validate:"min=1,max=4096"`
	// KeyWindowSeconds is the maximum age, in seconds, of an accepted idempotency
	// key. It must be shorter than the retention of the log, and equal on all
	// entry hosts.
	KeyWindowSeconds int `validate:"min=1,max=2592000"`
}

// DefaultEntry returns the values of the fields that a settings file leaves out.
func DefaultEntry() Entry {
	return Entry{
		MaxBodyBytes:     DefaultMaxBodyBytes,
		MaxOpenRequests:  DefaultMaxOpenRequests,
		CallerMegabytes:  DefaultCallerMegabytes,
		HeartbeatMillis:  DefaultHeartbeatMillis,
		ProgressMillis:   DefaultProgressMillis,
		ProbeCandidates:  DefaultProbeCandidates,
		Partitions:       DefaultPartitions,
		KeyWindowSeconds: DefaultKeyWindowSeconds,
	}
}

// ParseEntry decodes and validates the settings of an entry host. The error is
// a *Faults.
func ParseEntry(data []byte) (Entry, error) {
	report := validation.New()
	entry := DefaultEntry()
	if !report.Decode(data, &entry) {
		return Entry{}, report.Err()
	}
	report.Validate(entry)
	checkListeners(report, []listener{
		{Field: "CallerAddress", Address: entry.CallerAddress},
		{Field: "PeerAddress", Address: entry.PeerAddress},
		{Field: "MetricsAddress", Address: entry.MetricsAddress},
	})
	if err := report.Err(); err != nil {
		return Entry{}, err
	}
	return entry, nil
}

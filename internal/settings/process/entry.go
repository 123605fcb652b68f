package process

import "github.com/fulmarvalve/fulmarvalve/internal/settings/validation"

// Defaults of an entry host.
const (
	// DefaultMaxBodyBytes limits the body of one request.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxOpenRequests limits the requests that are open at once.
	DefaultMaxOpenRequests = 4096
	// DefaultHeartbeatMillis is the pause between heartbeats.
	DefaultHeartbeatMillis = 1000
	// DefaultProgressMillis is the silence after which a path counts as dead.
	DefaultProgressMillis = 3000
	// DefaultProbeCandidates is the number of backend servers that are probed.
	DefaultProbeCandidates = 8
	// DefaultPartitions is the number of claim partitions.
	DefaultPartitions = 64
	// DefaultKeyWindowSeconds is the age up to which a key is accepted.
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
	// CallerAddress serves HTTP to callers.
	CallerAddress string `validate:"required,ipport"`
	// PeerAddress serves the project's own processes.
	PeerAddress string `validate:"required,ipport"`
	// MetricsAddress serves metrics.
	MetricsAddress string `validate:"required,ipport"`
	// LogServiceAddress is the platform's append-only log.
	LogServiceAddress string `validate:"required,ipport"`
	// HostListAddress is the platform's list of hosts.
	HostListAddress string `validate:"required,ipport"`
	// MaxBodyBytes limits the body of one request, in bytes. A message between
	// processes holds at most 3 MiB of it.
	MaxBodyBytes int `validate:"min=1,max=3145728"`
	// MaxOpenRequests limits the requests that are open at once.
	MaxOpenRequests int `validate:"min=1,max=1000000"`
	// DrainSeconds limits a graceful shutdown. Zero waits for all requests.
	DrainSeconds int `validate:"min=0,max=604800"`
	// HeartbeatMillis is the pause between heartbeats on a quiet path.
	HeartbeatMillis int `validate:"min=10,max=60000"`
	// ProgressMillis is the silence after which a path counts as dead. It is
	// greater than HeartbeatMillis.
	ProgressMillis int `validate:"max=600000,gtfield=HeartbeatMillis"`
	// ProbeCandidates limits the backend servers of a service that this entry
	// host probes.
	ProbeCandidates int `validate:"min=1,max=128"`
	// Peers are the peer addresses that are asked first. They need not be all.
	Peers []string `validate:"unique,dive,ipport"`
	// Partitions is the number of claim partitions. All entry hosts have the
	// same number.
	Partitions int `validate:"min=1,max=4096"`
	// KeyWindowSeconds is the age up to which an idempotency key is accepted.
	// It is shorter than the retention of the log and equal on all entry hosts.
	KeyWindowSeconds int `validate:"min=1,max=2592000"`
}

// DefaultEntry returns the settings that stand for absent fields.
func DefaultEntry() Entry {
	return Entry{
		MaxBodyBytes:     DefaultMaxBodyBytes,
		MaxOpenRequests:  DefaultMaxOpenRequests,
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
	in := validation.New()
	entry := DefaultEntry()
	if !in.Decode(data, &entry) {
		return Entry{}, in.Err()
	}
	in.Validate(entry)
	checkListeners(in, []listener{
		{Field: "CallerAddress", Address: entry.CallerAddress},
		{Field: "PeerAddress", Address: entry.PeerAddress},
		{Field: "MetricsAddress", Address: entry.MetricsAddress},
	})
	if err := in.Err(); err != nil {
		return Entry{}, err
	}
	return entry, nil
}

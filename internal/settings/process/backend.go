package process

import "github.com/fulmarvalve/fulmarvalve/internal/settings/validation"

// Kinds of backend server.
const (
	// KindEngine is a model engine.
	KindEngine = "Engine"
	// KindPlain is a plain service.
	KindPlain = "Plain"
)

// Defaults of the process beside a backend server.
const (
	// DefaultMaxRunning limits the requests that run at once.
	DefaultMaxRunning = 16
	// DefaultQueueLimit limits the requests that wait.
	DefaultQueueLimit = 64
	// DefaultHoldSeconds is how long a finished answer is kept for replay.
	DefaultHoldSeconds = 120
	// DefaultRememberSeconds is how long a request identity is remembered.
	DefaultRememberSeconds = 7200
)

// Backend is the settings of the process beside one backend server.
type Backend struct {
	// Name is unique among all processes.
	Name string `validate:"required,max=128"`
	// Region names the platform's region.
	Region string `validate:"required,max=128"`
	// Zone names the availability zone.
	Zone string `validate:"required,max=128"`
	// PeerAddress serves the project's own processes.
	PeerAddress string `validate:"required,ipport"`
	// MetricsAddress serves metrics.
	MetricsAddress string `validate:"required,ipport"`
	// Kind is KindEngine or KindPlain.
	Kind string `validate:"required,oneof=Engine Plain"`
	// EngineAddress is the model engine. It is set for KindEngine only.
	EngineAddress string `validate:"required_if=Kind Engine,excluded_if=Kind Plain,omitempty,ipport"`
	// ServiceAddress is the plain service. It is set for KindPlain only.
	ServiceAddress string `validate:"required_if=Kind Plain,excluded_if=Kind Engine,omitempty,ipport"`
	// Service is the name of the service in the operator file.
	Service string `validate:"required,max=128"`
	// Model is the name of the model in the operator file. It is set for
	// KindEngine only.
	Model string `validate:"required_if=Kind Engine,excluded_if=Kind Plain,max=128"`
	// LogServiceAddress is the platform's append-only log.
	LogServiceAddress string `validate:"required,ipport"`
	// HostListAddress is the platform's list of hosts.
	HostListAddress string `validate:"required,ipport"`
	// WeightStoreAddress is the platform's weight store. It is optional and set
	// for KindEngine only.
	WeightStoreAddress string `validate:"excluded_if=Kind Plain,omitempty,ipport"`
	// EngineChecksFencing says that the engine refuses an order with an old
	// fencing number. Otherwise the process checks on its behalf.
	EngineChecksFencing bool `validate:"excluded_if=Kind Plain"`
	// MaxRunning limits the requests that run at once.
	MaxRunning int `validate:"min=1,max=65536"`
	// QueueLimit limits the requests that wait. Zero means that none waits.
	QueueLimit int `validate:"min=0,max=1000000"`
	// MemoryTokens is the engine's memory in tokens. It is set for KindEngine
	// only.
	MemoryTokens int `validate:"required_if=Kind Engine,excluded_if=Kind Plain,min=0,max=1000000000"`
	// HoldSeconds is how long a finished answer is kept for replay.
	HoldSeconds int `validate:"min=1,max=86400"`
	// RememberSeconds is how long the identity of a request is remembered, so
	// that it never runs a second time. It is greater than the entry hosts'
	// KeyWindowSeconds.
	RememberSeconds int `validate:"min=1,max=5184000"`
	// DrainSeconds limits a graceful shutdown. Zero waits for all requests.
	DrainSeconds int `validate:"min=0,max=604800"`
	// HeartbeatMillis is the pause between heartbeats on a quiet path.
	HeartbeatMillis int `validate:"min=10,max=60000"`
	// Peers are the peer addresses that are asked first. They need not be all.
	Peers []string `validate:"unique,dive,ipport"`
}

// DefaultBackend returns the settings that stand for absent fields.
func DefaultBackend() Backend {
	return Backend{
		MaxRunning:      DefaultMaxRunning,
		QueueLimit:      DefaultQueueLimit,
		HoldSeconds:     DefaultHoldSeconds,
		RememberSeconds: DefaultRememberSeconds,
		HeartbeatMillis: DefaultHeartbeatMillis,
	}
}

// ParseBackend decodes and validates the settings of the process beside a
// backend server. The error is a *Faults.
func ParseBackend(data []byte) (Backend, error) {
	in := validation.New()
	backend := DefaultBackend()
	if !in.Decode(data, &backend) {
		return Backend{}, in.Err()
	}
	in.Validate(backend)
	checkListeners(in, []listener{
		{Field: "PeerAddress", Address: backend.PeerAddress},
		{Field: "MetricsAddress", Address: backend.MetricsAddress},
	})
	if err := in.Err(); err != nil {
		return Backend{}, err
	}
	return backend, nil
}

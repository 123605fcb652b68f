package process

import "github.com/fulmarvalve/fulmarvalve/internal/settings/validation"

// Values of Backend.Kind.
const (
	// KindEngine is a model engine.
	KindEngine = "Engine"
	// KindPlain is a plain service.
	KindPlain = "Plain"
)

// Defaults of the process beside a backend server.
const (
	// DefaultMaxRunning is the default of Backend.MaxRunning.
	DefaultMaxRunning = 16
	// DefaultQueueLimit is the default of Backend.QueueLimit.
	DefaultQueueLimit = 64
	// DefaultHoldSeconds is the default of Backend.HoldSeconds.
	DefaultHoldSeconds = 120
	// DefaultRememberSeconds is the default of Backend.RememberSeconds.
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
	// PeerAddress is the listen address for calls from other processes of this
	// system.
	PeerAddress string `validate:"required,ipport"`
	// MetricsAddress is the listen address of the metrics endpoint.
	MetricsAddress string `validate:"required,ipport"`
	// Kind is KindEngine or KindPlain.
	Kind string `validate:"required,oneof=Engine Plain"`
	// EngineAddress is the address of the model engine. It is set for KindEngine
	// only.
	EngineAddress string `validate:"required_if=Kind Engine,excluded_if=Kind Plain,omitempty,ipport"`
	// ServiceAddress is the address of the plain service. It is set for KindPlain
	// only.
	ServiceAddress string `validate:"required_if=Kind Plain,excluded_if=Kind Engine,omitempty,ipport"`
	// Service is the name of the service in the operator file.
	Service string `validate:"required,max=128"`
	// Model is the name of the model in the operator file. It is set for
	// KindEngine only.
	Model string `validate:"required_if=Kind Engine,excluded_if=Kind Plain,max=128"`
	// LogServiceAddress is the address of the platform's append-only log.
	LogServiceAddress string `validate:"required,ipport"`
	// HostListAddress is the address of the platform's host list.
	HostListAddress string `validate:"required,ipport"`
	// WeightStoreAddress is the address of the platform's weight store. It is
	// optional and set for KindEngine only.
	WeightStoreAddress string `validate:"excluded_if=Kind Plain,omitempty,ipport"`
	// EngineChecksFencing reports whether the engine refuses an order with an
	// outdated fencing number. If it does not, the process beside it checks the
	// number.
	EngineChecksFencing bool `validate:"excluded_if=Kind Plain"`
	// MaxRunning is the maximum number of requests that run concurrently.
	MaxRunning int `validate:"min=1,max=65536"`
	// QueueLimit sizes the buffer of generations that the process has admitted to
	// the engine and is about to start: the buffer holds MaxRunning + QueueLimit +
	// 1 of them. The queue before the admission is bounded by Policy.QueueLimit of
	// the operator file instead. QueueLimit has no effect beside a plain service.
	QueueLimit int `validate:"min=0,max=1000000"`
	// MemoryTokens is the size of the engine's memory, in tokens. It is set for
	// KindEngine only.
	MemoryTokens int `validate:"required_if=Kind Engine,excluded_if=Kind Plain,min=0,max=1000000000"`
	// HoldSeconds is how long a finished answer is kept for replay, in seconds.
	HoldSeconds int `validate:"min=1,max=86400"`
	// RememberSeconds is how long the ID of a request is remembered, in seconds,
	// so that the request never runs a second time. It must be greater than
	// KeyWindowSeconds of the entry hosts.
	RememberSeconds int `validate:"min=1,max=5184000"`
	// DrainSeconds is the time limit of a graceful shutdown, in seconds. Zero sets
	// no limit: the process waits for all requests.
	DrainSeconds int `validate:"min=0,max=604800"`
	// HeartbeatMillis is the interval, in milliseconds, of heartbeats on a stream
	// that carries no other data.
	HeartbeatMillis int `validate:"min=10,max=60000"`
	// Peers are the peer addresses that the process contacts first. The list may
	// be incomplete.
	Peers []string `validate:"unique,dive,ipport"`
}

// DefaultBackend returns the values of the fields that a settings file leaves
// out.
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
	report := validation.New()
	backend := DefaultBackend()
	if !report.Decode(data, &backend) {
		return Backend{}, report.Err()
	}
	report.Validate(backend)
	checkListeners(report, []listener{
		{Field: "PeerAddress", Address: backend.PeerAddress},
		{Field: "MetricsAddress", Address: backend.MetricsAddress},
	})
	if err := report.Err(); err != nil {
		return Backend{}, err
	}
	return backend, nil
}

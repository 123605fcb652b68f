package process

import (
	"net"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// DirectEntry is the settings of an entry host that speaks to backend servers
// without a process between them.
type DirectEntry struct {
	// Name is unique among all processes.
	Name string `validate:"required,max=128"`
	// Zone names the availability zone.
	Zone string `validate:"required,max=128"`
	// CallerAddress serves HTTP to callers.
	CallerAddress string `validate:"required,ipport"`
	// ReadyAddress tells the platform whether to send new connections.
	ReadyAddress string `validate:"required,ipport"`
	// HostAddress is the IP address of the host.
	HostAddress string `validate:"required,ip"`
	// ControlAddress serves other entry hosts; it is empty when none asks.
	ControlAddress string `validate:"omitempty,ipport"`
	// Readers are the control addresses of the entry hosts that read the store
	// for all. When it is empty, or none of them answers, this host reads it
	// itself.
	Readers []string `validate:"max=64,dive,ipport"`
	// PeerPort is the port of the processes beside engines, equal on all hosts.
	PeerPort int `validate:"min=1,max=65535"`
	// MetricsPort serves metrics on HostAddress.
	MetricsPort int `validate:"min=1,max=65535"`
	// StoreAddress is the platform's store.
	StoreAddress string `validate:"required,ipport"`
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int `validate:"min=32,max=1048576"`
	// GraceSeconds is the time from the first signal to the end of the process.
	GraceSeconds float64 `validate:"min=0.5,max=3600"`
	// RevokeMillis is the time after which a removed key is accepted nowhere.
	RevokeMillis int64 `validate:"min=500,max=3600000"`
	// ApplyMillis is the time after which a configuration is in force.
	ApplyMillis int64 `validate:"min=100,max=3600000"`
	// RetryRatio is the share of a service's requests that all entry hosts
	// together may send once more; RetrySlack is the number beyond it.
	RetryRatio float64 `validate:"min=0,max=10"`
	RetrySlack float64 `validate:"min=0,max=1000000"`
	// RetryWindowSeconds is the window of RetryRatio and RetrySlack.
	RetryWindowSeconds float64 `validate:"min=0.1,max=3600"`
	// Placing is how backend servers are chosen; empty means Forecast. The others
	// are baselines to measure it against.
	Placing string `validate:"omitempty,oneof=Forecast RoundRobin LeastOutstanding"`
}

// Values of DirectEntry.Placing.
const (
	PlacingForecast         = "Forecast"
	PlacingRoundRobin       = "RoundRobin"
	PlacingLeastOutstanding = "LeastOutstanding"
)

// DirectBackend is the settings of the process beside an engine that entry
// hosts speak to directly.
type DirectBackend struct {
	// Name is unique among all processes.
	Name string `validate:"required,max=128"`
	// Zone names the availability zone.
	Zone string `validate:"required,max=128"`
	// HostAddress is the IP address of the host.
	HostAddress string `validate:"required,ip"`
	// PeerPort serves entry hosts on HostAddress.
	PeerPort int `validate:"min=1,max=65535"`
	// MetricsPort serves metrics on HostAddress.
	MetricsPort int `validate:"min=1,max=65535"`
	// EngineAddress is the model engine beside the process.
	EngineAddress string `validate:"required,ipport"`
	// KeepRuns leaves running generations on an engine that ends, as a baseline.
	KeepRuns bool
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int `validate:"min=32,max=1048576"`
}

// LoadDirectEntry reads the settings of a DirectEntry. The error is a *Faults
// when the file can be read and is invalid.
func LoadDirectEntry(path string) (DirectEntry, error) {
	return loadDirect(path, ParseDirectEntry)
}

// ParseDirectEntry decodes and validates the settings of a DirectEntry. The
// error is a *Faults.
func ParseDirectEntry(data []byte) (DirectEntry, error) {
	return parseDirect[DirectEntry](data)
}

// ParseDirectBackend decodes and validates the settings of a DirectBackend.
// The error is a *Faults.
func ParseDirectBackend(data []byte) (DirectBackend, error) {
	return parseDirect[DirectBackend](data)
}

// LoadDirectBackend reads the settings of a DirectBackend. The error is a
// *Faults when the file can be read and is invalid.
func LoadDirectBackend(path string) (DirectBackend, error) {
	return loadDirect(path, ParseDirectBackend)
}

func loadDirect[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var none T
	data, err := os.ReadFile(path)
	if err != nil {
		return none, errors.Wrap(err, "read settings")
	}
	return parse(data)
}

func parseDirect[T any](data []byte) (T, error) {
	var settings, none T
	in := validation.New()
	if !in.Decode(data, &settings) {
		return none, in.Err()
	}
	in.Validate(settings)
	if err := in.Err(); err != nil {
		return none, err
	}
	return settings, nil
}

// PeerAddress is where the process serves entry hosts.
func (b DirectBackend) PeerAddress() string {
	return net.JoinHostPort(b.HostAddress, strconv.Itoa(b.PeerPort))
}

// MetricsAddress is where the process serves metrics.
func (b DirectBackend) MetricsAddress() string {
	return net.JoinHostPort(b.HostAddress, strconv.Itoa(b.MetricsPort))
}

// MetricsAddress is where the process serves metrics.
func (e DirectEntry) MetricsAddress() string {
	return net.JoinHostPort(e.HostAddress, strconv.Itoa(e.MetricsPort))
}

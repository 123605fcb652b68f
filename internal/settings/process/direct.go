package process

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// DirectEntry is the settings of an entry host on the direct path: it sends
// requests to backend servers itself, without a process between them.
type DirectEntry struct {
	// Name is unique among all processes.
	Name string `validate:"required,max=128"`
	// Zone names the availability zone.
	Zone string `validate:"required,max=128"`
	// CallerAddress is the listen address of the HTTP interface for callers.
	CallerAddress string `validate:"required,ipport"`
	// ReadyAddress is the listen address of the readiness endpoint, by which the
	// platform decides whether to send new connections.
	ReadyAddress string `validate:"required,ipport"`
	// HostAddress is the IP address of the host.
	HostAddress string `validate:"required,ip"`
	// ControlAddress is the listen address for other entry hosts that read the
	// store through this one. It is empty when there are none.
	ControlAddress string `validate:"omitempty,ipport"`
	// Readers are the control addresses of the entry hosts that read the store on
	// behalf of the others. When the list is empty, or none of them answers, this
	// host reads the store itself.
	Readers []string `validate:"max=64,dive,ipport"`
	// PeerPort is the port of the processes beside engines. It is equal on all
	// hosts.
	PeerPort int `validate:"min=1,max=65535"`
	// MetricsPort is the port of the metrics endpoint on HostAddress.
	MetricsPort int `validate:"min=1,max=65535"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `validate:"required,ipport"`
	// MemoryMegabytes is the memory limit of the process, in megabytes.
	MemoryMegabytes int `validate:"min=32,max=1048576"`
	// CallerMegabytes is the part of MemoryMegabytes, in megabytes, that all callers together may make the
	// process hold. It is at most half of it. Zero means three tenths.
	CallerMegabytes int `validate:"omitempty,min=4,max=1048576"`
	// MaxDescriptors is the number of descriptors that the process may open. Callers use less than half of them.
	// Zero means the limit of the system.
	MaxDescriptors int `validate:"omitempty,min=64,max=100000000"`
	// GraceSeconds is the time from the first termination signal to the exit of
	// the process, in seconds.
	GraceSeconds float64 `validate:"min=0.5,max=3600"`
	// RevokeMillis is the time, in milliseconds, within which all entry hosts stop
	// accepting an API key that was removed from the configuration.
	RevokeMillis int64 `validate:"min=500,max=3600000"`
	// ApplyMillis is the time, in milliseconds, within which a new configuration
	// is in force at all entry hosts.
	ApplyMillis int64 `validate:"min=100,max=3600000"`
	// DrainMillis is the time, in milliseconds, for which a backend server may still get
	// requests after it has said that it is leaving. Zero means none.
	DrainMillis int64 `validate:"min=0,max=3600000"`
	// EvacMillis is the time, in milliseconds, for which an availability zone may still get
	// requests after the order to evacuate it. A host whose configuration was not confirmed
	// for nearly as long sends no requests. Zero means no limit; otherwise it is at least 2,000, as
	// a configuration is up to 1,450 ms old while nothing fails.
	EvacMillis int64 `validate:"omitempty,min=2000,max=3600000"`
	// ColdPerSecond is the number of requests in a second that all entry hosts together send
	// to a backend server that has just started and is not warm yet. They send at least one in
	// five seconds. Zero means no limit.
	ColdPerSecond float64 `validate:"min=0,max=1000000"`
	// RetryRatio limits the retries of all entry hosts together, as a fraction of
	// a service's requests; RetrySlack is the number of retries allowed in
	// addition.
	RetryRatio float64 `validate:"min=0,max=10"`
	RetrySlack float64 `validate:"min=0,max=1000000"`
	// RetryWindowSeconds is the length, in seconds, of the time window over which
	// RetryRatio and RetrySlack count.
	RetryWindowSeconds float64 `validate:"min=0.1,max=3600"`
	// HedgeRatio limits the hedged requests of each route, as a fraction of its
	// requests. It must not exceed RetryRatio, as hedges count as retries. Zero
	// turns hedging off.
	HedgeRatio float64 `validate:"min=0,max=0.2"`
	// Placing is the policy by which backend servers are chosen. Empty means
	// Forecast; the other policies are baselines to compare Forecast with.
	Placing string `validate:"omitempty,oneof=Forecast RoundRobin LeastOutstanding"`
}

// Values of DirectEntry.Placing.
const (
	// PlacingForecast selects the server with the least cost, which for an engine
	// includes its forecast memory use.
	PlacingForecast = "Forecast"
	// PlacingRoundRobin selects the servers in turn.
	PlacingRoundRobin = "RoundRobin"
	// PlacingLeastOutstanding selects the server at which this host has the fewest
	// open requests.
	PlacingLeastOutstanding = "LeastOutstanding"
)

// DirectBackend is the settings of the process beside an engine to which entry
// hosts send requests directly.
type DirectBackend struct {
	// Name is unique among all processes.
	Name string `validate:"required,max=128"`
	// Zone names the availability zone.
	Zone string `validate:"required,max=128"`
	// HostAddress is the IP address of the host.
	HostAddress string `validate:"required,ip"`
	// PeerPort is the port for entry hosts on HostAddress.
	PeerPort int `validate:"min=1,max=65535"`
	// MetricsPort is the port of the metrics endpoint on HostAddress.
	MetricsPort int `validate:"min=1,max=65535"`
	// EngineAddress is the address of the model engine beside the process.
	EngineAddress string `validate:"required,ipport"`
	// GraceSeconds is the time from the first termination signal to the exit of the
	// process, in seconds, within which begun migrations are completed. Zero means that
	// the process ends at once.
	GraceSeconds float64 `validate:"min=0,max=3600"`
	// KeepRuns disables the migration of generations away from an engine that is
	// about to shut down. It serves as a baseline for comparison.
	KeepRuns bool
	// MemoryMegabytes is the memory limit of the process, in megabytes.
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
	return parseDirect(data, func(report *validation.Report, settings DirectEntry) {
		checkHedgeRatio(report, settings)
		checkCallerMegabytes(report, settings)
	})
}

// checkCallerMegabytes records a fault if callers could take more than half of the memory.
func checkCallerMegabytes(report *validation.Report, settings DirectEntry) {
	if settings.CallerMegabytes > settings.MemoryMegabytes/2 {
		report.Add("CallerMegabytes", fmt.Sprintf("must not exceed half of MemoryMegabytes, which is %d, found %d", settings.MemoryMegabytes, settings.CallerMegabytes))
	}
}

// checkHedgeRatio records a fault if the retry budget could not cover the hedges.
func checkHedgeRatio(report *validation.Report, settings DirectEntry) {
	if settings.HedgeRatio > settings.RetryRatio {
		report.Add("HedgeRatio", fmt.Sprintf("must not exceed RetryRatio, which is %g, found %g", settings.RetryRatio, settings.HedgeRatio))
	}
}

// ParseDirectBackend decodes and validates the settings of a DirectBackend.
// The error is a *Faults.
func ParseDirectBackend(data []byte) (DirectBackend, error) {
	return parseDirect(data, func(*validation.Report, DirectBackend) {})
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
		return none, errors.Wrap(err, "read settings file")
	}
	return parse(data)
}

// parseDirect decodes and validates settings. The function check records the faults that
// concern several fields.
func parseDirect[T any](data []byte, check func(*validation.Report, T)) (T, error) {
	var settings, none T
	report := validation.New()
	if !report.Decode(data, &settings) {
		return none, report.Err()
	}
	report.Validate(settings)
	check(report, settings)
	if err := report.Err(); err != nil {
		return none, err
	}
	return settings, nil
}

// PeerAddress returns the listen address for entry hosts.
func (b DirectBackend) PeerAddress() string {
	return net.JoinHostPort(b.HostAddress, strconv.Itoa(b.PeerPort))
}

// MetricsAddress returns the listen address of the metrics endpoint.
func (b DirectBackend) MetricsAddress() string {
	return net.JoinHostPort(b.HostAddress, strconv.Itoa(b.MetricsPort))
}

// MetricsAddress returns the listen address of the metrics endpoint.
func (e DirectEntry) MetricsAddress() string {
	return net.JoinHostPort(e.HostAddress, strconv.Itoa(e.MetricsPort))
}

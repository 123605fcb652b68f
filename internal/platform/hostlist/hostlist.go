// Package hostlist is the client of the platform's host list, which holds the live and the
// draining hosts. The list lags behind the actual state of the hosts.
package hostlist

import "github.com/cockroachdb/errors"

// ErrUnavailable means that the host list could not be read, or that it is unknown whether
// a registration took effect. A registration may safely be retried.
var ErrUnavailable = errors.New("host list is unavailable")

// ErrRefused means that the host list refused a registration as invalid.
var ErrRefused = errors.New("host list refused the registration")

// Values of Host.Role.
const (
	// RoleEntry is an entry host.
	RoleEntry = "Entry"
	// RoleBackend is the host of a backend server.
	RoleBackend = "Backend"
)

// Values of Host.State.
const (
	// StateLive is a host that accepts new requests.
	StateLive = "Live"
	// StateLeaving is a host that is draining: it accepts no new requests.
	StateLeaving = "Leaving"
)

// Host is one entry of the host list.
type Host struct {
	// Name is unique in the list.
	Name string
	// Role is RoleEntry or RoleBackend.
	Role string
	// Region is the platform's region, which consists of availability zones.
	Region string
	// Zone is the availability zone.
	Zone string
	// PeerAddress is the IP address and port for calls from other processes of this
	// system.
	PeerAddress string
	// Model is the model that a backend server runs; it is empty for other hosts.
	Model string
	// Service is the service that a backend server is part of.
	Service string
	// State is StateLive or StateLeaving.
	State string
}

// WithState returns the host with another state.
func (h Host) WithState(state string) Host {
	h.State = state
	return h
}

// List is the response of the host list.
type List struct {
	// Hosts are sorted by name.
	Hosts []Host
}

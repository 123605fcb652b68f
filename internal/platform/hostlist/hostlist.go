// Package hostlist is the client of the platform's list of live and leaving
// hosts. The list lags behind the hosts.
package hostlist

import "github.com/cockroachdb/errors"

// ErrUnavailable says that the list could not be asked, or that it is unknown
// whether a registration took effect. To register again is safe.
var ErrUnavailable = errors.New("host list is unavailable")

// ErrRefused says that the list refused a registration as invalid.
var ErrRefused = errors.New("host list refused")

// Roles of hosts.
const (
	// RoleEntry is an entry host.
	RoleEntry = "Entry"
	// RoleBackend is the host of a backend server.
	RoleBackend = "Backend"
)

// States of hosts.
const (
	// StateLive is a host that takes work.
	StateLive = "Live"
	// StateLeaving is a host that takes no new work.
	StateLeaving = "Leaving"
)

// Host is one entry of the list.
type Host struct {
	// Name is unique in the list.
	Name string
	// Role is RoleEntry or RoleBackend.
	Role string
	// Region holds availability zones.
	Region string
	// Zone is the availability zone.
	Zone string
	// PeerAddress is IP address and port for the system's own processes.
	PeerAddress string
	// Model is the model that a backend server runs; empty for others.
	Model string
	// Service is the service that a backend server is part of.
	Service string
	// State is StateLive or StateLeaving.
	State string
}

// WithState returns the host in another state.
func (h Host) WithState(state string) Host {
	h.State = state
	return h
}

// List is the list's answer.
type List struct {
	// Hosts are in order of name.
	Hosts []Host
}

// Package peer implements the calls that every process serves to its peers and to
// operators: version exchange, decision records, status and drain. Peer serves these
// calls; FetchStatus, FetchRecords and RequestDrain send them.
package peer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Exchanger exchanges configuration versions with other processes.
type Exchanger interface {
	HandleExchange(context.Context, *message.ExchangeRequest) (*message.ExchangeReply, error)
}

// Status is the state of a process, for operators.
type Status struct {
	Name   string
	Role   string
	Region string
	Zone   string
	// Version is the program's version.
	Version string
	// Incarnation is zero for entry hosts.
	Incarnation uint64 `json:",omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64
	// Leaving reports whether the process admits no new work.
	Leaving bool
	// OpenRequests is the number of requests that have not ended.
	OpenRequests int
	// Orders describes the orders sent to the engine. It is set only by processes
	// beside engines.
	Orders *OrderStatus `json:",omitempty"`
	// Beliefs lists the cached state that the process holds about the platform's
	// store or its engine. It is set only by processes of the direct path, on which
	// entry hosts send requests to backend servers without a process in between.
	Beliefs []CachedState `json:",omitempty"`
	// Hosts lists the known state of other processes, or of backend servers on the
	// direct path. It is set only by entry hosts.
	Hosts []HostStatus `json:",omitempty"`
	// QuarantinedTraits lists what requests have in common that are refused, as backend servers
	// crash under them. It is set only by entry hosts.
	QuarantinedTraits []string `json:",omitempty"`
	// UnresponsiveServers lists the backend servers of plain services that get no requests, as
	// they leave calls without an answer. It is set only by entry hosts.
	UnresponsiveServers []UnresponsiveStatus `json:",omitempty"`
}

// UnresponsiveStatus describes a backend server that leaves calls without an answer.
type UnresponsiveStatus struct {
	// Server is the ID of the server.
	Server string
	// Calls is the number of calls of the entry host without an answer since the last answer of the
	// server, open ones and those that timed out. WaitingMillis is the longer of the times for which
	// the open ones wait and the others waited together. Both are zero if the entry host has none,
	// and only other hosts state that the server is unresponsive.
	Calls         int
	WaitingMillis int64
	// QuantileMillis is the usual time of an answer of the service, and QuantileAgeMillis the
	// time since the last answer that it follows from.
	QuantileMillis    int64
	QuantileAgeMillis int64
	// StatedByHosts is the number of other entry hosts that state it.
	StatedByHosts int
}

// OrderStatus describes the orders that a process has sent to its engine.
type OrderStatus struct {
	// ModelVersion is the version of the model that the engine has loaded. It is
	// empty if unknown.
	ModelVersion string
	// EngineRole is the role of the engine. It is empty if unknown.
	EngineRole string
	// OrderedVersion is the highest ConfigVersion from which the engine is known to
	// have accepted an order.
	OrderedVersion uint64
	// Waiting is the reason why an order is pending. It is empty if none is.
	Waiting string `json:",omitempty"`
}

// CachedState describes state that a process holds a cached copy of.
type CachedState struct {
	// Name is the name of the state, such as "Configuration".
	Name string
	// Entries is the number of entries in the state.
	Entries int
	// AgeMillis is the time since the state was last confirmed. It is negative if
	// the state is unknown.
	AgeMillis int64
}

// HostStatus is the state of another process or of a backend server, as far as
// this process knows.
type HostStatus struct {
	Name        string
	Role        string
	Zone        string
	PeerAddress string
	State       string
	Running     uint32
	Waiting     uint32
	// MemoryPermille is the share of memory in use, in thousandths.
	MemoryPermille uint32
	// AgeMillis is the age of the load values. It is negative if there are none.
	AgeMillis int64
}

// Peer serves message.Peer. Its fields must be set before the first call.
type Peer struct {
	Exchanger Exchanger
	// Records returns the decision records of a request, oldest first.
	Records func(ctx context.Context, requestID string) []explanation.Record
	// State returns the state of the process.
	State func() Status
	// StopAdmission stops the admission of new work.
	StopAdmission func()
}

// StatusOnly serves only the Status call of message.Peer; the other calls are not
// implemented. State must be set before the first call.
type StatusOnly struct {
	message.DRPCPeerUnimplementedServer
	// State returns the state of the process.
	State func() Status
}

// Status returns the state of the process as JSON.
func (s *StatusOnly) Status(context.Context, *message.StatusRequest) (*message.StatusReply, error) {
	return encodeStatus(s.State())
}

// Exchange handles a version exchange that a peer started.
func (p *Peer) Exchange(ctx context.Context, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return p.Exchanger.HandleExchange(ctx, in)
}

// Explain returns the encoded decision records of one request.
func (p *Peer) Explain(ctx context.Context, in *message.ExplainRequest) (*message.ExplainReply, error) {
	lines, err := explanation.Encode(p.Records(ctx, in.GetRequestId()))
	if err != nil {
		return nil, err
	}
	return &message.ExplainReply{Records: lines}, nil
}

// Status returns the state of the process as JSON.
func (p *Peer) Status(context.Context, *message.StatusRequest) (*message.StatusReply, error) {
	return encodeStatus(p.State())
}

func encodeStatus(status Status) (*message.StatusReply, error) {
	text, err := json.Marshal(status)
	if err != nil {
		return nil, errors.Wrap(err, "encode status")
	}
	return &message.StatusReply{Json: string(text)}, nil
}

// Drain stops the admission of new work and returns the number of open requests.
func (p *Peer) Drain(context.Context, *message.DrainRequest) (*message.DrainReply, error) {
	p.StopAdmission()
	return &message.DrainReply{OpenRequests: uint32(p.State().OpenRequests)}, nil
}

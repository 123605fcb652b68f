// Package peer answers what every process of the project answers: version
// exchange, decision records, status and drain.
package peer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Exchanger compares configuration versions with other processes.
type Exchanger interface {
	HandleExchange(context.Context, *message.ExchangeRequest) (*message.ExchangeReply, error)
}

// Status is the state of a process as an operator sees it.
type Status struct {
	Name    string
	Role    string
	Region  string
	Zone    string
	Version string
	// Incarnation is zero for entry hosts.
	Incarnation   uint64 `json:",omitempty"`
	ConfigVersion uint64
	Leaving       bool
	// OpenRequests counts the requests that have not ended.
	OpenRequests int
	// Orders is what the engine was ordered; beside engines only.
	Orders *OrderStatus `json:",omitempty"`
	// Beliefs lists what the process knows of the platform's store or of its engine;
	// processes of the direct path only.
	Beliefs []CachedState `json:",omitempty"`
	// Hosts lists what the process knows of others; entry hosts only.
	Hosts []HostStatus `json:",omitempty"`
}

// OrderStatus is what a process has ordered its engine.
type OrderStatus struct {
	// ModelVersion is what the engine has loaded; empty while unknown.
	ModelVersion string
	// EngineRole is empty while unknown.
	EngineRole string
	// OrderedVersion is the highest ConfigVersion of which the engine has taken
	// an order, as far as the process knows.
	OrderedVersion uint64
	// Waiting says why an order waits; empty when none does.
	Waiting string `json:",omitempty"`
}

// CachedState is something that a process learnt elsewhere.
type CachedState struct {
	Name string
	// Entries counts its parts.
	Entries int
	// AgeMillis is the time since it was confirmed; negative while it is unknown.
	AgeMillis int64
}

// HostStatus is what one process knows of another.
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
	// AgeMillis is the age of the load figures; negative when there are none.
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

// StatusOnly serves the status of message.Peer and nothing else. Its field must be
// set before the first call.
type StatusOnly struct {
	message.DRPCPeerUnimplementedServer
	// State returns the state of the process.
	State func() Status
}

// Status returns the state of the process as JSON.
func (s *StatusOnly) Status(context.Context, *message.StatusRequest) (*message.StatusReply, error) {
	return encodeStatus(s.State())
}

// Exchange compares configuration versions.
func (p *Peer) Exchange(ctx context.Context, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return p.Exchanger.HandleExchange(ctx, in)
}

// Explain returns the decision records of one request.
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

// Drain stops the admission of new work and returns how many requests are open.
func (p *Peer) Drain(context.Context, *message.DrainRequest) (*message.DrainReply, error) {
	p.StopAdmission()
	return &message.DrainReply{OpenRequests: uint32(p.State().OpenRequests)}, nil
}

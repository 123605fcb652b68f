package configversion

import (
	"context"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe takes note that a peer held a version. It is called for the versions
// that ride on other messages, and returns at once. An empty peer is ignored.
func (e *Exchanger) Observe(version uint64, peer string) {
	if peer == "" || version <= e.knownVersion() {
		return
	}
	e.init()
	select {
	case e.hints <- hint{version: version, peer: peer}:
	default:
	}
}

// HandleExchange answers a peer with the version in force, and with the record
// when the peer's version is older. The record is left out when this process
// has sent many within the last second.
func (e *Exchanger) HandleExchange(_ context.Context, request *message.ExchangeRequest) (*message.ExchangeReply, error) {
	e.init()
	e.Observe(request.GetVersion(), request.GetName())
	state := e.Register.State()
	reply := &message.ExchangeReply{Version: state.Configuration.Version}
	if request.GetVersion() >= state.Configuration.Version || !e.records.Allow() {
		return reply, nil
	}
	data, err := e.encode(state)
	if err != nil {
		return nil, err
	}
	reply.Record = data
	return reply, nil
}

// encode returns the compressed snapshot of a state, from the cache if it can.
func (e *Exchanger) encode(state State) ([]byte, error) {
	cached := e.encoded.Load()
	if cached != nil && cached.version == state.Configuration.Version && cached.through == state.Through {
		return cached.data, nil
	}
	data, err := Encode(state.Snapshot())
	if err != nil {
		return nil, err
	}
	e.encoded.Store(&encodedState{version: state.Configuration.Version, through: state.Through, data: data})
	return data, nil
}

package configversion

import (
	"context"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe records that a peer held a version, so that a newer version is fetched from
// it. It is called with the version numbers that other messages carry, and does not
// block. An empty peer is ignored.
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

// HandleExchange answers the exchange request of a peer with the version in force, and
// with its record when the peer's version is older. It omits the record when this
// process has reached its limit of records per second.
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

// encode returns the encoded snapshot of a state, from the cache if possible.
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

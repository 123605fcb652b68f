package peer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// FetchStatus requests the state of the process at address.
func FetchStatus(ctx context.Context, address string) (Status, error) {
	var status Status
	reply, err := transport.Call(ctx, address,
		func(ctx context.Context, conn drpc.Conn) (*message.StatusReply, error) {
			return message.NewDRPCPeerClient(conn).Status(ctx, &message.StatusRequest{})
		})
	if err != nil {
		return status, err
	}
	err = json.Unmarshal([]byte(reply.GetJson()), &status)
	return status, errors.Wrap(err, "decode status of "+address)
}

// FetchRecords requests the decision records of a request that the process at
// address holds.
func FetchRecords(ctx context.Context, address, requestID string) ([]explanation.Record, error) {
	reply, err := transport.Call(ctx, address,
		func(ctx context.Context, conn drpc.Conn) (*message.ExplainReply, error) {
			return message.NewDRPCPeerClient(conn).Explain(ctx, &message.ExplainRequest{RequestId: requestID})
		})
	if err != nil {
		return nil, err
	}
	return explanation.Decode(reply.GetRecords())
}

// RequestDrain makes the process at address stop the admission of new work. It
// returns the number of requests that are still open there.
func RequestDrain(ctx context.Context, address string) (int, error) {
	reply, err := transport.Call(ctx, address,
		func(ctx context.Context, conn drpc.Conn) (*message.DrainReply, error) {
			return message.NewDRPCPeerClient(conn).Drain(ctx, &message.DrainRequest{})
		})
	if err != nil {
		return 0, err
	}
	return int(reply.GetOpenRequests()), nil
}

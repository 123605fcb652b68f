package cmd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
)

// callTimeoutMillis limits the calls that an operator command sends to processes.
const callTimeoutMillis = 5000

// peerFlag returns the flag that names the processes to which a command sends its
// calls.
func peerFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:     "peer",
		Usage:    "peer address of a process, as host:port; may be repeated",
		Required: true,
	}
}

// withCallTimeout returns a context that ends callTimeoutMillis from now.
func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, time.Now().Add(callTimeoutMillis*time.Millisecond))
}

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "print the state of processes as JSON, one line each",
		Flags:  []cli.Flag{peerFlag()},
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) error {
	ctx, stop := withCallTimeout(ctx)
	defer stop()
	encoder := json.NewEncoder(c.Root().Writer)
	var failed error
	for _, address := range c.StringSlice("peer") {
		status, err := peer.FetchStatus(ctx, address)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "status of %s", address))
			continue
		}
		if err := encoder.Encode(status); err != nil {
			return withCode(ExitFailure, err)
		}
	}
	return withCode(ExitUnavailable, failed)
}

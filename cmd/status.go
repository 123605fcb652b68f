package cmd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
)

// askMillis bounds one call of an operator command.
const askMillis = 5000

// peerFlag names the processes that a command asks.
func peerFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:     "peer",
		Usage:    "peer address of a process, as host:port; may be given again",
		Required: true,
	}
}

// withAskDeadline bounds the calls of an operator command.
func withAskDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, time.Now().Add(askMillis*time.Millisecond))
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
	ctx, stop := withAskDeadline(ctx)
	defer stop()
	encoder := json.NewEncoder(c.Root().Writer)
	var failed error
	for _, address := range c.StringSlice("peer") {
		status, err := peer.AskStatus(ctx, address)
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

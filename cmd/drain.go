package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
)

// drainPollMillis is the period at which --wait requests the number of open requests.
const drainPollMillis = 200

func newDrainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "stop the admission of new work at processes; open requests run to their end",
		Flags: []cli.Flag{
			peerFlag(),
			&cli.BoolFlag{Name: "wait", Usage: "wait until no request is open"},
		},
		Action: runDrain,
	}
}

func runDrain(ctx context.Context, c *cli.Command) error {
	for _, address := range c.StringSlice("peer") {
		if err := drain(ctx, c, address); err != nil {
			return withCode(ExitUnavailable, errors.Wrapf(err, "drain %s", address))
		}
	}
	return nil
}

func drain(ctx context.Context, c *cli.Command, address string) error {
	for {
		open, err := requestDrain(ctx, address)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: leaving, %d open requests\n", address, open); err != nil {
			return err
		}
		if open == 0 || !c.Bool("wait") {
			return nil
		}
		if err := sleepUntil(ctx, time.Now().Add(drainPollMillis*time.Millisecond)); err != nil {
			return err
		}
	}
}

func requestDrain(ctx context.Context, address string) (int, error) {
	ctx, stop := withCallTimeout(ctx)
	defer stop()
	return peer.RequestDrain(ctx, address)
}

// sleepUntil waits until the given time. It returns an error if ctx ends first.
func sleepUntil(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

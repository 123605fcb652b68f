package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/crashlog"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

func newReleaseCommand() *cli.Command {
	return &cli.Command{
		Name:      "release",
		Usage:     "end the quarantine of requests with a trait, for all entry hosts",
		ArgsUsage: "TRAIT...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "address of the platform's store, as host:port", Required: true},
		},
		Action: runRelease,
	}
}

func runRelease(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return withCode(ExitUsage, errors.New("release needs a trait; 'fulmarvalve status' lists those in quarantine"))
	}
	ctx, stop := withCallTimeout(ctx)
	defer stop()
	store := &platform.Store{Address: c.String("store"), HTTP: platform.NewStoreHTTP()}
	for _, trait := range c.Args().Slice() {
		crashes, err := crashlog.Release(ctx, store, strings.ToLower(trait))
		if err != nil {
			return withCode(ExitUnavailable, errors.Wrapf(err, "release %s", trait))
		}
		if crashes == 0 {
			return withCode(ExitFailure, errors.Newf("no crash is recorded under trait %s", trait))
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: released, %d crashes were recorded under it\n", trait, crashes); err != nil {
			return err
		}
	}
	return nil
}

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
		Usage:     "end the quarantine of parts of prompts, for all entry hosts",
		ArgsUsage: "PART...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "address of the platform's store, as host:port", Required: true},
		},
		Action: runRelease,
	}
}

func runRelease(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return withCode(ExitUsage, errors.New("release needs the ID of a part; 'fulmarvalve status' lists those in quarantine"))
	}
	ctx, stop := withCallTimeout(ctx)
	defer stop()
	store := &platform.Store{Address: c.String("store"), HTTP: platform.NewStoreHTTP()}
	for _, part := range c.Args().Slice() {
		ended, err := crashlog.Release(ctx, store, strings.ToLower(part))
		if err != nil {
			return withCode(ExitUnavailable, errors.Wrapf(err, "release %s", part))
		}
		if ended == 0 {
			return withCode(ExitFailure, errors.Newf("no crash is recorded under part %s", part))
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: %d crash records deleted\n", part, ended); err != nil {
			return err
		}
	}
	return nil
}

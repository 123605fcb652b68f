package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/site"
)

func newStandinsCommand() *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "run stand-ins of the platform and of the engines and plain services that a directory of settings files names, for trials",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings-dir", Usage: "directory of settings files", Required: true},
			&cli.IntFlag{Name: "step-millis", Usage: "duration of one engine step", Value: site.DefaultStepMillis},
		},
		Action: runStandins,
	}
}

func runStandins(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	backends, err := site.LoadBackends(c.String("settings-dir"))
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	standins := &site.Site{Backends: backends, StepMillis: c.Int("step-millis")}
	if err := standins.Prepare(); err != nil {
		return withCode(ExitInvalid, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "stand-ins of %d backend servers, the log at %s, the host list at %s\n",
		len(backends), backends[0].LogServiceAddress, backends[0].HostListAddress)
	if err != nil {
		return err
	}
	return withCode(ExitFailure, standins.Run(ctx))
}

package cmd

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/role/backendhost"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

func newBackendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run the process beside a backend server; the first signal drains it, the second one aborts open requests",
		Flags: hostFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return withLog(ctx, c, c.Root().ErrWriter, func(log *slog.Logger) error {
				settings, err := process.LoadBackend(c.String("settings"))
				if err != nil {
					return withCode(ExitInvalid, errors.Wrap(err, c.String("settings")))
				}
				host := &backendhost.Host{Settings: settings, Log: log, Version: Version}
				return withCode(ExitFailure, lifecycle.WithSignals(ctx, lifecycle.RepeatAborts, host.Run))
			})
		},
	}
}

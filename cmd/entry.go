package cmd

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/role/entryhost"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// hostFlags returns the flags of the entry and backend commands.
func hostFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings file of the process", Required: true},
		&cli.StringFlag{Name: "log-level", Usage: "Debug, Info, Warn or Error", Value: "Info"},
		&cli.StringFlag{Name: "log-format", Usage: "Text or JSON", Value: logging.FormatText},
	}
}

func newEntryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the process of an entry host; the first signal drains it, the second one aborts open requests",
		Flags: hostFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return withLog(ctx, c, c.Root().ErrWriter, func(log *slog.Logger) error {
				settings, err := process.LoadEntry(c.String("settings"))
				if err != nil {
					return withCode(ExitInvalid, errors.Wrap(err, c.String("settings")))
				}
				host := &entryhost.Host{Settings: settings, Log: log, Version: Version}
				return withCode(ExitFailure, lifecycle.WithSignals(ctx, lifecycle.RepeatAborts, host.Run))
			})
		},
	}
}

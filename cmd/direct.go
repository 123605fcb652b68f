package cmd

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/records/diary"
	"github.com/fulmarvalve/fulmarvalve/internal/role/directentry"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifetime"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// directFlags are the flags of the roles on the users' platform, which names
// the settings file itself.
func directFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings file of the process", Value: platform.SettingsPath()},
		&cli.StringFlag{Name: "log-level", Usage: "Debug, Info, Warn or Error", Value: "Info"},
		&cli.StringFlag{Name: "log-format", Usage: "Text or JSON", Value: diary.FormatJSON},
	}
}

func newDirectEntryCommand() *cli.Command {
	return &cli.Command{
		Name:  "direct-entry",
		Usage: "run an entry host that speaks to backend servers directly; the first signal drains it",
		Flags: directFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			log, err := diary.New(c.Root().Writer, diary.Settings{Level: c.String("log-level"), Format: c.String("log-format")})
			if err != nil {
				return withCode(ExitUsage, err)
			}
			settings, err := process.LoadDirectEntry(c.String("settings"))
			if err != nil {
				return withCode(ExitInvalid, errors.Wrap(err, c.String("settings")))
			}
			host := &directentry.Host{Settings: settings, Log: log}
			return withCode(ExitFailure, lifetime.WithSignals(ctx, host.Run))
		},
	}
}

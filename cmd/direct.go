package cmd

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/role/directbackend"
	"github.com/fulmarvalve/fulmarvalve/internal/role/directentry"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// directFlags returns the flags of the roles of the direct path. By default, the
// settings file is the one that the platform names in an environment variable.
func directFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings file of the process", Value: platform.SettingsPath()},
		&cli.StringFlag{Name: "log-level", Usage: "Debug, Info, Warn or Error", Value: "Info"},
		&cli.StringFlag{Name: "log-format", Usage: "Text or JSON", Value: logging.FormatJSON},
	}
}

func newDirectEntryCommand() *cli.Command {
	return &cli.Command{
		Name:  "direct-entry",
		Usage: "run an entry host that sends requests to backend servers directly; the first signal drains it",
		Flags: directFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDirect(ctx, c, process.LoadDirectEntry, func(s process.DirectEntry, log *slog.Logger) roleRunner {
				return (&directentry.Host{Settings: s, SettingsPath: c.String("settings"), Log: log}).Run
			})
		},
	}
}

func newDirectBackendCommand() *cli.Command {
	return &cli.Command{
		Name:  "direct-backend",
		Usage: "run the monitor process beside an engine that receives requests directly from entry hosts",
		Flags: directFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDirect(ctx, c, process.LoadDirectBackend, func(s process.DirectBackend, log *slog.Logger) roleRunner {
				return (&directbackend.Host{Settings: s, SettingsPath: c.String("settings"), Log: log}).Run
			})
		},
	}
}

// roleRunner runs a role until its lifecycle ends.
type roleRunner func(lifecycle.Lifecycle) error

// runDirect catches the signals of the process, loads the settings of a role and runs
// the role. The signals are caught first, so that none is lost or ends the process
// before the role is ready.
func runDirect[T any](ctx context.Context, c *cli.Command, load func(string) (T, error), role func(T, *slog.Logger) roleRunner) error {
	reload := lifecycle.CatchReload()
	defer reload.Stop()
	return lifecycle.WithSignals(ctx, lifecycle.RepeatIgnored, func(life lifecycle.Lifecycle) error {
		life.Reload = reload
		return runRole(ctx, c, life, load, role)
	})
}

// runRole creates the log, loads the settings of a role and runs the role.
func runRole[T any](
	ctx context.Context, c *cli.Command, life lifecycle.Lifecycle,
	load func(string) (T, error), role func(T, *slog.Logger) roleRunner,
) error {
	return withLog(ctx, c, c.Root().Writer, func(log *slog.Logger) error {
		settings, err := load(c.String("settings"))
		if err != nil {
			return withCode(ExitInvalid, errors.Wrap(err, c.String("settings")))
		}
		return withCode(ExitFailure, role(settings, log)(life))
	})
}

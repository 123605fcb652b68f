package cmd

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/role/directbackend"
	"github.com/fulmarvalve/fulmarvalve/internal/role/directentry"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// directFlags are the flags of the roles on the users' platform, which names
// the settings file itself.
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
		Usage: "run an entry host that speaks to backend servers directly; the first signal drains it",
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
		Usage: "run the process beside an engine that entry hosts speak to directly",
		Flags: directFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDirect(ctx, c, process.LoadDirectBackend, func(s process.DirectBackend, log *slog.Logger) roleRunner {
				return (&directbackend.Host{Settings: s, SettingsPath: c.String("settings"), Log: log}).Run
			})
		},
	}
}

// roleRunner runs a role until its lifetime ends.
type roleRunner func(lifecycle.Lifecycle) error

// runDirect catches the signals of a role, loads its settings and runs it.
func runDirect[T any](ctx context.Context, c *cli.Command, load func(string) (T, error), role func(T, *slog.Logger) roleRunner) error {
	reload := lifecycle.CatchReload()
	defer reload.Stop()
	return lifecycle.WithSignals(ctx, func(life lifecycle.Lifecycle) error {
		life.Reload = reload
		return runRole(ctx, c, life, load, role)
	})
}

// runRole loads the settings of a role and runs it, with its log.
func runRole[T any](
	ctx context.Context, c *cli.Command, life lifecycle.Lifecycle,
	load func(string) (T, error), role func(T, *slog.Logger) roleRunner,
) error {
	outlet := logging.NewAsyncWriter(c.Root().Writer)
	log, err := logging.New(outlet, logging.Settings{Level: c.String("log-level"), Format: c.String("log-format")})
	if err != nil {
		return withCode(ExitUsage, err)
	}
	settings, err := load(c.String("settings"))
	if err != nil {
		return withCode(ExitInvalid, errors.Wrap(err, c.String("settings")))
	}
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error {
		outlet.Run(writing)
		return nil
	})
	err = role(settings, log)(life)
	stop()
	return withCode(ExitFailure, errors.CombineErrors(err, group.Wait()))
}

package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// replacesAuto is the value of --replaces that stands for the version in force.
	replacesAuto = "auto"
	// defaultApplySeconds is the default limit for the whole apply command.
	defaultApplySeconds = 30
)

func newApplyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "publish a complete operator file to the log",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Usage: "address of the log service", Required: true},
			&cli.StringFlag{
				Name:      "replaces",
				Usage:     "version that the file replaces, or auto for the one in force",
				Validator: validateReplaces,
			},
			&cli.Uint64Flag{
				Name:  "restart-at",
				Usage: "version number to restart with, if the history of the log has expired and no process holds a version",
			},
			&cli.StringFlag{Name: "author", Usage: "author recorded with the version (default: name of the current user)"},
			&cli.StringFlag{Name: "id", Usage: "ID of an earlier attempt whose outcome is unknown"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force at all peers"},
			&cli.StringSliceFlag{Name: "peer", Usage: "peer address of a process, as host:port; may be repeated"},
			&cli.IntFlag{Name: "timeout-seconds", Usage: "limit for the whole command", Value: defaultApplySeconds},
		},
		Action: runApply,
	}
}

func validateReplaces(text string) error {
	if text == replacesAuto {
		return nil
	}
	_, err := strconv.ParseUint(text, 10, 64)
	return errors.Wrap(err, "expected a version or auto")
}

func runApply(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return withCode(ExitUsage, errors.Newf("apply: expected one file, got %d arguments", c.Args().Len()))
	}
	if c.Bool("wait") && len(c.StringSlice("peer")) == 0 {
		return withCode(ExitUsage, errors.New("apply: --wait needs at least one --peer"))
	}
	if c.IsSet("replaces") == (c.Uint64("restart-at") > 0) {
		return withCode(ExitUsage, errors.New("apply: exactly one of --replaces and --restart-at is required"))
	}
	change, err := readChange(c)
	if err != nil {
		return withCode(ExitFailure, err)
	}
	deadline := time.Now().Add(time.Duration(c.Int("timeout-seconds")) * time.Second)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()

	accepted, err := publish(ctx, c, change)
	if err != nil {
		return reportApplyFailure(c.Root().Writer, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "version %d is accepted (change %s)\n", accepted.Version, accepted.ID)
	if err != nil {
		return withCode(ExitFailure, errors.Wrap(err, "write result"))
	}
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, c, accepted.Version)
}

func readChange(c *cli.Command) (configversion.Change, error) {
	text, err := os.ReadFile(c.Args().First())
	if err != nil {
		return configversion.Change{}, errors.Wrap(err, "read file")
	}
	change := configversion.Change{ID: c.String("id"), Author: c.String("author"), Text: text}
	if change.Author == "" {
		change.Author = currentUser()
	}
	switch c.String("replaces") {
	case "":
		return change, nil
	case replacesAuto:
		change.ReplacesCurrent = true
		return change, nil
	}
	change.Replaces, err = strconv.ParseUint(c.String("replaces"), 10, 64)
	return change, errors.Wrap(err, "parse the version to replace")
}

// currentUser returns the name of the user, or "unknown".
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// publish publishes the change on the log. If the history of the log has expired and
// holds no snapshot to start from, it starts from the version of the first peer that
// answers.
func publish(ctx context.Context, c *cli.Command, change configversion.Change) (configversion.Configuration, error) {
	publisher := configversion.Publisher{Journal: &journal.Client{Address: c.String("log")}}
	if version := c.Uint64("restart-at"); version > 0 {
		return publisher.Restart(ctx, change, version)
	}
	accepted, err := publisher.Publish(ctx, change)
	if !errors.Is(err, configversion.ErrUnanchored) {
		return accepted, err
	}
	for _, peer := range c.StringSlice("peer") {
		state, fetchErr := configversion.FetchState(ctx, callExchange, peer)
		if fetchErr != nil {
			err = errors.CombineErrors(err, fetchErr)
			continue
		}
		publisher.Seed = state
		return publisher.Publish(ctx, change)
	}
	return accepted, err
}

// reportApplyFailure prints the faults or the version in force that the operator has
// to act on, and returns the failure with its exit code.
func reportApplyFailure(w io.Writer, err error) error {
	var faults *operatorfile.Faults
	var conflict *configversion.ConflictError
	var unknown *configversion.UnknownOutcomeError
	switch {
	case errors.As(err, &faults):
		for _, fault := range faults.List {
			_, _ = fmt.Fprintln(w, fault)
		}
		return withCode(ExitInvalid, errors.Newf("apply: found %d faults in the operator file", len(faults.List)))
	case errors.As(err, &conflict):
		printInForce(w, conflict)
		return withCode(ExitConflict, errors.Wrap(err, "apply"))
	case errors.As(err, &unknown):
		return withCode(ExitUnavailable, errors.Wrapf(err, "apply: run the command again with --id %s to find out whether the file was applied", unknown.ID))
	case errors.Is(err, configversion.ErrUnanchored):
		return withCode(ExitFailure, errors.Wrap(err, "apply: give a --peer that holds the version in force, or use --restart-at"))
	case isUnavailable(err):
		return withCode(ExitUnavailable, errors.Wrap(err, "apply: the file was not applied"))
	default:
		return withCode(ExitFailure, errors.Wrap(err, "apply: the file was not applied"))
	}
}

func printInForce(w io.Writer, conflict *configversion.ConflictError) {
	if conflict.InForce == 0 {
		_, _ = fmt.Fprintln(w, "no version is in force")
		return
	}
	_, _ = fmt.Fprintf(w, "version %d is in force, by %s (change %s)\n",
		conflict.InForce, conflict.Author, conflict.Winner)
}

// isUnavailable reports whether the log did not answer or throttled the command.
func isUnavailable(err error) bool {
	return errors.IsAny(err, journal.ErrUnavailable, journal.ErrThrottled, context.DeadlineExceeded, context.Canceled)
}

func waitInForce(ctx context.Context, c *cli.Command, version uint64) error {
	peers := c.StringSlice("peer")
	if err := configversion.AwaitInForce(ctx, callExchange, peers, version); err != nil {
		return withCode(ExitUnavailable, err)
	}
	_, err := fmt.Fprintf(c.Root().Writer, "version %d is in force at %d peers\n", version, len(peers))
	return withCode(ExitFailure, errors.Wrap(err, "write result"))
}

// callExchange sends a version exchange to the process at address.
func callExchange(ctx context.Context, address string, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	ctx, stop := withCallTimeout(ctx)
	defer stop()
	return transport.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (*message.ExchangeReply, error) {
		return message.NewDRPCPeerClient(conn).Exchange(ctx, in)
	})
}

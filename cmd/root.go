// Package cmd holds the command line: one file and one constructor for each
// subcommand.
package cmd

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// Exit codes of the program.
const (
	// ExitOK is returned after success.
	ExitOK = 0
	// ExitFailure is returned when a command could not do its work.
	ExitFailure = 1
	// ExitUsage is returned for unknown flags, commands and missing arguments.
	ExitUsage = 2
	// ExitInvalid is returned when a file or a request has faults.
	ExitInvalid = 3
	// ExitConflict is returned when another operator's change came first.
	ExitConflict = 4
	// ExitUnavailable is returned when a process or the platform gave no answer.
	ExitUnavailable = 5
)

// exitError carries the exit code that a failure maps to.
type exitError struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped failure.
func (e *exitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped failure.
func (e *exitError) Unwrap() error { return e.Err }

// withCode gives err an exit code. A nil err stays nil.
func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{Code: code, Err: err}
}

// Execute runs the program with the given arguments and returns its exit code.
func Execute(args []string) int {
	expvar.Publish(transport.VarName, transport.TrafficVar{})
	return run(context.Background(), args, os.Stdout, os.Stderr)
}

// run executes the command tree and maps its error to an exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newRootCommand(stdout, stderr).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "fulmarvalve: %v\n", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.Code
	}
	return ExitUsage
}

func newRootCommand(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:           "fulmarvalve",
		Usage:          "serve language-model generations of unknown length on crowded engines",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         rejectUnknownCommand,
		Commands: []*cli.Command{
			newApplyCommand(),
			newCheckCommand(),
			newEntryCommand(),
			newBackendCommand(),
			newDirectEntryCommand(),
			newDirectBackendCommand(),
			newStatusCommand(),
			newExplainCommand(),
			newTraceCommand(),
			newDrainCommand(),
			newDemoCommand(),
			newStandinsCommand(),
			newVersionCommand(),
		},
	}
	root.OnUsageError = returnUsageError
	for _, sub := range root.Commands {
		sub.OnUsageError = returnUsageError
	}
	return root
}

// returnUsageError replaces the library's help output by one line.
func returnUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withCode(ExitUsage, err)
}

// rejectUnknownCommand runs when no subcommand matched.
func rejectUnknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return withCode(ExitUsage, errors.Newf("no such command: %s", c.Args().First()))
	}
	return cli.ShowRootCommandHelp(c)
}

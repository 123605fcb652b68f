// Package cmd implements the command line. Most subcommands have a file and a
// constructor of their own.
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
	// ExitFailure is returned when a command fails for any other reason.
	ExitFailure = 1
	// ExitUsage is returned for unknown commands or flags, and for missing or invalid
	// arguments.
	ExitUsage = 2
	// ExitInvalid is returned when a settings file, operator file or deploy file is
	// invalid.
	ExitInvalid = 3
	// ExitConflict is returned when a change does not apply to the version in force,
	// usually because another change was accepted first.
	ExitConflict = 4
	// ExitUnavailable is returned when a process or the platform did not answer.
	ExitUnavailable = 5
)

// exitError is an error with the exit code of the program.
type exitError struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped failure.
func (e *exitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped failure.
func (e *exitError) Unwrap() error { return e.Err }

// withCode returns err with an exit code. It returns nil if err is nil.
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

// run runs the command that the arguments name, prints its error and returns the exit
// code.
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
			newReleaseCommand(),
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

// returnUsageError returns a usage error without the help text that the library would
// print.
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

package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/records/lossreport"
	"github.com/fulmarvalve/fulmarvalve/internal/records/requestlog"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
)

func newTraceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of one request from the logs of all processes, or count failures by cause",
		ArgsUsage: "[FILE...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "ID of the request; without it, failures are counted"},
			&cli.BoolFlag{Name: "losses", Usage: "give each lost, late or refused request one cause and sum them"},
			&cli.BoolFlag{Name: "store-calls", Usage: "sum the calls to the platform's store by role, topic, operation and reason"},
			&cli.TimestampFlag{Name: "from", Usage: "count failures from this time on, in the time format of the logs", Config: timestampConfig()},
			&cli.TimestampFlag{Name: "until", Usage: "count failures until this time, in the time format of the logs", Config: timestampConfig()},
		},
		Action: runTrace,
	}
}

func timestampConfig() cli.TimestampConfig {
	return cli.TimestampConfig{Layouts: []string{time.RFC3339Nano, time.RFC3339}}
}

// runTrace reads the named files, or standard input if there are none.
func runTrace(_ context.Context, c *cli.Command) error {
	lines, err := readLogs(c.Root().Reader, c.Args().Slice())
	if err != nil {
		return withCode(ExitFailure, err)
	}
	if c.Bool("store-calls") {
		return withCode(ExitFailure, storecalls.Write(c.Root().Writer, storecalls.Sum(lines)))
	}
	request := c.String("request")
	if c.Bool("losses") {
		return withCode(ExitFailure, writeLosses(c.Root().Writer, lossreport.Sum(lossreport.Find(lines))))
	}
	if request == "" {
		return withCode(ExitFailure, writeCauses(c.Root().Writer, requestlog.Causes(lines, c.Timestamp("from"), c.Timestamp("until"))))
	}
	found := requestlog.ForRequest(lines, request)
	if len(found) == 0 {
		return withCode(ExitFailure, errors.Newf("no line names request %s", request))
	}
	return withCode(ExitFailure, requestlog.Write(c.Root().Writer, found))
}

func readLogs(stdin io.Reader, paths []string) ([]requestlog.Line, error) {
	if len(paths) == 0 {
		lines, _, err := requestlog.Read(stdin)
		return lines, err
	}
	var all []requestlog.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]requestlog.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines, _, err := requestlog.Read(file)
	return lines, err
}

func writeLosses(w io.Writer, rows []lossreport.Row) error {
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%6d  %9d tokens  %s, first %s\n", r.Count, r.Tokens, r.Cause, r.First); err != nil {
			return errors.Wrap(err, "write losses")
		}
	}
	return nil
}

func writeCauses(w io.Writer, causes []requestlog.Cause) error {
	for _, c := range causes {
		if _, err := fmt.Fprintf(w, "%6d  %s, first %s\n", c.Count, c.Text, c.Request); err != nil {
			return errors.Wrap(err, "write causes")
		}
	}
	return nil
}

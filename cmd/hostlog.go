package cmd

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
)

// lastLinesMillis bounds the time for writing the last lines of the log when a role has ended. Its end must
// be within the grace period.
const lastLinesMillis = 50

// withLog calls run with a log of the level and the format that the flags set, and returns its error. The
// log never blocks run. Its lines are written to w until shortly after run has returned.
func withLog(ctx context.Context, c *cli.Command, w io.Writer, run func(*slog.Logger) error) error {
	writer := logging.NewAsyncWriter(w)
	log, err := logging.New(writer, logging.Settings{Level: c.String("log-level"), Format: c.String("log-format")})
	if err != nil {
		return withCode(ExitUsage, err)
	}
	writerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(written)
		writer.Run(writerCtx)
		return nil
	})
	err = run(log)
	stop()
	// The reader of the log may stand still.
	select {
	case <-written:
	case <-time.After(lastLinesMillis * time.Millisecond):
	}
	return err
}

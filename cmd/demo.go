package cmd

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/role/demo"
)

// demoPrompt asks the stand-in engine for a short answer.
const demoPrompt = "tokens=24 Check the logged session against the member's plan."

func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on loopback with stand-ins, ask once, and print the answer and why it went where it did",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "prompt", Usage: "what to ask", Value: demoPrompt},
			&cli.BoolFlag{Name: "verbose", Usage: "print the logs of all processes"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	out := io.Discard
	if c.Bool("verbose") {
		out = c.Root().ErrWriter
	}
	log, err := logging.New(out, logging.Settings{Level: "Debug"})
	if err != nil {
		return withCode(ExitFailure, err)
	}
	run := &demo.Deployment{
		Out:     c.Root().Writer,
		Log:     log,
		Prompt:  c.String("prompt"),
		Version: Version,
	}
	return withCode(ExitFailure, run.Run(ctx))
}

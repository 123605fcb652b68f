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

// demoPrompt is the default prompt. Its prefix requests an answer of 24 tokens from the
// stand-in engine.
const demoPrompt = "tokens=24 Check the logged session against the member's plan."

func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete deployment on loopback with stand-ins, send one request, and print its answer and the decisions about it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "prompt", Usage: "prompt of the request", Value: demoPrompt},
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
	deployment := &demo.Deployment{
		Out:     c.Root().Writer,
		Log:     log,
		Prompt:  c.String("prompt"),
		Version: Version,
	}
	return withCode(ExitFailure, deployment.Run(ctx))
}

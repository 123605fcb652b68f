package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Version is the released version, set by the linker.
var Version = "0.1.0-dev"

func newVersionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintf(c.Root().Writer, "fulmarvalve %s\n", Version)
			return err
		},
	}
}

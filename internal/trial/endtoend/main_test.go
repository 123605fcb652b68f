package endtoend

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// binary is the path of the program under test, set by TestMain.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

// runAll builds the program under test once, runs all tests and returns the exit
// code.
func runAll(m *testing.M) int {
	directory, err := os.MkdirTemp("", "endtoend")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create a temporary directory:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	flag.Parse()
	binary = filepath.Join(directory, "fulmarvalve")
	if err := build(binary, !*slopes && !*sizes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build compiles the program to path: with the race detector for tests, without it
// for measurements.
func build(path string, race bool) error {
	command := exec.CommandContext(context.Background(), "go", "build",
		fmt.Sprintf("-race=%t", race), "-o", path, "github.com/fulmarvalve/fulmarvalve")
	output, err := command.CombinedOutput()
	return errors.Wrapf(err, "build the program: %s", output)
}

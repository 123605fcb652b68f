package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/deployment"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// Kinds of file that can be checked.
const (
	checkKindEntry         = "Entry"
	checkKindBackend       = "Backend"
	checkKindDirectEntry   = "DirectEntry"
	checkKindDirectBackend = "DirectBackend"
	checkKindServices      = "Services"
	checkKindDeploy        = "Deploy"
)

// deployExtension is the file name extension of deploy files.
const deployExtension = ".toml"

func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report all faults of settings files, operator files and deploy files",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:      "kind",
				Usage:     "kind of all given files: Entry, Backend, DirectEntry, DirectBackend, Services or Deploy; by default detected from the fields of each file",
				Validator: validateCheckKind,
			},
		},
		Action: runCheck,
	}
}

func validateCheckKind(kind string) error {
	switch kind {
	case checkKindEntry, checkKindBackend, checkKindDirectEntry, checkKindDirectBackend, checkKindServices, checkKindDeploy:
		return nil
	default:
		return errors.Newf("no such kind of file: %q", kind)
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return withCode(ExitUsage, errors.New("check: expected at least one file"))
	}
	total := 0
	for _, path := range c.Args().Slice() {
		count, err := checkFile(c.Root().Writer, c.String("kind"), path)
		if err != nil {
			return withCode(ExitFailure, err)
		}
		total += count
	}
	if total > 0 {
		return withCode(ExitInvalid, errors.Newf("check: found %d faults", total))
	}
	return nil
}

// checkFile prints the faults of one file and returns their number.
func checkFile(w io.Writer, kind, path string) (int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Wrap(err, "read file")
	}
	switch {
	case kind != "":
	case filepath.Ext(path) == deployExtension:
		kind = checkKindDeploy
	default:
		kind = detectCheckKind(data)
	}
	err = parseAs(kind, data)
	if err == nil {
		_, err = fmt.Fprintf(w, "%s: valid %s file\n", path, kind)
		return 0, errors.Wrap(err, "write result")
	}
	var faults *validation.Faults
	if !errors.As(err, &faults) {
		return 0, errors.Wrapf(err, "check %s", path)
	}
	for _, fault := range faults.List {
		if _, err := fmt.Fprintf(w, "%s: %s\n", path, fault); err != nil {
			return 0, errors.Wrap(err, "write result")
		}
	}
	return len(faults.List), nil
}

func parseAs(kind string, data []byte) error {
	var err error
	switch kind {
	case checkKindEntry:
		_, err = process.ParseEntry(data)
	case checkKindBackend:
		_, err = process.ParseBackend(data)
	case checkKindDirectEntry:
		_, err = process.ParseDirectEntry(data)
	case checkKindDirectBackend:
		_, err = process.ParseDirectBackend(data)
	case checkKindDeploy:
		err = deployment.Check(data, ".")
	default:
		_, err = operatorfile.Parse(data)
	}
	return err
}

// detectCheckKind returns the kind of a file according to the fields that it contains.
// A file with none of the fields below counts as an operator file.
func detectCheckKind(data []byte) string {
	var fields struct {
		CallerAddress json.RawMessage
		Kind          json.RawMessage
		PeerAddress   json.RawMessage
		StoreAddress  json.RawMessage
		PeerPort      json.RawMessage
	}
	if err := json.Unmarshal(data, &fields); err != nil {
		return checkKindServices
	}
	switch {
	case fields.StoreAddress != nil:
		return checkKindDirectEntry
	case fields.PeerPort != nil:
		return checkKindDirectBackend
	case fields.CallerAddress != nil:
		return checkKindEntry
	case fields.Kind != nil, fields.PeerAddress != nil:
		return checkKindBackend
	default:
		return checkKindServices
	}
}

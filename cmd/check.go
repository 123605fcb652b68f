package cmd

import (
	"context"
	"encoding/json"
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
			&cli.StringFlag{Name: "against", Usage: "operator file in force; what changes when the given one replaces it is listed"},
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON"},
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
	if c.IsSet("against") && c.Args().Len() != 1 {
		return withCode(ExitUsage, errors.Newf("check: --against expects one file, got %d", c.Args().Len()))
	}
	var results []checkResult
	total := 0
	for _, path := range c.Args().Slice() {
		result, err := checkFile(c.String("kind"), path)
		if err != nil {
			return withCode(ExitFailure, err)
		}
		results = append(results, result)
		total += len(result.Faults)
	}
	if c.IsSet("against") {
		inForce, err := compareWith(&results[0], c.String("against"))
		if err != nil {
			return err
		}
		if len(inForce.Faults) > 0 {
			results = append(results, inForce)
			total += len(inForce.Faults)
		}
	}
	if err := writeResults(c.Root().Writer, results, c.Bool("json")); err != nil {
		return withCode(ExitFailure, errors.Wrap(err, "write result"))
	}
	if total > 0 {
		return withCode(ExitInvalid, errors.Newf("check: found %d faults", total))
	}
	return nil
}

// checkFile checks one file. The error says that it could not be read or checked.
func checkFile(kind, path string) (checkResult, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return checkResult{}, errors.Wrap(err, "read file")
	}
	switch {
	case kind != "":
	case filepath.Ext(path) == deployExtension:
		kind = checkKindDeploy
	default:
		kind = detectCheckKind(data)
	}
	result := checkResult{File: path, Kind: kind}
	if kind == checkKindServices {
		result.document, err = operatorfile.Parse(data)
	} else {
		err = parseAs(kind, data)
	}
	var faults *validation.Faults
	switch {
	case err == nil:
		result.Valid = true
		result.addWarnings(data)
	case errors.As(err, &faults):
		result.addFaults(data, faults.List)
	default:
		return result, errors.Wrapf(err, "check %s", path)
	}
	return result, nil
}

// compareWith adds the differences from the operator file that is in force, and returns the result of
// the check of that one.
func compareWith(result *checkResult, path string) (checkResult, error) {
	inForce, err := checkFile(checkKindServices, path)
	if err != nil {
		return inForce, withCode(ExitFailure, err)
	}
	if result.Kind != checkKindServices {
		return inForce, withCode(ExitUsage, errors.Newf("check: --against expects an operator file, %s is of kind %s", result.File, result.Kind))
	}
	if result.Valid && inForce.Valid {
		result.Differences = operatorfile.Differences(inForce.document, result.document)
	}
	return inForce, nil
}

// parseAs checks a file of a kind other than Services.
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
		return errors.Newf("no such kind of file: %q", kind)
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

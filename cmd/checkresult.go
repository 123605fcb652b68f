package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// checkResult is what a check found in one file.
type checkResult struct {
	File  string
	Kind  string
	Valid bool
	// Faults are the reasons why the file is invalid.
	Faults []checkFinding `json:",omitempty"`
	// Warnings are parts of a valid operator file without an effect, or that contradict each other.
	Warnings []checkFinding `json:",omitempty"`
	// Differences are what changes when a valid operator file replaces the one in force.
	Differences []operatorfile.Difference `json:",omitempty"`

	// document is the content of a valid operator file.
	document operatorfile.Document
}

// checkFinding is one fault or warning.
type checkFinding struct {
	// Field is the path of the value; empty for a fault of the file as a whole.
	Field string `json:",omitempty"`
	// Line is the line of the value, counted from 1; zero when it is not known, as in deploy files.
	Line int `json:",omitempty"`
	Text string
}

// addFaults adds faults of the file, with their lines.
func (r *checkResult) addFaults(data []byte, faults []validation.Fault) {
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	lines := r.lines(data, paths)
	for _, fault := range faults {
		finding := checkFinding{Field: fault.Path, Line: fault.Line, Text: fault.Text}
		if fault.Path != "" {
			finding.Line = lines[fault.Path]
		}
		r.Faults = append(r.Faults, finding)
	}
}

// addWarnings adds the warnings of a valid operator file, with their lines.
func (r *checkResult) addWarnings(data []byte) {
	if r.Kind != checkKindServices {
		return
	}
	warnings := operatorfile.Warnings(r.document)
	var paths []string
	for _, w := range warnings {
		paths = append(paths, w.Path)
	}
	lines := r.lines(data, paths)
	for _, w := range warnings {
		r.Warnings = append(r.Warnings, checkFinding{Field: w.Path, Line: lines[w.Path], Text: w.Text})
	}
}

// lines returns the lines of paths in the file, if it is a JSON file.
func (r *checkResult) lines(data []byte, paths []string) map[string]int {
	if r.Kind == checkKindDeploy || len(paths) == 0 {
		return nil
	}
	return validation.Lines(data, paths)
}

// writeResults writes the results as text or as JSON.
func writeResults(w io.Writer, results []checkResult, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct{ Files []checkResult }{results})
	}
	for _, result := range results {
		if err := result.writeText(w); err != nil {
			return err
		}
	}
	return nil
}

func (r *checkResult) writeText(w io.Writer) error {
	for _, fault := range r.Faults {
		if _, err := fmt.Fprintf(w, "%s: %s\n", fault.place(r.File), fault.description()); err != nil {
			return err
		}
	}
	for _, warning := range r.Warnings {
		if _, err := fmt.Fprintf(w, "%s: warning: %s\n", warning.place(r.File), warning.description()); err != nil {
			return err
		}
	}
	for _, difference := range r.Differences {
		if _, err := fmt.Fprintf(w, "%s: %s\n", r.File, difference); err != nil {
			return err
		}
	}
	if !r.Valid {
		return nil
	}
	_, err := fmt.Fprintf(w, "%s: valid %s file\n", r.File, r.Kind)
	return err
}

// place returns the file with the line, unless the text of the finding holds it.
func (f checkFinding) place(file string) string {
	if f.Field == "" || f.Line == 0 {
		return file
	}
	return fmt.Sprintf("%s:%d", file, f.Line)
}

func (f checkFinding) description() string {
	return validation.Fault{Path: f.Field, Text: f.Text}.String()
}

// Package deployment checks a deploy file and the settings templates that it
// names. Each rendered template must be valid settings for the program of its
// role.
package deployment

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// programDirectory is the directory in which the build places its programs.
	programDirectory = "target/"
	// maxTemplateBytes is the size at which a template counts as too large.
	maxTemplateBytes = 64 << 10
	// maxPort is the highest valid port number.
	maxPort = 65535
)

// parsers holds the settings parser of each subcommand.
var parsers = map[string]func([]byte) error{
	"direct-entry": func(data []byte) error {
		_, err := process.ParseDirectEntry(data)
		return err
	},
	"direct-backend": func(data []byte) error {
		_, err := process.ParseDirectBackend(data)
		return err
	},
}

// Check checks a deploy file. The paths of its templates are relative to root. The
// error is a *validation.Faults when the file is invalid.
func Check(data []byte, root string) error {
	deploy, err := platform.ParseDeploy(data)
	report := validation.New()
	if err != nil {
		report.Add("", err.Error())
		return report.Err()
	}
	fields, err := platform.SampleFields()
	if err != nil {
		return err
	}
	c := &check{report: report, root: root, fields: fields}
	c.file(deploy)
	return report.Err()
}

// check collects the faults of one deploy file.
type check struct {
	report *validation.Report
	root   string
	// fields are the sample values with which the templates are rendered.
	fields map[string]any
}

func (c *check) file(d platform.Deploy) {
	for _, key := range d.Unknown {
		c.report.Add(key, "unknown key")
	}
	if strings.TrimSpace(d.Build) == "" {
		c.report.Add("build", "is required")
	}
	if len(d.Roles) == 0 {
		c.report.Add("roles", "at least one is required")
	}
	for _, role := range d.Roles {
		c.role(role, "roles."+role.Name)
	}
}

func (c *check) role(r platform.Role, path string) {
	if r.HostClass == "" {
		c.report.Add(path+".on", "is required")
	}
	if r.Share < 0 || r.Share > 1 {
		c.report.Add(path+".share", "must be over 0 and at most 1")
	}
	if r.Count < 0 {
		c.report.Add(path+".count", "must not be negative")
	}
	if r.Metrics != "" && !validMetrics(r.Metrics) {
		c.report.Add(path+".metrics", "must be PORT/PATH")
	}
	parse, ok := c.program(r, path+".run")
	if ok {
		c.template(r, path+".template", parse)
	}
}

// program checks the command of a role and returns the parser of its settings.
func (c *check) program(r platform.Role, path string) (func([]byte) error, bool) {
	if len(r.Program) == 0 || !strings.HasPrefix(r.Program[0], programDirectory) {
		c.report.Add(path, "must name a program under "+programDirectory)
		return nil, false
	}
	if len(r.Program) == 1 {
		c.report.Add(path, "must name a subcommand")
		return nil, false
	}
	parse, known := parsers[r.Program[1]]
	if !known {
		c.report.Add(path, "unknown subcommand: "+strconv.Quote(r.Program[1]))
	}
	return parse, known
}

// template renders the template of a role and checks the resulting settings.
func (c *check) template(r platform.Role, path string, parse func([]byte) error) {
	if r.Template == "" {
		c.report.Add(path, "is required")
		return
	}
	text, err := os.ReadFile(filepath.Join(c.root, r.Template))
	if err != nil {
		c.report.Add(path, errors.UnwrapAll(err).Error()+": "+r.Template)
		return
	}
	if len(text) >= maxTemplateBytes {
		c.report.Add(path, "is "+strconv.Itoa(len(text))+" bytes long, at most "+strconv.Itoa(maxTemplateBytes-1)+" are allowed")
		return
	}
	rendered, err := platform.Render(string(text), c.fields)
	if err != nil {
		c.report.Add(path, err.Error())
		return
	}
	for _, name := range rendered.Missing {
		c.report.Add(path+"."+name, "the platform has no such field")
	}
	if len(rendered.Missing) == 0 {
		c.settings(path, parse([]byte(rendered.Text)))
	}
}

// settings records the faults of a template's rendered settings, with the path of
// the template before their own.
func (c *check) settings(path string, err error) {
	var faults *validation.Faults
	if !errors.As(err, &faults) {
		if err != nil {
			c.report.Add(path, err.Error())
		}
		return
	}
	for _, fault := range faults.List {
		at := path
		if fault.Path != "" {
			at += "." + fault.Path
		}
		c.report.Add(at, fault.Text)
	}
}

// validMetrics reports whether text has the form PORT/PATH.
func validMetrics(text string) bool {
	port, path, found := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	return found && path != "" && err == nil && number > 0 && number <= maxPort
}

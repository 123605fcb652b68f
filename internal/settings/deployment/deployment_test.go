package deployment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// root is the root directory of the repository, which holds the deploy file of
// this project.
const root = "../../.."

func readDeploy(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestOwnDeployFile(t *testing.T) {
	is.New(t).NoErr(Check([]byte(readDeploy(t)), root))
}

func TestFaultsOfADeployFile(t *testing.T) {
	own := readDeploy(t)
	cases := []struct {
		name, old, with string
		want            []string
	}{
		{"invalid TOML", "build =", "build", []string{""}},
		{"unknown key", `on = "side"`, "on = \"side\"\nshares = 1", []string{"roles.backend-host.shares"}},
		{"no host class", `on = "side"`, "", []string{"roles.backend-host.on"}},
		{"share above 1", "share = 1.0", "share = 1.5", []string{"roles.entry-host.share"}},
		{"program outside target/", "target/fulmarvalve direct-entry", "bin/fulmarvalve direct-entry", []string{"roles.entry-host.run"}},
		{"no subcommand", "fulmarvalve direct-entry", "fulmarvalve", []string{"roles.entry-host.run"}},
		{"subcommand that is not a role of the direct path", "fulmarvalve direct-entry", "fulmarvalve entry", []string{"roles.entry-host.run"}},
		{"missing template file", "deploy/entry-host.json.tmpl", "deploy/none", []string{"roles.entry-host.template"}},
		{"metrics without a port", "7215/metrics", "metrics", []string{"roles.entry-host.metrics"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(own, c.old))
			is.Equal(pathsOf(t, Check([]byte(strings.Replace(own, c.old, c.with, 1)), root))[:len(c.want)], c.want)
		})
	}
}

func TestFaultsOfATemplate(t *testing.T) {
	own, err := os.ReadFile(filepath.Join(root, "deploy", "entry-host.json.tmpl"))
	is.New(t).NoErr(err)
	const deploy = "build = \"true\"\n[roles.a]\nrun = \"target/x direct-entry\"\non = \"front\"\ntemplate = \"a.tmpl\"\n"
	cases := []struct{ name, old, with, want string }{
		{"unknown field", "{{node|json}}", "{{nod|json}}", "roles.a.template.nod"},
		{"unclosed section", "{{/seed_nodes}}", "", "roles.a.template"},
		{"setting out of range", "{{bounds.grace_s}}", "0", "roles.a.template.GraceSeconds"},
		{"unknown setting", `"Name"`, `"Nam"`, "roles.a.template.Nam"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(string(own), c.old))
			directory := t.TempDir()
			text := strings.Replace(string(own), c.old, c.with, 1)
			is.NoErr(os.WriteFile(filepath.Join(directory, "a.tmpl"), []byte(text), 0o600))
			is.True(strings.Contains(strings.Join(pathsOf(t, Check([]byte(deploy), directory)), " "), c.want))
		})
	}
}

// pathsOf returns the paths of the faults in err. It fails the test when err has
// none.
func pathsOf(t *testing.T, err error) []string {
	t.Helper()
	var faults *validation.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want *validation.Faults", err)
	}
	var paths []string
	for _, fault := range faults.List {
		paths = append(paths, fault.Path)
	}
	return paths
}

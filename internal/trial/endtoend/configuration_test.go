package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// Exit codes of the apply command.
const (
	exitOK       = 0
	exitConflict = 4
)

// writeServices writes a copy of testdata/services.json with one more client
// account and returns its path.
func (d *deployment) writeServices(account string) string {
	d.t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "services.json"))
	if err != nil {
		d.t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		d.t.Fatal(err)
	}
	added := map[string]any{"Name": account, "Share": 1, "RequestsPerSecond": 1000, "Burst": 1000}
	document["Accounts"] = append(document["Accounts"].([]any), added)
	text, err = json.Marshal(document)
	if err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.directory, account+"-services.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// applyFile runs the apply command on a file and returns its exit code.
func (d *deployment) applyFile(path, replaces string) (int, error) {
	ctx, stop := context.WithDeadline(context.Background(), waitDeadline())
	defer stop()
	log := d.entries[0].settings.LogServiceAddress
	command := exec.CommandContext(ctx, binary, "apply", "--log", log, "--replaces", replaces, path)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, errors.Wrapf(err, "apply: %s", output)
}

// waitVersion waits until the process at the address has activated the
// configuration version.
func waitVersion(t *testing.T, address string, want uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("version %d at %s", want, address), func() error {
		status, err := queryStatus(address)
		if err == nil && status.ConfigVersion != want {
			return errors.Newf("active version is %d", status.ConfigVersion)
		}
		return err
	})
}

// waitVersionEverywhere waits until all processes have activated the version.
func (d *deployment) waitVersionEverywhere(want uint64) {
	d.t.Helper()
	for _, e := range d.entries {
		waitVersion(d.t, e.settings.PeerAddress, want)
	}
	for _, b := range d.backends {
		waitVersion(d.t, b.settings.PeerAddress, want)
	}
}

// serves reports whether the entry host serves requests of the client account.
func (e *entryHost) serves(account string) (bool, error) {
	request := newRequest("session-check", "tokens=1 served?")
	request.account = account
	r, err := newCaller(e).complete(request)
	if err != nil {
		return false, err
	}
	p, err := r.completion()
	return p.Fulmarvalve.Result == "OK", err
}

// TestConcurrentApply applies several files concurrently that replace the same
// version, while the log loses answers. Exactly one must succeed, and every
// process must activate that one.
func TestConcurrentApply(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const operators = 4
	d := newDeployment(t, layout{entries: 2, engines: 1})
	d.site.Journal.Faults.LoseAnswers.Store(2)
	codes := make([]int, operators)
	var group errgroup.Group
	for n := range operators {
		path := d.writeServices(fmt.Sprintf("hall-%d", n))
		group.Go(func() (err error) {
			codes[n], err = d.applyFile(path, "1")
			return err
		})
	}
	is.NoErr(group.Wait())
	winner, wins := 0, 0
	for n, code := range codes {
		if code == exitOK {
			winner, wins = n, wins+1
			continue
		}
		is.Equal(code, exitConflict)
	}
	is.Equal(wins, 1)
	d.waitVersionEverywhere(2)
	for _, e := range d.entries {
		for n := range operators {
			got, err := e.serves(fmt.Sprintf("hall-%d", n))
			is.NoErr(err)
			is.Equal(got, n == winner)
		}
	}
}

// TestVersionSurvivesLogOutage restarts every process in turn while the log is
// down. Each must get the active version from its peers, and none may return to
// an older one.
func TestVersionSurvivesLogOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1, changeEntry: shortOwnerTimeouts})
	code, err := d.applyFile(d.writeServices("late-hall"), "1")
	is.NoErr(err)
	is.Equal(code, exitOK)
	d.waitVersionEverywhere(2)
	d.site.Journal.Faults.Down.Store(true)
	for _, e := range d.entries {
		e.kill()
		e.start()
		waitVersion(t, e.settings.PeerAddress, 2)
	}
	for _, b := range d.backends {
		b.kill()
		b.start()
		waitVersion(t, b.settings.PeerAddress, 2)
	}
	eventually(t, "entry host serves the added account", func() error {
		got, err := d.entries[1].serves("late-hall")
		if err == nil && !got {
			return errors.New("account late-hall is not served")
		}
		return err
	})
}

// TestEntryHostWithoutLog gives one entry host the address of a log that nobody
// serves. The entry host must get new versions from its peers.
func TestEntryHostWithoutLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1, changeEntry: func(e *process.Entry) {
		if e.Name == "entry-2" {
			e.LogServiceAddress = "127.0.0.1:1"
		}
	}})
	code, err := d.applyFile(d.writeServices("late-hall"), "1")
	is.NoErr(err)
	is.Equal(code, exitOK)
	acceptedAt := time.Now()
	waitVersion(t, d.entries[1].settings.PeerAddress, 2)
	t.Logf("entry host without a log activated version 2 after %d ms", time.Since(acceptedAt).Milliseconds())
	got, err := d.entries[1].serves("late-hall")
	is.NoErr(err)
	is.True(got)
}

package endtoend

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// waitTimeoutMillis bounds each wait for a condition and each request.
	waitTimeoutMillis = 30000
	// pollMillis is the period at which conditions are checked.
	pollMillis = 25
	// logTailBytes is the length of the tail of a process's log that a failed test
	// prints.
	logTailBytes = 6000
)

// waitDeadline returns the time at which a wait that begins now times out.
func waitDeadline() time.Time {
	return time.Now().Add(waitTimeoutMillis * time.Millisecond)
}

// eventually waits until condition returns nil, and fails the test if it does not
// within waitTimeoutMillis.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	deadline := waitDeadline()
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %d ms: %v", what, waitTimeoutMillis, err)
		}
		time.Sleep(pollMillis * time.Millisecond)
	}
}

// program is a process of the program under test. It can be restarted with the same
// settings after it has ended.
type program struct {
	t       *testing.T
	name    string
	role    string
	path    string
	logPath string
	// binary is the program; empty means the one under test, with the race detector.
	binary string
	// environment is added to the environment of the process.
	environment []string
	// descriptors is the number of descriptors that the process may open; zero leaves the usual limit.
	descriptors int

	command *exec.Cmd
	// ended is closed when the process ends.
	ended chan struct{}
	wait  *errgroup.Group
}

// newProgram returns a process, not yet started, that reads its settings from the
// file at path.
func newProgram(t *testing.T, name, role, path string) *program {
	p := &program{t: t, name: name, role: role, path: path, logPath: filepath.Join(filepath.Dir(path), name+".log")}
	t.Cleanup(p.cleanUp)
	return p
}

// start starts the process and appends its output to its log file.
func (p *program) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.startWith(log)
}

// startWith starts the process and lets it write its output to a file.
func (p *program) startWith(output *os.File) {
	p.t.Helper()
	command := exec.CommandContext(context.Background(), cmp.Or(p.binary, binary), p.role, "--settings", p.path)
	if p.descriptors > 0 {
		limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors)
		command = exec.CommandContext(context.Background(), "sh", append([]string{"-c", limited}, command.Args...)...)
	}
	command.Stdout, command.Stderr = output, output
	// A group of its own cannot become orphaned while the test runs, which would end
	// a frozen process with SIGHUP.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Env = append(os.Environ(), p.environment...)
	if *processors > 0 {
		command.Env = append(command.Env, fmt.Sprintf("GOMAXPROCS=%d", *processors))
	}
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.wait = command, ended, &errgroup.Group{}
	p.wait.Go(func() error {
		defer close(ended)
		return command.Wait()
	})
}

// running reports whether the process was started and has not ended.
func (p *program) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *program) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("send %s to %s (%s): %v", signal, p.name, p.state(), err)
	}
}

// state describes whether the process runs or how it ended.
func (p *program) state() string {
	if p.running() {
		return "running"
	}
	return "ended with " + p.command.ProcessState.String()
}

// kill sends SIGKILL and waits for the end of the process.
func (p *program) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// freeze suspends the process with SIGSTOP until thaw.
func (p *program) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
}

// thaw resumes a frozen process.
func (p *program) thaw() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

// terminate sends SIGTERM. The first one makes the process drain, the second one ends
// it at once.
func (p *program) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
}

// exitCode waits for the end of the process and returns its exit code.
func (p *program) exitCode() int {
	p.t.Helper()
	timer := time.NewTimer(time.Until(waitDeadline()))
	defer timer.Stop()
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode()
	case <-timer.C:
		p.t.Fatalf("%s did not end within %d ms", p.name, waitTimeoutMillis)
		return -1
	}
}

// cleanUp kills the process, fails the test if the race detector reported a data
// race, and prints the log of a failed test.
func (p *program) cleanUp() {
	if p.running() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	if bytes.Contains(log, []byte("DATA RACE")) {
		p.t.Errorf("race detector reported a data race in %s", p.name)
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, log[max(0, len(log)-logTailBytes):])
	}
}

package endtoend

import (
	"bytes"
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
	// waitTimeoutMillis bounds every wait for a condition.
	waitTimeoutMillis = 30000
	// pollMillis is the period at which conditions are asked for.
	pollMillis = 25
	// logTailBytes is how much of a process's log a failed test prints.
	logTailBytes = 6000
)

// waitDeadline returns the time at which a wait that begins now is given up.
func waitDeadline() time.Time {
	return time.Now().Add(waitTimeoutMillis * time.Millisecond)
}

// eventually waits until condition returns nil.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	deadline := waitDeadline()
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not in time: %v", what, err)
		}
		time.Sleep(pollMillis * time.Millisecond)
	}
}

// program is one process of the program under test. It may be started again
// with the same settings after it has ended.
type program struct {
	t       *testing.T
	name    string
	role    string
	path    string
	logPath string

	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	wait  *errgroup.Group
}

// newProgram prepares a process whose settings stand in the file at path.
func newProgram(t *testing.T, name, role, path string) *program {
	p := &program{t: t, name: name, role: role, path: path, logPath: filepath.Join(filepath.Dir(path), name+".log")}
	t.Cleanup(p.cleanUp)
	return p
}

// start runs the process.
func (p *program) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(context.Background(), binary, p.role, "--settings", p.path)
	command.Stdout, command.Stderr = log, log
	if *processors > 0 {
		command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", *processors))
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

// running tells whether the process was started and has not ended.
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
		p.t.Fatalf("%s to %s: %v", signal, p.name, err)
	}
}

// kill ends the process at once.
func (p *program) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// freeze stops the process until thaw.
func (p *program) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
}

// thaw lets a frozen process go on.
func (p *program) thaw() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

// terminate asks the process to drain; asked again, it cuts.
func (p *program) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
}

// exitCode waits for the end of the process.
func (p *program) exitCode() int {
	p.t.Helper()
	timer := time.NewTimer(time.Until(waitDeadline()))
	defer timer.Stop()
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode()
	case <-timer.C:
		p.t.Fatalf("%s did not end in time", p.name)
		return -1
	}
}

// cleanUp ends the process, and fails the test for data races that it met.
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
		p.t.Errorf("%s met a data race", p.name)
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, log[max(0, len(log)-logTailBytes):])
	}
}

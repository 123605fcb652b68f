package cmd

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// applyFixture is a log and one process that reads it, on loopback.
type applyFixture struct {
	store    *standin.Store
	log      string
	peer     string
	register *configversion.Register
}

// newApplyFixture serves until the test ends.
func newApplyFixture(t *testing.T) *applyFixture {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		is.NoErr(g.Wait())
	})
	b := &applyFixture{store: &standin.Store{}, register: &configversion.Register{}}
	server := &standin.Server{Address: "127.0.0.1:0", Store: b.store}
	g.Go(func() error { return server.Run(ctx) })
	b.log = server.Addr()

	exchanger := &configversion.Exchanger{Register: b.register}
	mux := drpcmux.New()
	is.NoErr(message.DRPCRegisterPeer(mux, &peer.Peer{Exchanger: exchanger}))
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	is.NoErr(err)
	b.peer = listener.Addr().String()
	lines := &transport.Server{Listener: listener, Handler: mux}
	g.Go(func() error { return lines.Run(ctx) })

	reader := &configversion.Reader{
		Journal:   &journal.Client{Address: b.log},
		Register:  b.register,
		FleetSize: func() int { return 1 },
	}
	g.Go(func() error { return reader.Run(ctx) })
	return b
}

func TestApply(t *testing.T) {
	is := is.New(t)
	b := newApplyFixture(t)
	const file = "../examples/snaga-zajedno/services.json"

	code, stdout, stderr := runProgram("apply", "--log", b.log, "--replaces", "0", "--wait", "--peer", b.peer, file)
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	is.True(strings.HasSuffix(stdout, "version 1 is in force at 1 peers\n"))
	is.Equal(b.register.Version(), uint64(1))

	code, stdout, stderr = runProgram("apply", "--log", b.log, "--replaces", "0", "--author", "birna", file)
	is.Equal(code, ExitConflict)
	is.True(strings.HasPrefix(stdout, "version 1 is in force, by "))
	is.True(strings.Contains(stderr, "version 0 cannot be replaced: version 1 of "))

	b.store.Faults.LoseAnswers.Store(1)
	code, stdout, _ = runProgram("apply", "--log", b.log, "--replaces", "auto", file)
	is.Equal(code, ExitOK)
	is.True(strings.HasPrefix(stdout, "version 2 is accepted (change "))
}

func TestApplyRefusals(t *testing.T) {
	const file = "../examples/fjorukofar/services.json"
	invalid := filepath.Join(t.TempDir(), "services.json")
	is.New(t).NoErr(os.WriteFile(invalid, []byte(`{"Services": []}`), 0o600))
	b := newApplyFixture(t)
	down := newApplyFixture(t)
	down.store.Faults.Down.Store(true)
	tests := map[string]struct {
		args       []string
		wantCode   int
		wantStdout string
	}{
		"no file":            {[]string{"--log", b.log, "--replaces", "0"}, ExitUsage, ""},
		"no version":         {[]string{"--log", b.log, file}, ExitUsage, ""},
		"faulty version":     {[]string{"--log", b.log, "--replaces", "last", file}, ExitUsage, ""},
		"two versions":       {[]string{"--log", b.log, "--replaces", "0", "--restart-at", "1", file}, ExitUsage, ""},
		"needs no restart":   {[]string{"--log", b.log, "--restart-at", "9", file}, ExitConflict, "no version is in force\n"},
		"wait without peer":  {[]string{"--log", b.log, "--replaces", "0", "--wait", file}, ExitUsage, ""},
		"absent file":        {[]string{"--log", b.log, "--replaces", "0", "absent.json"}, ExitFailure, ""},
		"continued and auto": {[]string{"--log", b.log, "--replaces", "auto", "--id", "x", file}, ExitFailure, ""},
		"version ahead":      {[]string{"--log", b.log, "--replaces", "3", file}, ExitConflict, "no version is in force\n"},
		"log is down":        {[]string{"--log", down.log, "--replaces", "0", "--timeout-seconds", "1", file}, ExitUnavailable, ""},
		"invalid file": {
			[]string{"--log", b.log, "--replaces", "0", invalid},
			ExitInvalid,
			"Accounts: must have at least 1 items\nClasses: must have at least 1 items\nServices: must have at least 1 items\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := runProgram(append([]string{"apply"}, tt.args...)...)
			is.Equal(code, tt.wantCode)
			is.Equal(stdout, tt.wantStdout)
			is.True(stderr != "")
		})
	}
}

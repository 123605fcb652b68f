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

// applyFixture is a stand-in log and one process that reads it, on loopback.
type applyFixture struct {
	store    *standin.Store
	log      string
	peer     string
	register *configversion.Register
}

// newApplyFixture starts a fixture that serves until the test ends.
func newApplyFixture(t *testing.T) *applyFixture {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		is.NoErr(g.Wait())
	})
	fixture := &applyFixture{store: &standin.Store{}, register: &configversion.Register{}}
	server := &standin.Server{Address: "127.0.0.1:0", Store: fixture.store}
	g.Go(func() error { return server.Run(ctx) })
	fixture.log = server.Addr()

	exchanger := &configversion.Exchanger{Register: fixture.register}
	mux := drpcmux.New()
	is.NoErr(message.DRPCRegisterPeer(mux, &peer.Peer{Exchanger: exchanger}))
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	is.NoErr(err)
	fixture.peer = listener.Addr().String()
	peerServer := &transport.Server{Listener: listener, Handler: mux}
	g.Go(func() error { return peerServer.Run(ctx) })

	reader := &configversion.Reader{
		Journal:   &journal.Client{Address: fixture.log},
		Register:  fixture.register,
		FleetSize: func() int { return 1 },
	}
	g.Go(func() error { return reader.Run(ctx) })
	return fixture
}

func TestApply(t *testing.T) {
	is := is.New(t)
	fixture := newApplyFixture(t)
	const file = "../examples/snaga-zajedno/services.json"

	code, stdout, stderr := runProgram("apply", "--log", fixture.log, "--replaces", "0", "--wait", "--peer", fixture.peer, file)
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	is.True(strings.HasSuffix(stdout, "version 1 is in force at 1 peers\n"))
	is.Equal(fixture.register.Version(), uint64(1))

	code, stdout, stderr = runProgram("apply", "--log", fixture.log, "--replaces", "0", "--author", "birna", file)
	is.Equal(code, ExitConflict)
	is.True(strings.HasPrefix(stdout, "version 1 is in force, by "))
	is.True(strings.Contains(stderr, "version 0 cannot be replaced: version 1 of "))

	fixture.store.Faults.LoseAnswers.Store(1)
	code, stdout, _ = runProgram("apply", "--log", fixture.log, "--replaces", "auto", file)
	is.Equal(code, ExitOK)
	is.True(strings.HasPrefix(stdout, "version 2 is accepted (change "))
}

func TestApplyRefusals(t *testing.T) {
	const file = "../examples/fjorukofar/services.json"
	invalid := filepath.Join(t.TempDir(), "services.json")
	is.New(t).NoErr(os.WriteFile(invalid, []byte(`{"Services": []}`), 0o600))
	fixture := newApplyFixture(t)
	down := newApplyFixture(t)
	down.store.Faults.Down.Store(true)
	tests := map[string]struct {
		args       []string
		wantCode   int
		wantStdout string
	}{
		"no file":           {[]string{"--log", fixture.log, "--replaces", "0"}, ExitUsage, ""},
		"no version":        {[]string{"--log", fixture.log, file}, ExitUsage, ""},
		"invalid version":   {[]string{"--log", fixture.log, "--replaces", "last", file}, ExitUsage, ""},
		"two versions":      {[]string{"--log", fixture.log, "--replaces", "0", "--restart-at", "1", file}, ExitUsage, ""},
		"unneeded restart":  {[]string{"--log", fixture.log, "--restart-at", "9", file}, ExitConflict, "no version is in force\n"},
		"wait without peer": {[]string{"--log", fixture.log, "--replaces", "0", "--wait", file}, ExitUsage, ""},
		"missing file":      {[]string{"--log", fixture.log, "--replaces", "0", "absent.json"}, ExitFailure, ""},
		"ID with auto":      {[]string{"--log", fixture.log, "--replaces", "auto", "--id", "x", file}, ExitFailure, ""},
		"version too high":  {[]string{"--log", fixture.log, "--replaces", "3", file}, ExitConflict, "no version is in force\n"},
		"log is down":       {[]string{"--log", down.log, "--replaces", "0", "--timeout-seconds", "1", file}, ExitUnavailable, ""},
		"invalid file": {
			[]string{"--log", fixture.log, "--replaces", "0", invalid},
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

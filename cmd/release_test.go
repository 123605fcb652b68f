package cmd

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestRelease checks that the evidence against one part ends, and that odd arguments are errors.
func TestRelease(t *testing.T) {
	is := is.New(t)
	store := &keyedlog.Log{}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return store.Serve(ctx, "127.0.0.1:0", store.Routes()) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	for _, key := range []quarantine.Key{{Part: "5c1e", Server: "e1"}, {Part: "5c1e", Server: "e2"}, {Part: "5c1e07", Server: "e1"}} {
		text, value, _ := quarantine.Encode(quarantine.Evidence{Key: key, Request: "r", UntilUnixMillis: 1})
		store.Put(platform.CrashesTopic, text, value)
	}
	store.Put(platform.CrashesTopic, "odd/", []byte("{"))

	code, stdout, _ := runProgram("release", "--store", store.Addr(), "5C1E")
	is.Equal(code, ExitOK)
	is.Equal(stdout, "5C1E: 2 crash records deleted\n")
	code, _, stderr := runProgram("release", "--store", store.Addr(), "5c1e")
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(stderr, "no crash is recorded under part 5c1e"))
	code, _, stderr = runProgram("release", "--store", store.Addr())
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(stderr, "release needs the ID of a part"))
	code, _, _ = runProgram("release", "--store", "127.0.0.1:1", "5c1e")
	is.Equal(code, ExitUnavailable)
}

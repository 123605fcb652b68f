// Package rehearsal runs a small whole deployment on loopback in one process:
// the stand-ins of the platform, entry hosts, and the processes beside the
// backend servers.
package rehearsal

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/role/backendhost"
	"github.com/fulmarvalve/fulmarvalve/internal/role/entryhost"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifetime"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/edition"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/site"
)

//go:embed services.json
var services []byte

const (
	// readyMillis bounds the wait until the deployment serves.
	readyMillis = 15000
	// pollMillis is the period at which readiness is asked for.
	pollMillis = 100
	// stepMillis is the engine's step, short so that an answer ends soon.
	stepMillis = 5
)

// Rehearsal is one run. Its fields must be set before Run.
type Rehearsal struct {
	// Out receives the answer and its explanation.
	Out io.Writer
	Log *slog.Logger
	// Prompt is what is asked.
	Prompt string
	// Version is the program's version.
	Version string

	entries  []process.Entry
	backends []process.Backend
	site     *site.Site
}

// Run serves, asks, prints and stops.
func (r *Rehearsal) Run(ctx context.Context) error {
	if err := r.prepare(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.site.Run(ctx) })
	life := lifetime.Lifetime{Drain: ctx, Cut: ctx}
	for _, settings := range r.backends {
		host := &backendhost.Host{Settings: settings, Log: r.Log, Version: r.Version}
		group.Go(func() error { return host.Run(life) }) //nolint:contextcheck // life carries the context
	}
	for _, settings := range r.entries {
		host := &entryhost.Host{Settings: settings, Log: r.Log, Version: r.Version}
		group.Go(func() error { return host.Run(life) }) //nolint:contextcheck // life carries the context
	}
	group.Go(func() error {
		defer stop()
		return r.ask(ctx)
	})
	return group.Wait()
}

// ask applies the operator file, waits until it serves, and asks once.
func (r *Rehearsal) ask(ctx context.Context) error {
	publisher := &edition.Publisher{Journal: r.site.Journal}
	applied, err := publisher.Publish(ctx, edition.Change{
		Author:          "rehearsal",
		ReplacesCurrent: true,
		Text:            services,
	})
	if err != nil {
		return errors.Wrap(err, "apply the operator file")
	}
	r.printf("Applied the operator file as version %d.\n", applied.Version)
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	caller := &caller{address: r.entries[0].CallerAddress, client: &http.Client{}}
	answer, err := caller.complete(ctx, r.Prompt)
	if err != nil {
		return err
	}
	r.printf("\n%s\n\n", answer.text())
	records, err := caller.explanation(ctx, answer.Fulmarvalve.RequestID)
	if err != nil {
		return err
	}
	r.printf("%s", records)
	return nil
}

// waitReady waits until an entry host has the configuration and a backend
// server.
func (r *Rehearsal) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyMillis * time.Millisecond)
	caller := &caller{address: r.entries[0].CallerAddress, client: &http.Client{}}
	for time.Now().Before(deadline) {
		_, err := caller.complete(ctx, "tokens=1 ready?")
		if err == nil {
			return nil
		}
		r.Log.Debug("rehearsal: not ready", "Cause", err)
		timer := time.NewTimer(pollMillis * time.Millisecond)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
	return errors.New("the deployment did not become ready")
}

func (r *Rehearsal) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.Out, format, args...)
}

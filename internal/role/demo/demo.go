// Package demo runs a small but complete deployment on loopback in one operating-system
// process: stand-ins of the platform and the engines, entry hosts, and the processes
// beside the backend servers.
package demo

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
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/site"
)

//go:embed services.json
var services []byte

const (
	// readyTimeoutMillis limits the wait until the deployment serves requests.
	readyTimeoutMillis = 15000
	// pollMillis is the period of the readiness checks.
	pollMillis = 100
	// stepMillis is the duration of an engine step. It is short, so that the answer
	// does not take long.
	stepMillis = 5
)

// Deployment is the deployment of one demo run. Its exported fields must be set before
// Run.
type Deployment struct {
	// Out receives the answer and its explanation.
	Out io.Writer
	Log *slog.Logger
	// Prompt is the prompt of the request that is sent.
	Prompt string
	// Version is the program's version.
	Version string

	entries  []process.Entry
	backends []process.Backend
	site     *site.Site
}

// Run starts the deployment, sends one request, prints the answer and its explanation,
// and stops the deployment.
func (d *Deployment) Run(ctx context.Context) error {
	if err := d.prepare(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.site.Run(ctx) })
	life := lifecycle.Lifecycle{Drain: ctx, Abort: ctx}
	for _, settings := range d.backends {
		host := &backendhost.Host{Settings: settings, Log: d.Log, Version: d.Version}
		group.Go(func() error { return host.Run(life) }) //nolint:contextcheck // life carries the context
	}
	for _, settings := range d.entries {
		host := &entryhost.Host{Settings: settings, Log: d.Log, Version: d.Version}
		group.Go(func() error { return host.Run(life) }) //nolint:contextcheck // life carries the context
	}
	group.Go(func() error {
		defer stop()
		return d.applyAndRequest(ctx)
	})
	return group.Wait()
}

// applyAndRequest applies the operator file, waits until the deployment serves
// requests, sends one request and prints its result.
func (d *Deployment) applyAndRequest(ctx context.Context) error {
	publisher := &configversion.Publisher{Journal: d.site.Journal}
	applied, err := publisher.Publish(ctx, configversion.Change{
		Author:          "rehearsal",
		ReplacesCurrent: true,
		Text:            services,
	})
	if err != nil {
		return errors.Wrap(err, "apply the operator file")
	}
	d.printf("Applied the operator file as version %d.\n", applied.Version)
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	caller := &caller{address: d.entries[0].CallerAddress, client: &http.Client{}}
	answer, err := caller.complete(ctx, d.Prompt)
	if err != nil {
		return err
	}
	d.printf("\n%s\n\n", answer.text())
	records, err := caller.explanation(ctx, answer.Fulmarvalve.RequestID)
	if err != nil {
		return err
	}
	d.printf("%s", records)
	return nil
}

// waitReady waits until the first entry host completes a request, for which it needs
// the configuration and a backend server.
func (d *Deployment) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeoutMillis * time.Millisecond)
	caller := &caller{address: d.entries[0].CallerAddress, client: &http.Client{}}
	for time.Now().Before(deadline) {
		_, err := caller.complete(ctx, "tokens=1 ready?")
		if err == nil {
			return nil
		}
		d.Log.Debug("deployment is not ready yet", "Cause", err)
		timer := time.NewTimer(pollMillis * time.Millisecond)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
	return errors.Newf("the deployment did not become ready within %d ms", readyTimeoutMillis)
}

func (d *Deployment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format, args...)
}

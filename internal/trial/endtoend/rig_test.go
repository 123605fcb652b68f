package endtoend

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	standinlist "github.com/fulmarvalve/fulmarvalve/internal/standin/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/site"
)

// Sizes of the capacity target (docs/CAPACITY.md), and limits of the rig.
const (
	targetAccounts = 490
	targetModels   = 5
	// rigRunning is the batch size of the measured backend server.
	rigRunning = 2048
	// rigMemoryTokens is large enough for every generation of a measurement to
	// start at once.
	rigMemoryTokens = 500_000_000
	// rigOpenRequests is the limit of open requests at the measured entry host.
	rigOpenRequests = 4096
)

// rig is a deployment for measurements: one entry host and one backend server whose
// engine is a timestampEngine, with the stand-ins of the platform.
type rig struct {
	*deployment
	engine  *timestampEngine
	entry   *entryHost
	backend *backendServer
}

// newRig starts a rig and waits until it can serve requests.
func newRig(t *testing.T, stepMillis int64) *rig {
	t.Helper()
	d := &deployment{t: t, directory: t.TempDir(), pool: newAddressPool(t)}
	log, list := d.pool.next(), d.pool.next()
	d.addEntry(0, log, list, func(s *process.Entry) { s.MaxOpenRequests = rigOpenRequests })
	settings := d.backendSettings("backend-1", log, list)
	settings.Kind, settings.EngineAddress = process.KindEngine, d.pool.next()
	settings.Service, settings.Model = "service-1", "model-1"
	settings.MemoryTokens, settings.MaxRunning = rigMemoryTokens, rigRunning
	d.addBackend(settings, layout{})
	r := &rig{deployment: d, engine: newTimestampEngine(stepMillis), entry: d.entries[0], backend: d.backends[0]}
	r.servePlatform(log, list, nil)
	r.serve(&serving.Listener{Address: settings.EngineAddress, Handler: r.engine})
	r.publish()
	r.backend.start()
	r.entry.start()
	d.waitReady()
	return r
}

// servePlatform runs the stand-ins of the log and the host list until the test ends.
func (d *deployment) servePlatform(log, list string, hosts []hostlist.Host) {
	d.site = &site.Site{
		Journal:  &journal.Store{AppendsPerSecond: site.DefaultAppendsPerSecond, RetainSeconds: site.DefaultRetainSeconds},
		HostList: &standinlist.Server{Address: list, InitialHosts: hosts},
	}
	d.serve(&journal.Server{Address: log, Store: d.site.Journal})
	d.serve(d.site.HostList)
}

// runner is a stand-in that runs until ctx ends.
type runner interface {
	Run(ctx context.Context) error
}

// serve runs a stand-in until the test ends.
func (d *deployment) serve(r runner) {
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	d.t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			d.t.Error(err)
		}
	})
}

// publish publishes the operator file of targetDocument.
func (d *deployment) publish() {
	d.t.Helper()
	publisher := configversion.Publisher{Journal: d.site.Journal}
	change := configversion.Change{Author: "operator", ReplacesCurrent: true, Text: []byte(targetDocument())}
	if _, err := publisher.Publish(context.Background(), change); err != nil {
		d.t.Fatal(err)
	}
}

// targetDocument returns an operator file with as many client accounts and models as
// the capacity target names.
func targetDocument() string {
	var services, models, classes, accounts []string
	for n := range targetModels {
		number := n + 1
		models = append(models, fmt.Sprintf(`{"Name": "model-%d", "Version": "1", "Replicas": 180}`, number))
		services = append(services, fmt.Sprintf(
			`{"Name": "service-%d", "Kind": "Generation", "Model": "model-%d"}`, number, number))
		classes = append(classes, fmt.Sprintf(
			`{"Name": "class-%d", "Service": "service-%d", "Priority": 10, "Repeatable": true, "Worth": 1, "MaxTokens": 100000}`,
			number, number))
	}
	for n := range targetAccounts {
		accounts = append(accounts, fmt.Sprintf(
			`{"Name": "%s", "Share": 1, "RequestsPerSecond": 100000, "Burst": 100000}`, accountName(n)))
	}
	return fmt.Sprintf(`{"Services": [%s], "Models": [%s], "Classes": [%s], "Accounts": [%s]}`,
		strings.Join(services, ","), strings.Join(models, ","), strings.Join(classes, ","), strings.Join(accounts, ","))
}

// accountName returns the client account of the n-th request.
func accountName(n int) string {
	return fmt.Sprintf("account-%03d", n%targetAccounts)
}

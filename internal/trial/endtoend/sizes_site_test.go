package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

const (
	// sizesStepMillis is the time in which an engine produces one token of each
	// running generation.
	sizesStepMillis = 20
	// sizesRunning is the batch size of an engine.
	sizesRunning = 10
	// sizesMemoryTokens is the memory of an engine. A full batch of answers of mean
	// length fits, but not one with several long answers.
	sizesMemoryTokens = 2400
)

// company describes the deployment and the load of one company at its present size.
type company struct {
	name          string
	zones         int
	engines       int
	plainServices int
	// directory is the directory below examples/ that holds the operator file.
	directory                                             string
	engineService, model, plainService                    string
	engineServerName, plainServerName, region, zonePrefix string
	// kinds are the kinds of requests that its callers send.
	kinds []requestKind
	// flooder is the client account that floods, with requests of the kind with the
	// index floodKind.
	flooder   string
	floodKind int
}

// newSizedDeployment starts the deployment of a company and waits until it can serve
// requests.
func newSizedDeployment(t *testing.T, c company) *deployment {
	t.Helper()
	d := &deployment{t: t, directory: t.TempDir(), pool: newAddressPool(t)}
	hostCounts := make(map[string]int)
	d.prepare(layout{
		entries: c.zones, engines: c.engines, plainServices: c.plainServices, stepMillis: sizesStepMillis,
		changeEntry: func(s *process.Entry) {
			s.Region, s.Zone = c.region, c.zone(hostCounts[c.zonePrefix])
			hostCounts[c.zonePrefix]++
		},
		changeBackend: func(s *process.Backend) { c.changeBackend(s, hostCounts) },
	})
	d.listHosts()
	d.serveSite()
	d.applyDocument(c.document(t))
	for _, b := range d.backends {
		b.start()
	}
	for _, e := range d.entries {
		e.start()
	}
	d.waitListed()
	d.waitConfigured()
	d.waitOrders()
	for _, e := range d.entries {
		eventually(t, "keys can be bound at "+e.name, func() error { return c.makeBooking(e) })
	}
	return d
}

// makeBooking makes one booking at an entry host.
func (c company) makeBooking(e *entryHost) error {
	header := map[string]string{
		httpapi.HeaderAccount: c.flooder,
		httpapi.HeaderClass:   "booking",
		httpapi.HeaderKey:     newKey(),
	}
	r, err := newCaller(e).exchange(http.MethodPost, "/v1/services/"+c.plainService+"/bookings", header, nil)
	if err == nil && r.status != http.StatusOK {
		return errors.Newf("booking answered %d, want 200: %s", r.status, r.body)
	}
	return err
}

// bookings returns the number of bookings at all plain services.
func (d *deployment) bookings() int {
	count := 0
	for _, b := range d.backends {
		if b.plainService != nil {
			count += b.plainService.Bookings()
		}
	}
	return count
}

// zone returns the availability zone of the n-th host of a role; hosts are assigned to
// zones in turn.
func (c company) zone(n int) string {
	return fmt.Sprintf("%s-%d", c.zonePrefix, 1+n%c.zones)
}

// changeBackend completes the settings of a backend server, and spreads the backend
// servers of each service evenly over the zones.
func (c company) changeBackend(s *process.Backend, hostCounts map[string]int) {
	name := c.plainServerName
	s.Service = c.plainService
	if s.Kind == process.KindEngine {
		name = c.engineServerName
		s.Service, s.Model = c.engineService, c.model
		s.MaxRunning, s.MemoryTokens = sizesRunning, sizesMemoryTokens
	}
	s.Region, s.Zone = c.region, c.zone(hostCounts[name])
	hostCounts[name]++
	s.Name = fmt.Sprintf("%s-%02d", name, hostCounts[name])
}

// document returns the company's operator file with the call GET /tides added, which
// the stand-in of the plain service answers.
func (c company) document(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", c.directory, "services.json"))
	if err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	plain := document["Services"].([]any)[1].(map[string]any)
	tides := map[string]any{"Method": "GET", "Path": "/tides", "Repeatable": true}
	plain["Calls"] = append(plain["Calls"].([]any), tides)
	text, err = json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// applyDocument publishes an operator file as version 1.
func (d *deployment) applyDocument(text []byte) {
	d.t.Helper()
	data, err := configversion.Encode(configversion.Proposal{ID: "first", Author: "operator", Version: 1, Document: text})
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.site.Journal.Append(context.Background(), configversion.Stream, data); err != nil {
		d.t.Fatal(err)
	}
}

// lose stops a backend server and kills the process beside it.
func (b *backendServer) lose() {
	b.t.Helper()
	if b.engine != nil {
		b.engine.Faults.Down.Store(true)
		b.engine.Crash()
	} else {
		b.plainService.Faults.Down.Store(true)
	}
	b.kill()
}

// restore restarts a backend server that lose has stopped.
func (b *backendServer) restore() {
	b.t.Helper()
	if b.engine != nil {
		b.engine.Faults.Down.Store(false)
	} else {
		b.plainService.Faults.Down.Store(false)
	}
	b.start()
}

// queryLoad requests the load of an engine.
func queryLoad(address string) (engine.Load, error) {
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer stop()
	client := &engine.Client{Address: address, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	return client.Load(ctx)
}

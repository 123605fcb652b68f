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
	// sizesStepMillis is the engine's time for one token of each generation.
	sizesStepMillis = 20
	// sizesRunning is the batch of an engine.
	sizesRunning = 10
	// sizesMemoryTokens holds the whole batch in the mean, and less when
	// several long answers meet.
	sizesMemoryTokens = 2400
)

// company is a deployment of the sizes of today.
type company struct {
	name          string
	zones         int
	engines       int
	plainServices int
	// directory holds the operator file.
	directory                                             string
	engineService, model, plainService                    string
	engineServerName, plainServerName, region, zonePrefix string
	// kinds are the requests of its callers.
	kinds []requestKind
	// flooder is the client account that floods, with requests of floodKind.
	flooder   string
	floodKind int
}

// newSizedDeployment starts a deployment of the company's size.
func newSizedDeployment(t *testing.T, c company) *deployment {
	t.Helper()
	d := &deployment{t: t, directory: t.TempDir(), pool: newAddressPool(t)}
	served := make(map[string]int)
	d.prepare(layout{
		entries: c.zones, engines: c.engines, plainServices: c.plainServices, stepMillis: sizesStepMillis,
		changeEntry: func(s *process.Entry) {
			s.Region, s.Zone = c.region, c.zone(served[c.zonePrefix])
			served[c.zonePrefix]++
		},
		changeBackend: func(s *process.Backend) { c.changeBackend(s, served) },
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
		eventually(t, "keys are bound at "+e.name, func() error { return c.makeBooking(e) })
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
		return errors.Newf("status %d: %s", r.status, r.body)
	}
	return err
}

// bookings counts the bookings at all desks.
func (d *deployment) bookings() int {
	count := 0
	for _, b := range d.backends {
		if b.plainService != nil {
			count += b.plainService.Bookings()
		}
	}
	return count
}

// zone names the availability zone of the n-th host of a role.
func (c company) zone(n int) string {
	return fmt.Sprintf("%s-%d", c.zonePrefix, 1+n%c.zones)
}

// changeBackend spreads the backend servers of each service over the zones.
func (c company) changeBackend(s *process.Backend, served map[string]int) {
	name := c.plainServerName
	s.Service = c.plainService
	if s.Kind == process.KindEngine {
		name = c.engineServerName
		s.Service, s.Model = c.engineService, c.model
		s.MaxRunning, s.MemoryTokens = sizesRunning, sizesMemoryTokens
	}
	s.Region, s.Zone = c.region, c.zone(served[name])
	served[name]++
	s.Name = fmt.Sprintf("%s-%02d", name, served[name])
}

// document reads the company's operator file and adds the call that the
// plain service's stand-in answers.
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

// applyDocument publishes an operator file.
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

// lose kills a backend server with its process.
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

// restore starts a lost backend server again.
func (b *backendServer) restore() {
	b.t.Helper()
	if b.engine != nil {
		b.engine.Faults.Down.Store(false)
	} else {
		b.plainService.Faults.Down.Store(false)
	}
	b.start()
}

// queryLoad asks an engine for its load.
func queryLoad(address string) (engine.Load, error) {
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer stop()
	client := &engine.Client{Address: address, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	return client.Load(ctx)
}

package endtoend

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
)

// waitReady waits until every process has the operator file and every entry
// host has heard from every backend server.
func (d *deployment) waitReady() {
	d.t.Helper()
	d.waitConfigured()
	for _, e := range d.entries {
		eventually(d.t, e.name+" hears from the backend servers", func() error {
			return d.checkBackends(e, func(h peer.HostStatus) bool { return h.AgeMillis >= 0 })
		})
	}
}

// waitServing waits until the process beside a backend server answers.
func (b *backendServer) waitServing() {
	b.t.Helper()
	eventually(b.t, b.name+" answers", func() error {
		_, err := queryStatus(b.settings.PeerAddress)
		return err
	})
}

// waitListed waits until every entry host knows of every backend server.
func (d *deployment) waitListed() {
	d.t.Helper()
	for _, e := range d.entries {
		eventually(d.t, e.name+" knows the backend servers", func() error {
			return d.checkBackends(e, func(peer.HostStatus) bool { return true })
		})
	}
}

// waitConfigured waits until every process has the operator file.
func (d *deployment) waitConfigured() {
	d.t.Helper()
	for _, e := range d.entries {
		eventually(d.t, e.name+" is configured", func() error { return configured(e.settings.PeerAddress) })
	}
	for _, b := range d.backends {
		eventually(d.t, b.name+" is configured", func() error { return configured(b.settings.PeerAddress) })
	}
}

// checkBackends checks what an entry host knows of each backend server.
func (d *deployment) checkBackends(e *entryHost, known func(peer.HostStatus) bool) error {
	status, err := queryStatus(e.settings.PeerAddress)
	if err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, h := range status.Hosts {
		seen[h.Name] = known(h)
	}
	for _, b := range d.backends {
		if !seen[b.settings.Name] {
			return errors.Newf("too little is known of %s", b.settings.Name)
		}
	}
	return nil
}

func configured(address string) error {
	status, err := queryStatus(address)
	if err == nil && status.ConfigVersion == 0 {
		return errors.New("no version is in force")
	}
	return err
}

// queryStatus asks a process for its state.
func queryStatus(address string) (peer.Status, error) {
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer stop()
	return peer.FetchStatus(ctx, address)
}

// waitKeyBinding waits until keys can be bound.
func (d *deployment) waitKeyBinding(t *testing.T) {
	t.Helper()
	for _, e := range d.entries {
		eventually(t, "keys are bound at "+e.name, func() error {
			r, err := newCaller(e).complete(generationRequest{account: account, class: "agreement", key: newKey(), prompt: "tokens=1 ready?"})
			if err == nil && r.status != http.StatusOK {
				return errors.Newf("status %d: %s", r.status, r.body)
			}
			return err
		})
	}
}

// waitIdle waits until an entry host has heard that nothing runs.
func (d *deployment) waitIdle(t *testing.T, e *entryHost) {
	t.Helper()
	eventually(t, "nothing runs as "+e.name+" sees it", func() error {
		status, err := queryStatus(e.settings.PeerAddress)
		for _, h := range status.Hosts {
			if h.Running+h.Waiting+h.MemoryPermille > 0 {
				return errors.Newf("%s: %d run, %d wait", h.Name, h.Running, h.Waiting)
			}
		}
		return err
	})
}

// waitOrders waits until every engine was ordered what the version in force
// asks for.
func (d *deployment) waitOrders() {
	d.t.Helper()
	for _, b := range d.backends {
		if b.engine == nil {
			continue
		}
		eventually(d.t, "the engine of "+b.name+" is ordered", func() error {
			status, err := queryStatus(b.settings.PeerAddress)
			if err != nil {
				return err
			}
			if status.Orders == nil || status.Orders.OrderedVersion != status.ConfigVersion {
				return errors.Newf("orders: %+v", status.Orders)
			}
			return nil
		})
	}
}

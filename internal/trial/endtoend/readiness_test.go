package endtoend

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
)

// waitReady waits until every process has the operator file and every entry host has
// received a load report of every backend server.
func (d *deployment) waitReady() {
	d.t.Helper()
	d.waitConfigured()
	for _, e := range d.entries {
		eventually(d.t, e.name+" has load reports of all backend servers", func() error {
			return d.checkBackends(e, func(h peer.HostStatus) bool { return h.AgeMillis >= 0 })
		})
	}
}

// waitServing waits until the process beside the backend server answers status
// requests.
func (b *backendServer) waitServing() {
	b.t.Helper()
	eventually(b.t, b.name+" answers", func() error {
		_, err := queryStatus(b.settings.PeerAddress)
		return err
	})
}

// waitListed waits until every entry host lists every backend server.
func (d *deployment) waitListed() {
	d.t.Helper()
	for _, e := range d.entries {
		eventually(d.t, e.name+" lists all backend servers", func() error {
			return d.checkBackends(e, func(peer.HostStatus) bool { return true })
		})
	}
}

// waitConfigured waits until every process has activated an operator file.
func (d *deployment) waitConfigured() {
	d.t.Helper()
	for _, e := range d.entries {
		eventually(d.t, e.name+" is configured", func() error { return configured(e.settings.PeerAddress) })
	}
	for _, b := range d.backends {
		eventually(d.t, b.name+" is configured", func() error { return configured(b.settings.PeerAddress) })
	}
}

// checkBackends returns an error unless the entry host lists every backend server
// with a status that known accepts.
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
			return errors.Newf("%s has no sufficient status of %s", e.name, b.settings.Name)
		}
	}
	return nil
}

// configured returns an error unless the process has activated an operator file.
func configured(address string) error {
	status, err := queryStatus(address)
	if err == nil && status.ConfigVersion == 0 {
		return errors.Newf("no configuration version is active at %s", address)
	}
	return err
}

// queryStatus requests the status of the process at a peer address.
func queryStatus(address string) (peer.Status, error) {
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer stop()
	return peer.FetchStatus(ctx, address)
}

// waitKeyBinding waits until every entry host can bind idempotency keys.
func (d *deployment) waitKeyBinding(t *testing.T) {
	t.Helper()
	for _, e := range d.entries {
		eventually(t, "keys can be bound at "+e.name, func() error {
			r, err := newCaller(e).complete(generationRequest{account: account, class: "agreement", key: newKey(), prompt: "tokens=1 ready?"})
			if err == nil && r.status != http.StatusOK {
				return errors.Newf("status %d: %s", r.status, r.body)
			}
			return err
		})
	}
}

// waitIdle waits until the load reports at an entry host show no running or waiting
// requests and no memory in use.
func (d *deployment) waitIdle(t *testing.T, e *entryHost) {
	t.Helper()
	eventually(t, "no load reported at "+e.name, func() error {
		status, err := queryStatus(e.settings.PeerAddress)
		for _, h := range status.Hosts {
			if h.Running+h.Waiting+h.MemoryPermille > 0 {
				return errors.Newf("%s: %d running, %d waiting, %d permille of the memory in use", h.Name, h.Running, h.Waiting, h.MemoryPermille)
			}
		}
		return err
	})
}

// waitOrders waits until every engine has received the orders that follow from the
// active configuration version.
func (d *deployment) waitOrders() {
	d.t.Helper()
	for _, b := range d.backends {
		if b.engine == nil {
			continue
		}
		eventually(d.t, "engine of "+b.name+" has its orders", func() error {
			status, err := queryStatus(b.settings.PeerAddress)
			if err != nil {
				return err
			}
			if status.Orders == nil || status.Orders.OrderedVersion != status.ConfigVersion {
				return errors.Newf("orders of version %d: got %+v", status.ConfigVersion, status.Orders)
			}
			return nil
		})
	}
}

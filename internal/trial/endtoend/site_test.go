package endtoend

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// listHosts adds every host to the initial entries of the host list.
func (d *deployment) listHosts() {
	list := d.site.HostList
	for _, e := range d.entries {
		list.InitialHosts = append(list.InitialHosts, hostlist.Host{
			Name:        e.settings.Name,
			Role:        hostlist.RoleEntry,
			Region:      e.settings.Region,
			Zone:        e.settings.Zone,
			PeerAddress: e.settings.PeerAddress,
			State:       hostlist.StateLive,
		})
	}
	for _, b := range d.backends {
		list.InitialHosts = append(list.InitialHosts, hostlist.Host{
			Name:        b.settings.Name,
			Role:        hostlist.RoleBackend,
			Region:      b.settings.Region,
			Zone:        b.settings.Zone,
			PeerAddress: b.listedAddress(),
			Model:       b.settings.Model,
			Service:     b.settings.Service,
			State:       hostlist.StateLive,
		})
	}
}

// listedAddress returns the address at which entry hosts reach the process: that of
// its relay, if there is one.
func (b *backendServer) listedAddress() string {
	if b.relay == nil {
		return b.settings.PeerAddress
	}
	return b.relay.listener.Addr().String()
}

// serveSite runs all stand-ins until the test ends.
func (d *deployment) serveSite() {
	ctx, stop := context.WithCancel(context.Background())
	front := &serving.Listener{Handler: d.registrar()}
	if len(d.backends) > 0 {
		front.Address = d.backends[0].settings.HostListAddress
	}
	var group errgroup.Group
	group.Go(func() error { return d.site.Run(ctx) })
	group.Go(func() error { return front.Run(ctx) })
	d.t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			d.t.Errorf("stand-ins failed: %v", err)
		}
	})
}

// registrar returns the handler of the host list for the processes beside the backend
// servers. It registers each under the address of its relay.
func (d *deployment) registrar() http.Handler {
	list := d.site.HostList.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut {
			list.ServeHTTP(w, r)
			return
		}
		var host hostlist.Host
		if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if b := d.backend(host.Name); b != nil {
			host.PeerAddress = b.listedAddress()
		}
		d.site.HostList.Put(host)
		w.WriteHeader(http.StatusNoContent)
	})
}

// apply publishes the operator file testdata/services.json as version 1.
func (d *deployment) apply() {
	d.t.Helper()
	services, err := os.ReadFile(filepath.Join("testdata", "services.json"))
	if err != nil {
		d.t.Fatal(err)
	}
	data, err := configversion.Encode(configversion.Proposal{ID: "first", Author: "operator", Version: 1, Document: services})
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.site.Journal.Append(context.Background(), configversion.Stream, data); err != nil {
		d.t.Fatal(err)
	}
}

package entryhost

import (
	"context"

	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/quota"
	"github.com/fulmarvalve/fulmarvalve/internal/permit/leaseholder"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/role/configuration"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/balancer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/poller"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

func (h *Host) newConfigurationSource(log journal.Log) *configuration.Source {
	b := &configuration.Source{
		Address: h.Settings.PeerAddress,
		Journal: log,
		Log:     h.Log,
		Readers: h.entryHostCount,
		Peers:   h.peerAddresses,
	}
	b.Prepare()
	return b
}

func (h *Host) newBalancer() *balancer.Balancer {
	return &balancer.Balancer{
		Name:          h.Settings.Name,
		Zone:          h.Settings.Zone,
		Region:        h.Settings.Region,
		Candidates:    h.Settings.ProbeCandidates,
		Members:       h.members,
		Configuration: h.configuration.Document,
		VersionSeen:   h.configuration.Observe,
	}
}

func (h *Host) newPoller() *poller.Poller {
	return &poller.Poller{
		Self:    h.self,
		Hosts:   h.hosts,
		Watched: h.balancer.Watched,
		Members: h.members,
		Observe: h.balancer.Observe,
		SetRequester: func(in *message.ProbeRequest) {
			in.ConfigVersion = h.configuration.Version()
			in.Asker = h.Settings.PeerAddress
		},
		Log: logging.For(h.Log, logging.Roster),
	}
}

func (h *Host) newHolder(log journal.Log) *leaseholder.Holder {
	return &leaseholder.Holder{
		Log:              log,
		Name:             h.Settings.Name,
		Address:          h.Settings.PeerAddress,
		Partitions:       h.Settings.Partitions,
		KeyWindowSeconds: h.Settings.KeyWindowSeconds,
		Hosts:            h.entryHosts,
		Dial: func(_ context.Context, address string) (leaseholder.Client, error) {
			return claimClient{address: address}, nil
		},
		Logger: logging.For(h.Log, logging.Holder),
	}
}

func (h *Host) newQuota() *quota.Quota {
	return &quota.Quota{
		Name:    h.Settings.Name,
		Hosts:   h.quotaHosts,
		LimitOf: h.limitOf,
		Send: func(ctx context.Context, address string, in *message.MeterRequest) (*message.MeterReply, error) {
			return transport.CallPooled(ctx, address,
				func(ctx context.Context, conn drpc.Conn) (*message.MeterReply, error) {
					return message.NewDRPCEntryClient(conn).Meter(ctx, in)
				})
		},
		Log: logging.For(h.Log, logging.Intake),
	}
}

// quotaHosts returns the entry hosts that may be the home of an account.
func (h *Host) quotaHosts() []quota.Host {
	var hosts []quota.Host
	for _, live := range h.entryHosts() {
		hosts = append(hosts, quota.Host{Name: live.Name, Address: live.Address})
	}
	return hosts
}

// limitOf returns the rate of an account in the configuration in force.
func (h *Host) limitOf(name string) quota.Limit {
	document := h.configuration.Document()
	if document == nil {
		return quota.Limit{Account: name}
	}
	account, _ := document.Account(name)
	return quota.Limit{Account: name, RequestsPerSecond: account.RequestsPerSecond}
}

// claimClient asks another entry host to bind a key.
type claimClient struct {
	address string
}

// Claim asks that host to bind a key.
func (c claimClient) Claim(ctx context.Context, in *message.ClaimRequest) (*message.ClaimReply, error) {
	return transport.Call(ctx, c.address,
		func(ctx context.Context, conn drpc.Conn) (*message.ClaimReply, error) {
			return message.NewDRPCEntryClient(conn).Claim(ctx, in)
		})
}

// self is the host as it registers itself.
func (h *Host) self() hostlist.Host {
	state := hostlist.StateLive
	if h.leaving.isSet() {
		state = hostlist.StateLeaving
	}
	return hostlist.Host{
		Name:        h.Settings.Name,
		Role:        hostlist.RoleEntry,
		Region:      h.Settings.Region,
		Zone:        h.Settings.Zone,
		PeerAddress: h.Settings.PeerAddress,
		State:       state,
	}
}

// entryHosts returns the live entry hosts, this one among them.
func (h *Host) entryHosts() []leaseholder.Host {
	hosts := []leaseholder.Host{{Name: h.Settings.Name, Address: h.Settings.PeerAddress}}
	for m := range h.members.Snapshot().EntryHosts() {
		if m.Host.Name != h.Settings.Name && !m.Leaving() {
			hosts = append(hosts, leaseholder.Host{Name: m.Host.Name, Address: m.Host.PeerAddress})
		}
	}
	return hosts
}

// entryHostCount counts the live entry hosts, this one included.
func (h *Host) entryHostCount() int { return len(h.entryHosts()) }

// peerAddresses returns the processes to compare versions with.
func (h *Host) peerAddresses() []string {
	var addresses []string
	for m := range h.members.Snapshot().All() {
		if m.Host.Name != h.Settings.Name {
			addresses = append(addresses, m.Host.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return h.Settings.Peers
	}
	return addresses
}

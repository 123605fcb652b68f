package entryhost

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/crashreport"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/quota"
	"github.com/fulmarvalve/fulmarvalve/internal/permit/leaseholder"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/role/configuration"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/balancer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/poller"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

func (h *Host) newConfigurationSource(log journal.Log) *configuration.Source {
	source := &configuration.Source{
		Address: h.Settings.PeerAddress,
		Journal: log,
		Log:     h.Log,
		Readers: h.entryHostCount,
		Peers:   h.peerAddresses,
	}
	source.Prepare()
	return source
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
		CrashesSeen:   h.applyCrashes,
	}
}

// applyCrashes takes the crashes that a backend server's owner has reported.
func (h *Host) applyCrashes(crashes []*message.Crash) {
	h.quarantine.Apply(crashreport.Decode(crashes), boottime.Now(), time.Now().UnixMilli())
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

// quotaHosts returns the entry hosts that may be the home of an account, at which its
// rate is estimated.
func (h *Host) quotaHosts() []quota.Host {
	var hosts []quota.Host
	for _, live := range h.entryHosts() {
		hosts = append(hosts, quota.Host{Name: live.Name, Address: live.Address})
	}
	return hosts
}

// limitOf returns the rate limit of an account in the configuration in force.
func (h *Host) limitOf(name string) quota.Limit {
	document := h.configuration.Document()
	if document == nil {
		return quota.Limit{Account: name}
	}
	account, _ := document.Account(name)
	return quota.Limit{Account: name, RequestsPerSecond: account.RequestsPerSecond}
}

// claimClient sends claims to another entry host.
type claimClient struct {
	address string
}

// Claim requests the host to bind an idempotency key.
func (c claimClient) Claim(ctx context.Context, in *message.ClaimRequest) (*message.ClaimReply, error) {
	return transport.Call(ctx, c.address,
		func(ctx context.Context, conn drpc.Conn) (*message.ClaimReply, error) {
			return message.NewDRPCEntryClient(conn).Claim(ctx, in)
		})
}

// self returns the entry of this host for the host list.
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

// entryHosts returns the live entry hosts, including this one.
func (h *Host) entryHosts() []leaseholder.Host {
	hosts := []leaseholder.Host{{Name: h.Settings.Name, Address: h.Settings.PeerAddress}}
	for m := range h.members.Snapshot().EntryHosts() {
		if m.Host.Name != h.Settings.Name && !m.Leaving() {
			hosts = append(hosts, leaseholder.Host{Name: m.Host.Name, Address: m.Host.PeerAddress})
		}
	}
	return hosts
}

// entryHostCount returns the number of live entry hosts, including this one.
func (h *Host) entryHostCount() int { return len(h.entryHosts()) }

// peerAddresses returns the addresses of the processes with which this one exchanges
// versions. These are the peers from the settings while no other host is known.
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

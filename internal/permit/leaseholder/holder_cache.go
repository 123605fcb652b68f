package leaseholder

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// unreachableSeconds is how long an entry host that did not respond, or is shutting
// down, is skipped.
const unreachableSeconds = 10

// holderCache remembers the last known holder of each partition, and which entry
// hosts are to be skipped as unreachable.
type holderCache struct {
	mu sync.Mutex
	// holders maps a partition to the address of its last known holder.
	holders map[uint32]string
	// unreachableUntil maps an address to the time until which it is skipped.
	unreachableUntil map[string]time.Time
}

func (c *holderCache) setHolder(partition uint32, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders == nil {
		c.holders = make(map[uint32]string)
	}
	c.holders[partition] = address
}

func (c *holderCache) markUnreachable(partition uint32, address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders[partition] == address {
		delete(c.holders, partition)
	}
	if c.unreachableUntil == nil {
		c.unreachableUntil = make(map[string]time.Time)
	}
	c.unreachableUntil[address] = now.Add(unreachableSeconds * time.Second)
}

// holder returns the address of the partition's last known holder, or an empty
// string.
func (c *holderCache) holder(partition uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders[partition]
}

// reachable reports whether the address is not marked as unreachable.
func (c *holderCache) reachable(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.unreachableUntil[address])
}

// nextHost returns the address of the entry host to which a claim is sent next: the
// last known holder, or else the first reachable entry host in rendezvous order.
// It skips the hosts in tried, and returns an empty string if none is left.
func (h *Holder) nextHost(partition uint32, tried map[string]bool) string {
	if known := h.holderCache.holder(partition); known != "" && !tried[known] {
		return known
	}
	now := time.Now()
	for _, host := range rendezvous(partition, h.Hosts()) {
		if !tried[host.Address] && h.holderCache.reachable(host.Address, now) {
			return host.Address
		}
	}
	return ""
}

// rendezvous returns the entry hosts in their order of preference as holder of the
// partition, by rendezvous hashing.
func rendezvous(partition uint32, hosts []Host) []Host {
	suffix := "/" + strconv.FormatUint(uint64(partition), 10)
	weight := make(map[string]uint64, len(hosts))
	for _, host := range hosts {
		weight[host.Name] = xxhash.Sum64String(host.Name + suffix)
	}
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weight[b.Name], weight[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return order
}

package leaseholder

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// unreachableSeconds is how long an entry host that gave no answer is passed over.
const unreachableSeconds = 10

// holderCache remembers where partitions were found and who gave no answer.
type holderCache struct {
	mu sync.Mutex
	// holders has the address of a partition's last known holder.
	holders map[uint32]string
	// unreachableUntil has the time until which an address is passed over.
	unreachableUntil map[string]time.Time
}

func (d *holderCache) setHolder(partition uint32, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holders == nil {
		d.holders = make(map[uint32]string)
	}
	d.holders[partition] = address
}

func (d *holderCache) markUnreachable(partition uint32, address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holders[partition] == address {
		delete(d.holders, partition)
	}
	if d.unreachableUntil == nil {
		d.unreachableUntil = make(map[string]time.Time)
	}
	d.unreachableUntil[address] = now.Add(unreachableSeconds * time.Second)
}

// holder returns the last known holder of a partition.
func (d *holderCache) holder(partition uint32) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holders[partition]
}

// reachable tells whether an address is not passed over.
func (d *holderCache) reachable(address string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.unreachableUntil[address])
}

// nextHost returns the entry host to ask next: the last known holder, else the
// first live one in rendezvous order that was not asked and is not passed over.
// It returns no address when none is left.
func (h *Holder) nextHost(partition uint32, asked map[string]bool) string {
	if known := h.holderCache.holder(partition); known != "" && !asked[known] {
		return known
	}
	now := time.Now()
	for _, host := range rendezvous(partition, h.Hosts()) {
		if !asked[host.Address] && h.holderCache.reachable(host.Address, now) {
			return host.Address
		}
	}
	return ""
}

// rendezvous returns the entry hosts in the order in which they should hold the
// partition.
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

package balancer

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
)

// serverKind identifies the backend servers that one request may be sent to: those
// of one model or those of one plain service.
type serverKind struct {
	// model is empty for plain services.
	model string
	// service is empty for models.
	service string
}

// subsetCache holds the subsets of backend servers that an entry host routes to, one
// for each kind. A subset depends only on the hosts in the membership table, so the
// cache is cleared when another host list has been applied to the table. The zero value
// is ready for use. It is safe for concurrent use.
type subsetCache struct {
	mu sync.Mutex
	// membership identifies the set of hosts that the subsets were computed from.
	membership membership.Membership
	// subsets holds the names of each subset in the order of choice.Subset. The
	// slices are never changed.
	subsets map[serverKind][]string
	// listed holds the kinds that have a backend server.
	listed []serverKind
}

// kindOf returns the kind of a backend server.
func kindOf(h membership.Host) serverKind {
	if h.Model != "" {
		return serverKind{model: h.Model}
	}
	return serverKind{service: h.Service}
}

// subset returns the names of the backend servers of a kind that the entry host
// routes to.
func (b *Balancer) subset(snapshot *membership.Snapshot, kind serverKind) []string {
	c := &b.cache
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(snapshot)
	names, known := c.subsets[kind]
	if !known {
		names = b.computeSubset(snapshot, kind)
		c.subsets[kind] = names
	}
	return names
}

// refresh clears the cache if the snapshot has another membership than the one that
// the subsets were computed from. The caller holds the mutex.
func (c *subsetCache) refresh(snapshot *membership.Snapshot) {
	if c.subsets != nil && c.membership == snapshot.Membership() {
		return
	}
	c.membership = snapshot.Membership()
	c.subsets = make(map[serverKind][]string)
	c.listed = listedKinds(snapshot)
}

// computeSubset returns the names of the subset of a kind, in the order of
// choice.Subset. The subset is empty if the kind has no backend server.
func (b *Balancer) computeSubset(snapshot *membership.Snapshot, kind serverKind) []string {
	listed := snapshot.Service(kind.service)
	if kind.model != "" {
		listed = snapshot.Model(kind.model)
	}
	var candidates []choice.Candidate
	for m := range listed {
		candidates = append(candidates, choice.Candidate{
			Name:   m.Host.Name,
			Zone:   m.Host.AvailabilityZone,
			Region: m.Host.Region,
		})
	}
	var names []string
	for _, c := range choice.Subset(b.Name, b.Zone, b.Region, candidates, b.Candidates) {
		names = append(names, c.Name)
	}
	return names
}

// Watched returns the backend servers that the entry host routes to, of all kinds.
// The entry host probes them periodically for their load.
func (b *Balancer) Watched() []membership.Member {
	snapshot := b.Members.Snapshot()
	var watched []membership.Member
	for _, kind := range b.cache.kinds(snapshot) {
		for _, name := range b.subset(snapshot, kind) {
			if m, found := snapshot.Find(name); found {
				watched = append(watched, m)
			}
		}
	}
	return watched
}

// kinds returns the kinds that have a backend server.
func (c *subsetCache) kinds(snapshot *membership.Snapshot) []serverKind {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(snapshot)
	return c.listed
}

// listedKinds returns the kinds of the backend servers in a snapshot.
func listedKinds(snapshot *membership.Snapshot) []serverKind {
	seen := make(map[serverKind]bool)
	var listed []serverKind
	for m := range snapshot.All() {
		kind := kindOf(m.Host)
		if m.Host.Role != membership.RoleBackend || seen[kind] {
			continue
		}
		seen[kind] = true
		listed = append(listed, kind)
	}
	return listed
}

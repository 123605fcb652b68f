package balancer

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
)

// serverKind groups the backend servers that one request may go to.
type serverKind struct {
	// model is empty for plain services.
	model   string
	service string
}

// subsetCache holds the subsets of backend servers that an entry host routes to. They
// depend on the membership only, so they are ranked again when it changes. The
// zero value is ready for use. It is safe for concurrent use.
type subsetCache struct {
	mu sync.Mutex
	// membership is the one that the subsets were drawn from.
	membership membership.Membership
	// subsets holds the names of each subset in order of rank. A slice is never
	// changed once it is here.
	subsets map[serverKind][]string
	// listed holds the kinds that have a backend server.
	listed []serverKind
}

// kindOf returns the kind that a backend server is of.
func kindOf(h membership.Host) serverKind {
	if h.Model != "" {
		return serverKind{model: h.Model}
	}
	return serverKind{service: h.Service}
}

// subset returns the names of the backend servers of a kind that the entry host
// routes to.
func (b *Balancer) subset(snapshot *membership.Snapshot, of serverKind) []string {
	w := &b.cache
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(snapshot)
	names, known := w.subsets[of]
	if !known {
		names = b.rank(snapshot, of)
		w.subsets[of] = names
	}
	return names
}

// refresh forgets what another membership has brought. The caller holds the
// mutex.
func (w *subsetCache) refresh(snapshot *membership.Snapshot) {
	if w.subsets != nil && w.membership == snapshot.Membership() {
		return
	}
	w.membership = snapshot.Membership()
	w.subsets = make(map[serverKind][]string)
	w.listed = listedKinds(snapshot)
}

// rank draws the subset of a kind. A kind without a backend server has none.
func (b *Balancer) rank(snapshot *membership.Snapshot, of serverKind) []string {
	listed := snapshot.Service(of.service)
	if of.model != "" {
		listed = snapshot.Model(of.model)
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

// Watched returns the backend servers of all kinds that the entry host routes
// to.
func (b *Balancer) Watched() []membership.Member {
	snapshot := b.Members.Snapshot()
	var watched []membership.Member
	for _, of := range b.cache.kinds(snapshot) {
		for _, name := range b.subset(snapshot, of) {
			if m, found := snapshot.Find(name); found {
				watched = append(watched, m)
			}
		}
	}
	return watched
}

// kinds returns the kinds that have a backend server.
func (w *subsetCache) kinds(snapshot *membership.Snapshot) []serverKind {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refresh(snapshot)
	return w.listed
}

func listedKinds(snapshot *membership.Snapshot) []serverKind {
	seen := make(map[serverKind]bool)
	var listed []serverKind
	for m := range snapshot.All() {
		of := kindOf(m.Host)
		if m.Host.Role != membership.RoleBackend || seen[of] {
			continue
		}
		seen[of] = true
		listed = append(listed, of)
	}
	return listed
}

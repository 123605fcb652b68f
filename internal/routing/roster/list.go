package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retiredGrace is how long the incarnations of a dropped member are kept.
	retiredGrace = time.Hour
	// maxRetired bounds the dropped members kept.
	maxRetired = 4096
)

// retiredMember is a member that was dropped.
type retiredMember struct {
	member Member
	// forgetAt is the time at which the member is forgotten for good.
	forgetAt time.Time
}

// ApplyList takes an answer of the platform's list. Members are dropped here
// only, when a list does not name them and their DropAt has passed, so a list
// that is silent drops nobody. A list without a valid host is ignored.
func (r *Roster) ApplyList(hosts []Host, now time.Time) error {
	listed := validHosts(hosts)
	if len(listed) == 0 {
		return ErrEmptyList
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetRetired(now)
	next := r.keepUnlisted(listed, now)
	for _, h := range listed {
		m := r.known(h.Name).WithHost(h)
		next = append(next, &m)
	}
	slices.SortFunc(next, func(a, b *Member) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	r.members = next
	r.index = newIndex(next)
	r.snapshot.Store(nil)
	return nil
}

// keepUnlisted returns the members that the list does not name and that are
// not due to be dropped. Those due are retired.
func (r *Roster) keepUnlisted(listed map[string]Host, now time.Time) []*Member {
	var kept []*Member
	for _, m := range r.members {
		if _, ok := listed[m.Host.Name]; ok {
			continue
		}
		unlisted := m.WithoutListing(now)
		if now.Before(unlisted.DropAt) {
			kept = append(kept, &unlisted)
			continue
		}
		r.retire(unlisted, now)
	}
	return kept
}

// known returns the member of a name, one dropped lately included, or a new
// one.
func (r *Roster) known(name string) Member {
	if i, err := r.find(name); err == nil {
		return *r.members[i]
	}
	if dropped, ok := r.retired[name]; ok {
		delete(r.retired, name)
		return dropped.member
	}
	return Member{}
}

func (r *Roster) retire(m Member, now time.Time) {
	if r.retired == nil {
		r.retired = make(map[string]retiredMember)
	}
	if len(r.retired) >= maxRetired {
		r.forgetOldest()
	}
	r.retired[m.Host.Name] = retiredMember{member: m, forgetAt: now.Add(retiredGrace)}
}

func (r *Roster) forgetRetired(now time.Time) {
	for name, dropped := range r.retired {
		if !now.Before(dropped.forgetAt) {
			delete(r.retired, name)
		}
	}
}

// forgetOldest makes room for one dropped member.
func (r *Roster) forgetOldest() {
	var oldest string
	var oldestAt time.Time
	for name, dropped := range r.retired {
		if oldest == "" || dropped.forgetAt.Before(oldestAt) {
			oldest, oldestAt = name, dropped.forgetAt
		}
	}
	delete(r.retired, oldest)
}

// validHosts indexes the hosts that have a name and an address.
func validHosts(hosts []Host) map[string]Host {
	valid := make(map[string]Host, len(hosts))
	for _, h := range hosts {
		if h.Name != "" && h.PeerAddress != "" {
			valid[h.Name] = h
		}
	}
	return valid
}

package membership

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
func (t *Table) ApplyList(hosts []Host, now time.Time) error {
	listed := validHosts(hosts)
	if len(listed) == 0 {
		return ErrEmptyList
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetRetired(now)
	next := t.keepUnlisted(listed, now)
	for _, h := range listed {
		m := t.memberFor(h.Name).WithHost(h)
		next = append(next, &m)
	}
	slices.SortFunc(next, func(a, b *Member) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	t.members = next
	t.index = newIndex(next)
	t.snapshot.Store(nil)
	return nil
}

// keepUnlisted returns the members that the list does not name and that are
// not due to be dropped. Those due are retired.
func (t *Table) keepUnlisted(listed map[string]Host, now time.Time) []*Member {
	var kept []*Member
	for _, m := range t.members {
		if _, ok := listed[m.Host.Name]; ok {
			continue
		}
		unlisted := m.WithoutListing(now)
		if now.Before(unlisted.DropAt) {
			kept = append(kept, &unlisted)
			continue
		}
		t.retire(unlisted, now)
	}
	return kept
}

// memberFor returns the member of a name, one dropped lately included, or a new
// one.
func (t *Table) memberFor(name string) Member {
	if i, err := t.find(name); err == nil {
		return *t.members[i]
	}
	if dropped, ok := t.retired[name]; ok {
		delete(t.retired, name)
		return dropped.member
	}
	return Member{}
}

func (t *Table) retire(m Member, now time.Time) {
	if t.retired == nil {
		t.retired = make(map[string]retiredMember)
	}
	if len(t.retired) >= maxRetired {
		t.forgetOldest()
	}
	t.retired[m.Host.Name] = retiredMember{member: m, forgetAt: now.Add(retiredGrace)}
}

func (t *Table) forgetRetired(now time.Time) {
	for name, dropped := range t.retired {
		if !now.Before(dropped.forgetAt) {
			delete(t.retired, name)
		}
	}
}

// forgetOldest makes room for one dropped member.
func (t *Table) forgetOldest() {
	var oldest string
	var oldestAt time.Time
	for name, dropped := range t.retired {
		if oldest == "" || dropped.forgetAt.Before(oldestAt) {
			oldest, oldestAt = name, dropped.forgetAt
		}
	}
	delete(t.retired, oldest)
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

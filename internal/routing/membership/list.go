package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retiredGrace is the time for which the incarnations of a dropped member are
	// kept.
	retiredGrace = time.Hour
	// maxRetired is the maximum number of dropped members kept.
	maxRetired = 4096
)

// retiredMember is a member that was dropped from the table.
type retiredMember struct {
	member Member
	// forgetAt is the time at which the member is deleted for good.
	forgetAt time.Time
}

// ApplyList merges the platform's host list into the table. A member is dropped
// only here, if the list does not name it and its DropAt has passed. While the
// host list cannot be read, no member is dropped. A list without a valid host
// returns ErrEmptyList and changes nothing.
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

// keepUnlisted returns the members that the list does not name and whose DropAt
// has not passed. It retires the others that the list does not name.
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

// memberFor returns the member with the given name, which may be a retired one, or
// a new member.
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

// retire keeps a dropped member for retiredGrace. The caller holds mu.
func (t *Table) retire(m Member, now time.Time) {
	if t.retired == nil {
		t.retired = make(map[string]retiredMember)
	}
	if len(t.retired) >= maxRetired {
		t.forgetOldest()
	}
	t.retired[m.Host.Name] = retiredMember{member: m, forgetAt: now.Add(retiredGrace)}
}

// forgetRetired deletes the retired members whose grace period has ended. The
// caller holds mu.
func (t *Table) forgetRetired(now time.Time) {
	for name, dropped := range t.retired {
		if !now.Before(dropped.forgetAt) {
			delete(t.retired, name)
		}
	}
}

// forgetOldest deletes the member that was retired first, to free a slot for
// another one. The caller holds mu.
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

// validHosts returns the hosts that have a name and an address, by name.
func validHosts(hosts []Host) map[string]Host {
	valid := make(map[string]Host, len(hosts))
	for _, h := range hosts {
		if h.Name != "" && h.PeerAddress != "" {
			valid[h.Name] = h
		}
	}
	return valid
}

// Package discovery keeps the list of backend servers, as one immutable value
// that follows the platform's entries. It has no I/O and reads no clock.
package discovery

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// State says whether a backend server takes new work.
type State int

// States of a backend server.
const (
	// Ready servers take new work.
	Ready State = iota + 1
	// Draining servers finish what they have.
	Draining
)

// BackendServer is one entry of the list.
type BackendServer struct {
	ID string
	// BornUnixMillis is the start of this incarnation. Two entries with one ID
	// and different starts are different incarnations.
	BornUnixMillis int64
	Service        string
	// Address is host and port.
	Address string
	Zone    string
	Slots   int
	State   State
	// WarmAt is the moment from which the server works at full speed.
	WarmAt boottime.Instant
}

// renewalMillis is the time after an outage of the store in which entries that
// lapsed meanwhile may come back.
const renewalMillis = 2200

// member is a server with what the list knows about its entry.
type member struct {
	server BackendServer
	// expiresAt is zero while the entry stands. Otherwise the entry lapsed
	// during an outage, and the server counts as gone from that moment on.
	expiresAt boottime.Instant
}

// List is the list at one moment. It never changes.
type List struct {
	members map[string]member
}

// Change is one change of the list.
type Change interface{ change() }

// Registered says that an entry was written.
type Registered struct{ Server BackendServer }

// Removed says that an entry was deleted or names no server to use.
type Removed struct{ ID string }

func (Registered) change() {}
func (Removed) change()    {}

// Update is what the list learns in one read of the store.
type Update struct {
	Changes []Change
	// Complete says that the changes are all entries: servers that they do not
	// name have none.
	Complete bool
	ReadAt   boottime.Instant
	// RecoveredAt is the moment at which the store last came back, or zero when
	// it was never away.
	RecoveredAt boottime.Instant
}

// With returns the list after a read of the store.
func (l List) With(e Update) List {
	members := make(map[string]member, len(l.members)+len(e.Changes))
	maps.Copy(members, l.members)
	if e.Complete {
		removeAbsent(members, e)
	}
	for _, c := range e.Changes {
		switch c := c.(type) {
		case Registered:
			members[c.Server.ID] = member{server: c.Server}
		case Removed:
			remove(members, c.ID, e)
		}
	}
	maps.DeleteFunc(members, func(_ string, m member) bool {
		return m.expiresAt != 0 && m.expiresAt.Before(e.ReadAt)
	})
	return List{members: members}
}

// removeAbsent removes the members that a whole list does not name.
func removeAbsent(members map[string]member, e Update) {
	named := make(map[string]bool, len(e.Changes))
	for _, c := range e.Changes {
		if r, ok := c.(Registered); ok {
			named[r.Server.ID] = true
		}
	}
	for id := range members {
		if !named[id] {
			remove(members, id, e)
		}
	}
}

// remove drops a member, or lets it lapse later when its entry may have gone
// only because the store was away.
func remove(members map[string]member, id string, e Update) {
	m, ok := members[id]
	if !ok {
		return
	}
	mayReturnUntil := e.RecoveredAt.AddMillis(renewalMillis)
	if e.RecoveredAt == 0 || !e.ReadAt.Before(mayReturnUntil) || m.server.State == Draining {
		delete(members, id)
		return
	}
	if m.expiresAt == 0 {
		m.expiresAt = mayReturnUntil
		members[id] = m
	}
}

// Ready returns the servers of a service that take new work, in order of ID.
func (l List) Ready(service string, now boottime.Instant) []BackendServer {
	var ready []BackendServer
	for _, m := range l.members {
		if m.server.Service != service || m.server.State != Ready {
			continue
		}
		if m.expiresAt != 0 && m.expiresAt.Before(now) {
			continue
		}
		ready = append(ready, m.server)
	}
	slices.SortFunc(ready, func(a, b BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return ready
}

// All returns every server, in order of ID.
func (l List) All() []BackendServer {
	all := make([]BackendServer, 0, len(l.members))
	for _, m := range l.members {
		all = append(all, m.server)
	}
	slices.SortFunc(all, func(a, b BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Find returns the server with an ID.
func (l List) Find(id string) (BackendServer, bool) {
	m, ok := l.members[id]
	return m.server, ok
}

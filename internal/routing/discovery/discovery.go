// Package discovery holds the discovery list: the backend servers that have an
// entry in the platform's store. The list is an immutable value; each read of the
// store makes a new one. The package does no I/O and reads no clock.
package discovery

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// State says whether a backend server accepts new requests.
type State int

// States of a backend server.
const (
	// Ready servers accept new requests.
	Ready State = iota + 1
	// Draining servers only finish the requests that they have.
	Draining
)

// BackendServer is one entry of the discovery list.
type BackendServer struct {
	ID string
	// BornUnixMillis is the start time of this incarnation. Two entries with the
	// same ID and different start times are different incarnations.
	BornUnixMillis int64
	// Service is the name of the service that the server belongs to.
	Service string
	// Address is host and port.
	Address string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that the server can run at once.
	Slots int
	State State
	// Sequence rises with each entry that the incarnation writes; zero when not known.
	Sequence int64
	// WarmAt is the time from which the server works at full speed.
	WarmAt boottime.Instant
}

// isNotAfter reports whether an entry says nothing newer than another one of the same
// incarnation.
func (s BackendServer) isNotAfter(other BackendServer) bool {
	return s.BornUnixMillis == other.BornUnixMillis && s.Sequence <= other.Sequence
}

// goneMillis is the time for which a server that was removed is remembered, so that an older
// copy of the store does not bring it back.
const goneMillis = 60_000

// renewalMillis is the time that a server has, after an outage of the store, to
// write its entry again if the entry expired during the outage.
const renewalMillis = 2200

// member is a server of the list with the state of its entry.
type member struct {
	server BackendServer
	// expiresAt is zero while the entry exists. Otherwise the entry expired
	// during an outage of the store, and the server stays in the list until this
	// time.
	expiresAt boottime.Instant
}

// List is the discovery list at one time. It is immutable.
type List struct {
	members map[string]member
	// byID holds the members in order of ID.
	byID []member
	// gone holds the servers that were removed lately.
	gone map[string]goneServer
}

// goneServer is a server that was removed.
type goneServer struct {
	server BackendServer
	// forgetAt is the time until which it is remembered.
	forgetAt boottime.Instant
}

// Change is one change of the discovery list.
type Change interface{ change() }

// Registered is a change that adds or replaces an entry.
type Registered struct{ Server BackendServer }

// Removed is a change that deletes an entry, or replaces it by one that does not
// describe a usable server.
type Removed struct{ ID string }

func (Registered) change() {}
func (Removed) change()    {}

// Update is the result of one read of the store; List.With applies it.
type Update struct {
	Changes []Change
	// Complete says that Changes name all entries. A server that they do not
	// name has no entry.
	Complete bool
	// Restored says that Changes come from an older copy of the store. An entry among
	// them may be older than what the list knows of the server.
	Restored bool
	ReadAt   boottime.Instant
	// RecoveredAt is the time at which the store became available after its last
	// outage, or zero when there was no outage.
	RecoveredAt boottime.Instant
}

// With returns the list with the result of a read of the store applied.
func (l List) With(u Update) List {
	members := make(map[string]member, len(l.members)+len(u.Changes))
	maps.Copy(members, l.members)
	if u.Restored {
		u.Changes = l.current(u.Changes)
	}
	if u.Complete {
		removeAbsent(members, u)
	}
	for _, c := range u.Changes {
		switch c := c.(type) {
		case Registered:
			members[c.Server.ID] = member{server: c.Server}
		case Removed:
			remove(members, c.ID, u)
		}
	}
	maps.DeleteFunc(members, func(_ string, m member) bool {
		return m.expiresAt != 0 && m.expiresAt.Before(u.ReadAt)
	})
	return List{members: members, byID: sortByID(members), gone: l.goneAfter(members, u.ReadAt)}
}

// sortByID returns members in order of ID.
func sortByID(members map[string]member) []member {
	return slices.SortedFunc(maps.Values(members), func(a, b member) int {
		return cmp.Compare(a.server.ID, b.server.ID)
	})
}

// current returns the changes from an older copy of the store, without the servers that were
// removed since it was made, and with the newer state of those that drain.
func (l List) current(changes []Change) []Change {
	var all []Change
	for _, c := range changes {
		registered, ok := c.(Registered)
		if !ok {
			all = append(all, c)
			continue
		}
		if gone, ok := l.gone[registered.Server.ID]; ok && registered.Server.isNotAfter(gone.server) {
			continue
		}
		known, ok := l.members[registered.Server.ID]
		if ok && known.server.State == Draining && registered.Server.isNotAfter(known.server) {
			registered.Server = known.server
		}
		all = append(all, registered)
	}
	return all
}

// goneAfter returns the servers that were removed lately, when members are those that stay.
func (l List) goneAfter(members map[string]member, now boottime.Instant) map[string]goneServer {
	gone := make(map[string]goneServer)
	for id, g := range l.gone {
		if _, back := members[id]; !back && now.Before(g.forgetAt) {
			gone[id] = g
		}
	}
	for id, m := range l.members {
		if _, stays := members[id]; !stays {
			gone[id] = goneServer{server: m.server, forgetAt: now.AddMillis(goneMillis)}
		}
	}
	return gone
}

// removeAbsent removes the members that a complete update does not name.
func removeAbsent(members map[string]member, u Update) {
	named := make(map[string]bool, len(u.Changes))
	for _, c := range u.Changes {
		if r, ok := c.(Registered); ok {
			named[r.Server.ID] = true
		}
	}
	for id := range members {
		if !named[id] {
			remove(members, id, u)
		}
	}
}

// remove deletes a member. A ready server whose entry may have expired only
// because of an outage of the store is kept until the time to renew it is over.
func remove(members map[string]member, id string, u Update) {
	m, ok := members[id]
	if !ok {
		return
	}
	renewableUntil := u.RecoveredAt.AddMillis(renewalMillis)
	if u.RecoveredAt == 0 || !u.ReadAt.Before(renewableUntil) || m.server.State == Draining {
		delete(members, id)
		return
	}
	if m.expiresAt == 0 {
		m.expiresAt = renewableUntil
		members[id] = m
	}
}

// EndedBy returns the servers of the list that have ended without notice by a later list: they were
// ready, and have no entry any more, one of another incarnation, or another server has their
// address. Some of them may only leave without notice, and go on serving for a while.
func (l List) EndedBy(later List) []BackendServer {
	owners := make(map[string]string, len(later.members))
	for _, m := range later.byID {
		if _, known := l.members[m.server.ID]; !known {
			owners[m.server.Address] = m.server.ID
		}
	}
	var ended []BackendServer
	for _, m := range l.byID {
		if m.server.State != Ready {
			continue
		}
		now, listed := later.members[m.server.ID]
		owner, taken := owners[m.server.Address]
		reborn := listed && now.server.BornUnixMillis != m.server.BornUnixMillis
		if !listed || reborn || (taken && owner != m.server.ID) {
			ended = append(ended, m.server)
		}
	}
	return ended
}

// Ready returns the servers of a service that accept new requests, in order of ID.
func (l List) Ready(service string, now boottime.Instant) []BackendServer {
	var ready []BackendServer
	for _, m := range l.byID {
		if m.server.Service != service || m.server.State != Ready {
			continue
		}
		if m.expiresAt != 0 && m.expiresAt.Before(now) {
			continue
		}
		ready = append(ready, m.server)
	}
	return ready
}

// All returns every server, in order of ID.
func (l List) All() []BackendServer {
	all := make([]BackendServer, 0, len(l.byID))
	for _, m := range l.byID {
		all = append(all, m.server)
	}
	return all
}

// Gone returns the servers that were removed lately, in no particular order. They may go on
// serving the requests that they have for a while.
func (l List) Gone() []BackendServer {
	gone := make([]BackendServer, 0, len(l.gone))
	for _, g := range l.gone {
		gone = append(gone, g.server)
	}
	return gone
}

// Find returns the server with an ID.
func (l List) Find(id string) (BackendServer, bool) {
	m, ok := l.members[id]
	return m.server, ok
}

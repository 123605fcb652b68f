// Package hostlist is a stand-in for the platform's host list, in which processes
// register their hosts and from which they read those of the others. Server serves the
// list over HTTP, shows changes after a delay, and injects faults.
package hostlist

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
)

// Faults holds the faults that a test injects. They may be switched while the
// host list is in use.
type Faults struct {
	// Down refuses every call with status 503.
	Down atomic.Bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis atomic.Int64
	// Stuck makes the server keep returning the list that it last returned,
	// whatever changes follow.
	Stuck atomic.Bool
	// LoseAnswers is the number of upcoming registrations that take effect but
	// whose connection is dropped before the response.
	LoseAnswers atomic.Int64
}

// change is a registration or a removal of a host.
type change struct {
	at      time.Time
	host    hostlist.Host
	removed bool
}

// Hosts returns the host list as clients see it now.
func (s *Server) Hosts() []hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Faults.Stuck.Load() || s.shown == nil {
		s.shown = s.view()
	}
	return slices.Clone(s.shown)
}

// Put registers a host, as a process would over HTTP.
func (s *Server) Put(host hostlist.Host) {
	s.record(change{at: s.now(), host: host})
}

// Remove removes a host from the list.
func (s *Server) Remove(name string) {
	s.record(change{at: s.now(), host: hostlist.Host{Name: name}, removed: true})
}

func (s *Server) record(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
}

// view applies the changes that are at least LagMillis old to visible and returns
// the hosts in visible, sorted by name; the caller holds mu.
func (s *Server) view() []hostlist.Host {
	if s.visible == nil {
		s.visible = make(map[string]hostlist.Host)
		for _, host := range s.InitialHosts {
			s.visible[host.Name] = host
		}
	}
	newest := s.now().Add(-time.Duration(s.LagMillis) * time.Millisecond)
	for len(s.changes) > 0 && !s.changes[0].at.After(newest) {
		s.apply(s.changes[0])
		s.changes = s.changes[1:]
	}
	hosts := make([]hostlist.Host, 0, len(s.visible))
	for _, host := range s.visible {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// apply applies a change to visible.
func (s *Server) apply(c change) {
	if c.removed {
		delete(s.visible, c.host.Name)
		return
	}
	s.visible[c.host.Name] = c.host
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// valid reports whether a host may be registered under name.
func valid(host hostlist.Host, name string) bool {
	role := host.Role == hostlist.RoleEntry || host.Role == hostlist.RoleBackend
	state := host.State == hostlist.StateLive || host.State == hostlist.StateLeaving
	return host.Name == name && name != "" && role && state
}

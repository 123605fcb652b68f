// Package hostlist stands in for the platform's list of hosts.
package hostlist

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
)

// Faults are switched while the list is in use.
type Faults struct {
	// Down refuses every call.
	Down atomic.Bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis atomic.Int64
	// Stuck keeps showing the list as it was last shown.
	Stuck atomic.Bool
	// LoseAnswers is how many coming registrations take effect while their
	// connection drops.
	LoseAnswers atomic.Int64
}

// change is a registration or a removal.
type change struct {
	at      time.Time
	host    hostlist.Host
	removed bool
}

// Hosts returns the list as it is shown now.
func (s *Server) Hosts() []hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Faults.Stuck.Load() || s.shown == nil {
		s.shown = s.view()
	}
	return slices.Clone(s.shown)
}

// Put registers a host, as a process does over HTTP.
func (s *Server) Put(host hostlist.Host) {
	s.record(change{at: s.now(), host: host})
}

// Remove takes a host off the list.
func (s *Server) Remove(name string) {
	s.record(change{at: s.now(), host: hostlist.Host{Name: name}, removed: true})
}

func (s *Server) record(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
}

// view folds the changes that are old enough to be seen into visible and
// returns its hosts in order of name; the caller holds mu.
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

package membership

import (
	"iter"
	"slices"
)

// Snapshot is the table at one moment. It is immutable.
type Snapshot struct {
	// members holds the members in order of name.
	members []*Member
	index   *index
}

// Membership identifies the set of hosts of a snapshot. Two snapshots with equal
// Memberships hold the same hosts at the same positions.
type Membership struct {
	index *index
}

// Membership returns the membership of the snapshot. It changes with each host
// list that is applied.
func (s *Snapshot) Membership() Membership {
	return Membership{index: s.index}
}

// index holds the positions of members in a snapshot. It is immutable.
type index struct {
	byName    map[string]int
	byModel   map[string][]int
	byService map[string][]int
	entries   []int
}

// Snapshot returns the current state of the table. It costs one atomic read if
// nothing has changed since the last call, otherwise a copy of the member
// pointers.
func (t *Table) Snapshot() *Snapshot {
	if s := t.snapshot.Load(); s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Snapshot{members: slices.Clone(t.members), index: t.index}
	if s.index == nil {
		s.index = &index{}
	}
	t.snapshot.Store(s)
	return s
}

// Find returns the member with the given host name, and false if there is none.
func (s *Snapshot) Find(name string) (Member, bool) {
	i, ok := s.index.byName[name]
	if !ok {
		return Member{}, false
	}
	return *s.members[i], true
}

// Len returns the number of members.
func (s *Snapshot) Len() int {
	return len(s.members)
}

// All yields every member in order of name.
func (s *Snapshot) All() iter.Seq[*Member] {
	return slices.Values(s.members)
}

// Model yields the backend servers whose engine serves the model. The members
// must not be changed.
func (s *Snapshot) Model(model string) iter.Seq[*Member] {
	return s.at(s.index.byModel[model])
}

// Service yields the backend servers that are part of the service. The members must
// not be changed.
func (s *Snapshot) Service(service string) iter.Seq[*Member] {
	return s.at(s.index.byService[service])
}

// EntryHosts yields the entry hosts. The members must not be changed.
func (s *Snapshot) EntryHosts() iter.Seq[*Member] {
	return s.at(s.index.entries)
}

// at yields the members at the given positions.
func (s *Snapshot) at(positions []int) iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for _, i := range positions {
			if !yield(s.members[i]) {
				return
			}
		}
	}
}

func newIndex(members []*Member) *index {
	x := &index{
		byName:    make(map[string]int, len(members)),
		byModel:   make(map[string][]int),
		byService: make(map[string][]int),
	}
	for i, m := range members {
		x.add(i, m.Host)
	}
	return x
}

func (x *index) add(i int, h Host) {
	x.byName[h.Name] = i
	switch h.Role {
	case RoleEntry:
		x.entries = append(x.entries, i)
	case RoleBackend:
		if h.Model != "" {
			x.byModel[h.Model] = append(x.byModel[h.Model], i)
		}
		if h.Service != "" {
			x.byService[h.Service] = append(x.byService[h.Service], i)
		}
	}
}

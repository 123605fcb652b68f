package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
)

const (
	// probeMicros is the interval at which an entry host requests the load of a
	// backend server, in microseconds.
	probeMicros = microsPerSecond
	// avoidMillis is how long an entry host avoids a backend server that did not
	// respond, in milliseconds.
	avoidMillis = 3000
	// region is the region of all entry hosts and backend servers.
	region = "region"
)

// entry is an entry host.
type entry struct {
	zone   string
	random *rand.Rand
	budget retrybudget.Budget
	rules  choice.Rules
	// view holds the cached state of each backend server, by server index.
	view []choice.Candidate
	// prefixes holds the hashes of the prefixes that each backend server caches, by
	// server index.
	prefixes []map[uint64]bool
	// nextServer is the index of the next backend server for round robin.
	nextServer int
}

func newEntry(seed uint64, index int, zone string, servers []*server) *entry {
	e := &entry{
		zone:     zone,
		random:   rand.New(rand.NewPCG(seed, uint64(streamEntry+1000*(index+1)))),
		budget:   retrybudget.Budget{Rules: retrybudget.DefaultRules()},
		rules:    choice.DefaultRules(),
		view:     make([]choice.Candidate, len(servers)),
		prefixes: make([]map[uint64]bool, len(servers)),
	}
	for i, s := range servers {
		e.view[i] = choice.Candidate{Name: s.name, Zone: s.zone, Region: region}
		e.prefixes[i] = map[uint64]bool{}
	}
	e.nextServer = e.random.IntN(len(servers))
	return e
}

// updateLoad stores the current load of a backend server in the view.
func (e *entry) updateLoad(s *server, now int64) {
	v := &e.view[s.index]
	load := s.load()
	v.Running, v.Waiting = load.Running, load.Waiting
	v.MemoryPermille, v.ForecastPermille = load.MemoryPermille, load.ForecastPermille
	v.MeasuredAt = timeAt(now)
	v.SentSince = 0
}

// choose returns the routing decision of package choice for a call.
func (e *entry) choose(c *call, servers []*server, now int64) choice.Decision {
	hash := c.prefixHash()
	for i := range e.view {
		e.view[i].Refused = c.refused[servers[i]]
		e.view[i].HoldsPrefix = hash != 0 && e.prefixes[i][hash]
	}
	q := choice.Request{
		Zone:         e.zone,
		Region:       region,
		Urgent:       c.class.Urgent,
		PromptTokens: c.class.PromptTokens,
		PrefixTokens: c.class.PrefixTokens,
	}
	return choice.Choose(q, e.view, e.rules, e.random, timeAt(now))
}

// avoid excludes a backend server from routing until a time.
func (e *entry) avoid(s *server, until time.Time) {
	e.view[s.index].RefusingUntil = until
}

// serverName returns the name of the backend server with an index.
func serverName(index int) string {
	return fmt.Sprint("server ", index)
}

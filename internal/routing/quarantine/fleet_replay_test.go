package quarantine

import "testing"

// replayed is a fleet of simulated hosts and servers in virtual time.
type replayed interface {
	run(endMillis int64, perSecond float64, pick func() []string)
	restart()
	crash(*simEngine)
	// state returns the fleet with what its hosts have done.
	state() *fleet
}

// createFleet creates the fleet of a replay.
type createFleet func(seed uint64, hosts, servers int) replayed

// plainFleet creates a fleet whose servers crash under requests.
func plainFleet(seed uint64, hosts, servers int) replayed { return newFleet(seed, hosts, servers) }

// answeringFleet creates a fleet whose servers crash after their answers.
func answeringFleet(seed uint64, hosts, servers int) replayed {
	return newAnswerFleet(seed, hosts, servers)
}

func (f *fleet) state() *fleet { return f }

// badCallCase is a replay of one call, repeated word for word, that crashes the servers of a plain
// service, among polls and calls that come once.
type badCallCase struct {
	name           string
	hosts, servers int
	perSecond      float64
	badShare       float64
	restartMillis  int64
	seedShare      uint64
}

var badCallCases = []badCallCase{
	{"few servers", 5, 4, 40, 0.05, 0, 1},
	{"often, hosts just started", 5, 4, 40, 0.3, 0, 1},
	{"seldom", 5, 4, 40, 0.01, 0, 1},
	{"hosts restart", 5, 4, 40, 0.05, 8000, 1},
	{"large", 100, 12, 200, 0.02, 0, 10},
}

// run plays the case with each seed. The bad call is kept away, and sound calls are served.
func (c badCallCase) run(t *testing.T, create createFleet) {
	const fromMillis, endMillis = 3000, 60_000
	for seed := range max(*seeds/c.seedShare, 1) {
		r := create(seed, c.hosts, c.servers)
		f, bad := r.state(), badCallTrait()
		f.bad = func(trait string, millis int64) bool { return trait == bad && millis >= fromMillis }
		r.run(fromMillis, c.perSecond, f.callsOf(0))
		if c.restartMillis > 0 {
			r.run(c.restartMillis, c.perSecond, f.callsOf(c.badShare))
			r.restart()
		}
		r.run(endMillis, c.perSecond, f.callsOf(c.badShare))
		if sent := f.sentAfterSettled(callSettledCount); sent > maxSent {
			t.Errorf("seed %d: bad call sent %d times after it must be known, allowed %d; %d crashes",
				seed, sent, maxSent, len(f.crashMillis))
		}
		served, refused := countIn(f.served, 20_000, endMillis), countIn(f.refused, 20_000, endMillis)
		if refused*20 > served {
			t.Errorf("seed %d: %d sound calls refused, %d served", seed, refused, served)
		}
	}
}

// crashCase is a replay of servers that crash for other reasons than requests: count of them at a time,
// every everyMillis.
type crashCase struct {
	name           string
	hosts, servers int
	perSecond      float64
	everyMillis    int64
	count          int
	// restart says that all hosts restart before each crash.
	restart   bool
	seedShare uint64
}

// pollCrashCases crash the servers of a plain service.
var pollCrashCases = []crashCase{
	{"one after the other", 5, 4, 40, 900, 1, false, 1},
	{"all at once", 5, 4, 40, 5000, 4, false, 1},
	{"all at once, few calls", 5, 4, 5, 5000, 4, false, 1},
	{"one after the other, few calls", 5, 4, 2, 900, 1, false, 1},
	{"all at once, hosts restart each time", 5, 4, 40, 5000, 4, true, 1},
	{"all at once, each host sees few calls", 100, 12, 60, 8000, 12, false, 10},
}

// partCrashCases crash engines.
var partCrashCases = []crashCase{
	{"two of twelve now and then", 5, 12, 8, 3300, 2, false, 1},
	{"many at once", 100, 115, 150, 5000, 17, false, 10},
	{"all at once", 5, 12, 8, 10_000, 12, false, 1},
	{"one after the other", 5, 12, 8, 400, 1, false, 1},
}

// runPolls plays the case with each seed, under polls and calls that come once, which are served.
func (c crashCase) runPolls(t *testing.T, create createFleet) {
	const beforeMillis, endMillis = 12_000, 50_000
	for seed := range max(*seeds/c.seedShare, 1) {
		r := create(seed, c.hosts, c.servers)
		f := r.state()
		c.replay(r, beforeMillis, endMillis, f.callsOf)
		if len(f.refused)*50 > len(f.served) {
			t.Errorf("seed %d: %d sound calls refused, %d served", seed, len(f.refused), len(f.served))
		}
		if len(f.waited)*2 > len(f.served) {
			t.Errorf("seed %d: %d sound calls told to wait, %d served", seed, len(f.waited), len(f.served))
		}
	}
}

// runParts plays the case with each seed, under requests of parts in use, which are served.
func (c crashCase) runParts(t *testing.T, create createFleet) {
	const beforeMillis, endMillis = 3000, 40_000
	for seed := range max(*seeds/c.seedShare, 1) {
		r := create(seed, c.hosts, c.servers)
		f := r.state()
		c.replay(r, beforeMillis, endMillis, func(badShare float64) func() []string { return f.mixed(badShare) })
		if len(f.refused)*50 > len(f.served) {
			t.Errorf("seed %d: %d sound requests refused, %d served", seed, len(f.refused), len(f.served))
		}
	}
}

// replay runs a fleet without crashes until beforeMillis, and with them until endMillis. The argument
// requests returns a choice of requests with a share of bad ones.
func (c crashCase) replay(r replayed, beforeMillis, endMillis int64, requests func(badShare float64) func() []string) {
	f := r.state()
	r.run(beforeMillis, c.perSecond, requests(0))
	for f.nowMillis < endMillis {
		if c.restart {
			r.restart()
			r.run(f.nowMillis+200, c.perSecond, requests(0))
		}
		for _, n := range f.random.Perm(len(f.engines))[:c.count] {
			r.crash(f.engines[n])
		}
		r.run(f.nowMillis+c.everyMillis, c.perSecond, requests(0))
	}
}

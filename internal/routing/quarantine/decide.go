package quarantine

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// minServers and minRequests are the numbers of servers that crashed, and of requests
	// under which they did, from which a trait is quarantined. One request that is unlucky
	// several times is no proof.
	minServers  = 3
	minRequests = 2
	// minSoundServers and minSoundRequests are the same for a trait that was in use before.
	minSoundServers  = 6
	minSoundRequests = 4
	// minSoundMillis is the time over which the crashes were spread under a trait that was in use:
	// when many servers crash at once, what is in use is on all of them.
	minSoundMillis = 250
	// minUnsureMillis is the same by the times at which this host knew of the crashes, as times of
	// day of several hosts differ, for traits other than parts of prompts; also if no host can
	// say whether the trait was in use, as all have started lately.
	minUnsureMillis = 1500
	// minSuspectServers is the number of crashed servers from which a trait is suspected.
	minSuspectServers = 2
	// similarShare is the share of the most crashes that a trait must explain to be preferred
	// to a more general one.
	similarShare = 0.75
)

// verdicts are the decisions that follow from evidence. They are never changed.
type verdicts struct {
	// quarantined holds the traits with which requests are refused.
	quarantined map[string]bool
	// suspected holds the traits with which a request that crashed a server is not sent to
	// another one. It includes the quarantined ones.
	suspected map[string]bool
	// probed holds the traits that would be quarantined if some host could tell whether they
	// were in use. One request at a time finds out.
	probed map[string]bool
}

// candidate is a trait with all crashes that it may explain.
type candidate struct {
	trait   string
	depth   int
	crashes []ProofCrash
	// knownAt are the times at which this host first knew of the crashes, in the same order; zero
	// for those that only the proof holds.
	knownAt []boottime.Instant
	// hasProof says that a host has proven the trait.
	hasProof bool
	// inUse says that requests with the trait were answered lately on some host.
	inUse bool
	// numbers are the numbers of the crashed servers, in the order of crashes.
	numbers []int

	// The rest follows from the crashes that no other trait explains.

	servers, requests int
	// sureServers, sureRequests, sureOldest and sureNewest are those of crashes that some host was sure
	// about.
	sureServers, sureRequests int
	sureOldest, sureNewest    int64
	sound                     bool
	// sure says that some host could tell whether the trait was in use.
	sure           bool
	oldest, newest int64
	// firstKnown and lastKnown are the ends of knownAt.
	firstKnown, lastKnown boottime.Instant
	isProven              bool
}

// count counts the crashes that are not explained; explained holds the numbers of servers.
func (c *candidate) count(explained []bool) {
	c.servers, c.requests, c.sound, c.sure = 0, 0, c.inUse, false
	c.firstKnown, c.lastKnown = 0, 0
	c.sureServers, c.sureOldest, c.sureNewest = 0, 0, 0
	requests, sureRequests := make([]string, 0, maxRequests), make([]string, 0, maxRequests)
	for n, crash := range c.crashes {
		if explained[c.numbers[n]] {
			continue
		}
		if c.servers == 0 {
			c.oldest, c.newest = crash.AtUnixMillis, crash.AtUnixMillis
		}
		c.servers++
		c.sound = c.sound || crash.Sound
		c.sure = c.sure || !crash.Unsure
		c.oldest = min(c.oldest, crash.AtUnixMillis)
		c.newest = max(c.newest, crash.AtUnixMillis)
		c.noteKnown(c.knownAt[n])
		requests = addRequests(requests, crash.Requests)
		if !crash.Unsure {
			if c.sureServers == 0 {
				c.sureOldest, c.sureNewest = crash.AtUnixMillis, crash.AtUnixMillis
			}
			c.sureServers++
			c.sureOldest = min(c.sureOldest, crash.AtUnixMillis)
			c.sureNewest = max(c.sureNewest, crash.AtUnixMillis)
			sureRequests = addRequests(sureRequests, crash.Requests)
		}
	}
	c.requests, c.sureRequests = len(requests), len(sureRequests)
	c.isProven = c.proven()
}

// noteKnown takes the time at which this host knew of a crash into account.
func (c *candidate) noteKnown(at boottime.Instant) {
	if at == 0 {
		return
	}
	if c.firstKnown == 0 || at.Before(c.firstKnown) {
		c.firstKnown = at
	}
	c.lastKnown = max(c.lastKnown, at)
}

// addRequests adds request IDs until there are maxRequests.
func addRequests(requests, more []string) []string {
	for _, request := range more {
		if len(requests) >= maxRequests {
			break
		}
		if !slices.Contains(requests, request) {
			requests = append(requests, request)
		}
	}
	return requests
}

// proven reports whether the evidence is enough to quarantine the trait.
func (c *candidate) proven() bool {
	return c.strong() && !c.unsure()
}

// strong reports whether there are enough crashes and requests. Under a trait in use only the crashes
// of which some host was sure count, as an answered call in use precedes a crash for another reason.
// Parts of prompts count all of them, as answered requests are left out of the evidence against a part
// that its host knows to be in use, or cannot know about.
func (c *candidate) strong() bool {
	if c.sound {
		servers, requests, spreadMillis := c.sureServers, c.sureRequests, c.sureNewest-c.sureOldest
		if isPromptPart(c.trait) {
			servers, requests, spreadMillis = c.servers, c.requests, c.newest-c.oldest
		}
		return servers >= minSoundServers && requests >= minSoundRequests && spreadMillis >= minSoundMillis
	}
	return c.servers >= minServers && c.requests >= minRequests
}

// unsure reports whether the crashes may have come at one moment, under a trait that is in use, or
// may be although no host knows of an answer.
func (c *candidate) unsure() bool {
	if c.hasProof || isPromptPart(c.trait) || (c.sure && !c.sound) {
		return false
	}
	return c.lastKnown.MillisSince(c.firstKnown) < minUnsureMillis
}

// probed reports whether a request with the trait has to find out, as there are enough crashes but no
// host can say whether the trait was in use.
func (c *candidate) probed() bool {
	return !c.sound && c.strong() && c.unsure()
}

// suspected reports whether requests with the trait are not sent again after a crash. Requests
// that have only their target or their account in common are too many for that.
func (c *candidate) suspected() bool {
	return !c.sound && c.servers >= minSuspectServers && !c.isGeneral()
}

// isGeneral reports whether the trait is a target or an account, which most requests share with others.
func (c *candidate) isGeneral() bool {
	kind, _, _ := strings.Cut(c.trait, kindSeparator)
	return kind == kindTarget || kind == kindAccount
}

// decide returns the verdicts. It answers this load: requests with one trait in common come at
// any host and crash the servers that begin to run them, while other requests share the traits
// around it. Each crash has one cause, but several suspects: the other traits of the same
// request, and the requests that waited on the same server. So the trait that explains the most
// crashes is found first, and these crashes count against no other trait. Traits that nearly all
// requests have explain as many; of similar traits, the least general one is preferred, as fewer
// requests have it.
func decide(candidates []*candidate) verdicts {
	v := verdicts{quarantined: make(map[string]bool), suspected: make(map[string]bool), probed: make(map[string]bool)}
	byServer := numberServers(candidates)
	explained := make([]bool, len(byServer))
	for _, c := range candidates {
		c.count(explained)
	}
	provable := inOrder(candidates)
	for {
		worst := worstOf(provable)
		if worst == nil {
			break
		}
		v.quarantined[worst.trait] = true
		v.suspected[worst.trait] = true
		explain(worst, explained, byServer)
	}
	for _, c := range candidates {
		if c.suspected() {
			v.suspected[c.trait] = true
		}
	}
	v.probed = probedOf(candidates, explained)
	return v
}

// probedOf returns the traits that are probed. An account or a target is not if other probed traits of the
// same requests explain its crashes: sound requests that share no more than that would wait, too.
func probedOf(candidates []*candidate, explained []bool) map[string]bool {
	probed := make(map[string]bool)
	var general, special []*candidate
	for _, c := range candidates {
		switch {
		case !c.probed():
		case c.isGeneral():
			general = append(general, c)
		default:
			special = append(special, c)
			probed[c.trait] = true
		}
	}
	for _, c := range general {
		left := slices.Clone(explained)
		for _, s := range special {
			c.explainBy(s, left)
		}
		c.count(left)
		if c.probed() {
			probed[c.trait] = true
		}
	}
	return probed
}

// explainBy marks the crashes of the candidate that another one explains with some of the same requests.
func (c *candidate) explainBy(other *candidate, explained []bool) {
	for n, number := range c.numbers {
		if at := slices.Index(other.numbers, number); at >= 0 && intersect(c.crashes[n].Requests, other.crashes[at].Requests) {
			explained[number] = true
		}
	}
}

func intersect(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

// numberServers gives each crashed server a number, and returns the candidates of each.
func numberServers(candidates []*candidate) [][]*candidate {
	var byServer [][]*candidate
	numbers := make(map[string]int)
	for _, c := range candidates {
		c.numbers = make([]int, len(c.crashes))
		for n, crash := range c.crashes {
			number, known := numbers[crash.Server]
			if !known {
				number = len(byServer)
				numbers[crash.Server] = number
				byServer = append(byServer, nil)
			}
			c.numbers[n] = number
			byServer[number] = append(byServer[number], c)
		}
	}
	return byServer
}

// explain marks the crashes of a candidate as explained and counts those of the others anew.
func explain(worst *candidate, explained []bool, byServer [][]*candidate) {
	touched := make(map[*candidate]bool)
	for _, number := range worst.numbers {
		if explained[number] {
			continue
		}
		explained[number] = true
		for _, c := range byServer[number] {
			touched[c] = true
		}
	}
	for c := range touched {
		c.count(explained)
	}
}

// inOrder returns the candidates that explain enough crashes to be proven, the least general ones
// first.
func inOrder(candidates []*candidate) []*candidate {
	provable := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.servers < minServers })
	slices.SortFunc(provable, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(a.trait, b.trait))
	})
	return provable
}

// worstOf returns the candidate to quarantine next, or nil when none has enough evidence. One
// that was in use before comes after all others. The candidates are in order.
func worstOf(candidates []*candidate) *candidate {
	most, sound := 0, true
	for _, c := range candidates {
		switch {
		case !c.isProven || (c.sound && !sound):
		case sound && !c.sound:
			most, sound = c.servers, false
		default:
			most = max(most, c.servers)
		}
	}
	var worst *candidate
	for _, c := range candidates {
		if worst != nil && c.depth < worst.depth {
			break
		}
		similar := c.isProven && c.sound == sound && float64(c.servers) >= similarShare*float64(most)
		if similar && (worst == nil || c.servers > worst.servers) {
			worst = c
		}
	}
	return worst
}

// newProof returns a proof that consists of the crashes of a candidate.
func newProof(c *candidate) Proof {
	crashes := slices.Clone(c.crashes)
	slices.SortFunc(crashes, func(a, b ProofCrash) int {
		return cmp.Or(cmp.Compare(a.AtUnixMillis, b.AtUnixMillis), cmp.Compare(a.Server, b.Server))
	})
	if len(crashes) > maxProofCrashes {
		crashes = append(crashes[:1:1], crashes[len(crashes)-maxProofCrashes+1:]...)
	}
	return Proof{Trait: c.trait, Depth: c.depth, Crashes: crashes}
}

package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// maxReports is the number of slots in which reports are recorded.
	maxReports = 512
	// probedSlots is the number of slots of which a report takes the free or oldest one.
	probedSlots = 8
	// maxIndexed bounds the traits of all reports together.
	maxIndexed = 16_384
)

// evidence is a suspect of a report.
type evidence struct {
	report *Report
	// index is the place of the suspect in the report.
	index int
}

func (e evidence) suspect() Suspect { return e.report.Suspects[e.index] }

// ownReport is a report of this host, to which further losses are added.
type ownReport struct {
	*Report
	// places holds the places of the suspects, by trait.
	places map[string]int
	// answeredOnly holds the places of the suspects all of whose requests were answered.
	answeredOnly map[int]bool
}

// reportIndex holds reports, by the slots in which they are recorded and by their traits. Its zero
// value is empty.
type reportIndex struct {
	bySlot map[int]*Report
	// own holds the reports of this host, by server.
	own     map[string]ownReport
	byTrait map[string][]evidence
	// repeated holds the traits in several reports. Only they can be suspected.
	repeated map[string]bool
	// indexed is the number of entries in byTrait.
	indexed int
	// changed says that the evidence has changed in a way that may change a decision.
	changed bool
	// evicted holds the keys of reports that were dropped for lack of room.
	evicted []string
}

// addCrash adds the losses of a crash that this host saw to its report. Use reports whether a trait
// counts as sound, or whether this host is unsure, and counts whether a crash at a time of day counts against it.
func (x *reportIndex) addCrash(c Crash, host uint64, now boottime.Instant, use func(trait string) (sound, unsure bool), counts func(trait string, atUnixMillis int64) bool) {
	r, held := x.own[c.Server]
	if !held {
		r = ownReport{
			Report: &Report{Slot: x.freeSlot(c.Server, host), Server: c.Server, AtUnixMillis: c.AtUnixMillis, knownAt: now},
			places: make(map[string]int), answeredOnly: make(map[int]bool),
		}
		x.put(r.Report, counts)
		if x.own == nil {
			x.own = make(map[string]ownReport)
		}
		x.own[c.Server] = r
	}
	for _, loss := range c.Losses {
		x.addLoss(r, loss, use, counts)
	}
	x.evict(r.Slot)
}

// addLoss adds a request to a report of this host.
func (x *reportIndex) addLoss(r ownReport, loss Loss, use func(trait string) (sound, unsure bool), counts func(trait string, atUnixMillis int64) bool) {
	request := shortened(loss.Request)
	for n, trait := range loss.Traits {
		place, known := r.places[trait]
		if !known && len(r.Suspects) >= maxReportSuspects {
			continue
		}
		sound, unsure := use(trait)
		if loss.Answered && (sound || (unsure && isPromptPart(trait))) {
			// When servers crash at one moment, answers of what is in use precede it on all of them.
			continue
		}
		switch {
		case !known:
			place = len(r.Suspects)
			r.places[trait] = place
			r.answeredOnly[place] = loss.Answered
			// A host of a large fleet may not know that a trait is in use.
			unsure = unsure || loss.Answered
			r.Suspects = append(r.Suspects, Suspect{Trait: trait, Depth: depthOf(loss.Traits, n), Sound: sound, Unsure: unsure})
			x.index(r.Report, place, counts)
		case r.answeredOnly[place] && !loss.Answered:
			r.answeredOnly[place] = false
			r.Suspects[place].Sound, r.Suspects[place].Unsure = sound, unsure
			x.changed = x.changed || x.repeated[trait]
		}
		if x.addRequest(r.Report, place, request) && x.repeated[trait] {
			x.changed = true
		}
	}
}

// addRequest adds a request ID to a suspect, and reports whether it was not there. The slice is
// replaced, as copies of the report share it.
func (x *reportIndex) addRequest(r *Report, place int, request string) bool {
	before := r.Suspects[place].Requests
	if len(before) >= maxRequests || slices.Contains(before, request) {
		return false
	}
	r.Suspects[place].Requests = append(slices.Clone(before), request)
	return true
}

// takeChanged reports whether the evidence has changed, and forgets it.
func (x *reportIndex) takeChanged() bool {
	changed := x.changed
	x.changed = false
	return changed
}

// ownReport returns a copy of the report of this host on a server.
func (x *reportIndex) ownReport(server string) (Report, bool) {
	r, held := x.own[server]
	if !held {
		return Report{}, false
	}
	copied := *r.Report
	copied.Suspects = slices.Clone(copied.Suspects)
	return copied, true
}

// ownReports returns copies of all reports of this host.
func (x *reportIndex) ownReports() []Report {
	var all []Report
	for server := range x.own {
		if r, held := x.ownReport(server); held {
			all = append(all, r)
		}
	}
	return all
}

// sawCrash reports whether this host has reported the crash of a server.
func (x *reportIndex) sawCrash(server string) bool {
	_, saw := x.own[server]
	return saw
}

// freeSlot returns the slot for a new report. Hosts that report the same crash at the same time
// begin to look at different slots.
func (x *reportIndex) freeSlot(server string, host uint64) int {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte(server), host))
	first := int(hash.Sum64() % maxReports)
	best := first
	for n := range probedSlots {
		slot := (first + n) % maxReports
		held, taken := x.bySlot[slot]
		if !taken {
			return slot
		}
		if held.AtUnixMillis < x.bySlot[best].AtUnixMillis {
			best = slot
		}
	}
	return best
}

// replace stores a report that was read in place of the one in its slot.
func (x *reportIndex) replace(r Report, now boottime.Instant, counts func(trait string, atUnixMillis int64) bool) {
	held, taken := x.bySlot[r.Slot]
	if taken && held.contains(r) {
		return
	}
	r.knownAt = now
	if taken && held.Server == r.Server {
		r.knownAt = held.knownAt
	}
	x.put(&r, counts)
	x.evict(r.Slot)
}

// put stores a report in place of the one in its slot.
func (x *reportIndex) put(r *Report, counts func(trait string, atUnixMillis int64) bool) {
	if held, taken := x.bySlot[r.Slot]; taken {
		x.remove(held)
	}
	if x.bySlot == nil {
		x.bySlot = make(map[int]*Report)
		x.byTrait = make(map[string][]evidence)
		x.repeated = make(map[string]bool)
	}
	x.bySlot[r.Slot] = r
	for place := range r.Suspects {
		x.index(r, place, counts)
	}
}

// index adds a suspect of a report to the evidence against its trait.
func (x *reportIndex) index(r *Report, place int, counts func(trait string, atUnixMillis int64) bool) {
	trait := r.Suspects[place].Trait
	if !counts(trait, r.AtUnixMillis) {
		return
	}
	x.byTrait[trait] = append(x.byTrait[trait], evidence{report: r, index: place})
	x.indexed++
	x.noteRepeated(trait)
	x.changed = x.changed || x.repeated[trait]
}

// evict drops the oldest reports, but not the one in the given slot, while there are too many
// traits.
func (x *reportIndex) evict(keep int) {
	for x.indexed > maxIndexed && len(x.bySlot) > 1 {
		var oldest *Report
		for _, r := range x.bySlot {
			if r.Slot != keep && (oldest == nil || isOlder(r, oldest)) {
				oldest = r
			}
		}
		x.remove(oldest)
		x.evicted = append(x.evicted, reportKey(oldest.Slot))
	}
}

func isOlder(a, b *Report) bool {
	return cmp.Or(cmp.Compare(a.AtUnixMillis, b.AtUnixMillis), cmp.Compare(a.Slot, b.Slot)) < 0
}

// takeEvicted returns the keys of reports that were dropped for lack of room, and forgets them.
func (x *reportIndex) takeEvicted() []string {
	keys := x.evicted
	x.evicted = nil
	return keys
}

// remove drops a report.
func (x *reportIndex) remove(r *Report) {
	delete(x.bySlot, r.Slot)
	if x.own[r.Server].Report == r {
		delete(x.own, r.Server)
	}
	for _, s := range r.Suspects {
		x.drop(s.Trait, func(e evidence) bool { return e.report == r })
	}
}

// clear drops the evidence against a trait up to a time of day.
func (x *reportIndex) clear(trait string, throughUnixMillis int64) {
	x.drop(trait, func(e evidence) bool { return e.report.AtUnixMillis <= throughUnixMillis })
}

// drop drops evidence against a trait.
func (x *reportIndex) drop(trait string, dropped func(evidence) bool) {
	all, found := x.byTrait[trait]
	if !found {
		return
	}
	wasRepeated := x.repeated[trait]
	left := slices.DeleteFunc(all, dropped)
	if len(left) == len(all) {
		return
	}
	x.indexed -= len(all) - len(left)
	x.changed = x.changed || wasRepeated
	if len(left) == 0 {
		delete(x.byTrait, trait)
	} else {
		x.byTrait[trait] = left
	}
	x.noteRepeated(trait)
}

func (x *reportIndex) noteRepeated(trait string) {
	if len(x.byTrait[trait]) >= minSuspectServers {
		x.repeated[trait] = true
	} else {
		delete(x.repeated, trait)
	}
}

// dropOld drops reports that hold no longer.
func (x *reportIndex) dropOld(nowUnixMillis int64) {
	for _, r := range x.bySlot {
		if !holds(r.AtUnixMillis, nowUnixMillis) {
			x.remove(r)
			x.evicted = append(x.evicted, reportKey(r.Slot))
		}
	}
}

// newest returns the time of day of the newest crash against a trait, or false when there is
// none.
func (x *reportIndex) newest(trait string) (int64, bool) {
	newest, found := int64(0), false
	for _, e := range x.byTrait[trait] {
		newest, found = max(newest, e.report.AtUnixMillis), true
	}
	return newest, found
}

// holdsKey reports whether the report of a key is held.
func (x *reportIndex) holdsKey(key string) bool {
	for slot := range x.bySlot {
		if reportKey(slot) == key {
			return true
		}
	}
	return false
}

// candidates returns the traits that may have to be quarantined or suspected: those in several
// reports, and those with a proof.
func (x *reportIndex) candidates(proofs map[string]Proof) []*candidate {
	var all []*candidate
	for trait := range x.repeated {
		if _, proven := proofs[trait]; !proven {
			all = append(all, x.candidate(trait, Proof{}))
		}
	}
	for trait, p := range proofs {
		all = append(all, x.candidate(trait, p))
	}
	return all
}

// candidate collects the crashes that a trait may explain, from the reports and from its proof.
func (x *reportIndex) candidate(trait string, p Proof) *candidate {
	c := &candidate{
		trait: trait, depth: p.Depth, crashes: slices.Clone(p.Crashes),
		knownAt: make([]boottime.Instant, len(p.Crashes)), hasProof: len(p.Crashes) > 0,
	}
	at := make(map[string]int, len(c.crashes))
	for n, crash := range c.crashes {
		at[crash.Server] = n
	}
	for _, e := range x.byTrait[trait] {
		suspect := e.suspect()
		c.depth = max(c.depth, suspect.Depth)
		n, known := at[e.report.Server]
		if !known {
			n = len(c.crashes)
			at[e.report.Server] = n
			c.crashes = append(c.crashes, ProofCrash{Server: e.report.Server, AtUnixMillis: e.report.AtUnixMillis, Unsure: true})
			c.knownAt = append(c.knownAt, e.report.knownAt)
		}
		if c.knownAt[n] == 0 || e.report.knownAt.Before(c.knownAt[n]) {
			c.knownAt[n] = e.report.knownAt
		}
		crash := &c.crashes[n]
		crash.Sound = crash.Sound || suspect.Sound
		crash.Unsure = crash.Unsure && suspect.Unsure
		crash.Requests = addRequests(slices.Clip(crash.Requests), suspect.Requests)
	}
	return c
}

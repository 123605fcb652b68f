package quarantine

import "testing"

const (
	// lateCrashMillis is the time from the answer of a bad request until its server ends.
	lateCrashMillis = 20
	// settledFromMillis and settledToMillis bound the time from an answer until its host knows whether
	// the server has stayed up.
	settledFromMillis = 400
	settledToMillis   = 600
)

// answerFleet is a fleet whose hosts take an answer as sound once its server has stayed up, and whose
// bad requests are answered and crash their servers afterwards.
type answerFleet struct {
	*fleet
	unsettled []unsettledAnswer
	ending    []endingServer
}

// unsettledAnswer is an answer whose server may still crash because of the request.
type unsettledAnswer struct {
	request *simRequest
	answer  Answer
	dueAt   int64
}

// endingServer is an incarnation that crashes soon.
type endingServer struct {
	engine *simEngine
	server string
	at     int64
}

func newAnswerFleet(seed uint64, hosts, engines int) *answerFleet {
	return &answerFleet{fleet: newFleet(seed, hosts, engines)}
}

// run is fleet.run with answers that settle later.
func (f *answerFleet) run(endMillis int64, perSecond float64, pick func() []string) {
	for ; f.nowMillis < endMillis; f.nowMillis += tickMillis {
		f.readRecords()
		f.answerDue()
		f.endServers()
		f.settle()
		if f.random.Float64() < perSecond*tickMillis/1000 {
			f.arrive(pick())
		}
	}
}

func (f *answerFleet) restart() {
	f.fleet.restart()
	f.unsettled = nil
}

// answerDue answers the requests that are due at servers that run; the others are lost by fleet.begin.
func (f *answerFleet) answerDue() {
	var open []*simRequest
	for _, q := range f.open {
		if q.server != q.engine.name() || q.lostAt != 0 || q.beginsAt > f.nowMillis {
			open = append(open, q)
			continue
		}
		dueAt := f.nowMillis + settledFromMillis + f.random.Int64N(settledToMillis-settledFromMillis)
		f.unsettled = append(f.unsettled, unsettledAnswer{q, q.host.table.SnapshotEvidence(q.parts), dueAt})
		if f.isBad(q.parts) {
			f.ending = append(f.ending, endingServer{q.engine, q.server, f.nowMillis + lateCrashMillis})
		} else {
			f.served = append(f.served, f.nowMillis)
		}
	}
	f.open = open
	f.begin()
}

// endServers crashes the servers that answered a bad request.
func (f *answerFleet) endServers() {
	due := f.ending
	f.ending = nil
	for _, e := range due {
		switch {
		case e.at > f.nowMillis:
			f.ending = append(f.ending, e)
		case e.server == e.engine.name():
			f.crash(e.engine)
		}
	}
}

// settle records the answers that are due, by whether their servers still run.
func (f *answerFleet) settle() {
	due := f.unsettled
	f.unsettled = nil
	for _, u := range due {
		now, unix := f.now(u.request.host)
		switch q := u.request; {
		case u.dueAt > f.nowMillis:
			f.unsettled = append(f.unsettled, u)
		case q.server == q.engine.name():
			f.record(q.host.table.RecordSettled(u.answer, now)...)
		default:
			loss := Loss{Request: q.id, Traits: q.parts, Answered: true}
			f.record(q.host.table.RecordCrash(Crash{Server: q.server, Losses: []Loss{loss}, AtUnixMillis: unix}, now)...)
		}
	}
}

// TestAnsweredBadCallKeptAwayByFleet replays one call, repeated word for word, that is answered each
// time and crashes its server afterwards, among polls and calls that come once. It guards against a
// call that its own answers clear.
func TestAnsweredBadCallKeptAwayByFleet(t *testing.T) {
	for _, c := range badCallCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, answeringFleet) })
	}
}

// TestAnsweredBadPartKeptAwayByFleet is the same for a part of prompts that nothing answered before had.
func TestAnsweredBadPartKeptAwayByFleet(t *testing.T) {
	const fromMillis, endMillis, badShare = watchMillis, 70_000, 0.4
	cases := []struct {
		name           string
		hosts, engines int
		perSecond      float64
		first          bool
		seedShare      uint64
	}{
		{"small", 5, 12, 8, false, 1},
		{"one host", 1, 12, 8, false, 1},
		{"large", 100, 115, 60, false, 10},
		{"few engines", 5, 3, 8, false, 1},
		{"first part", 5, 12, 8, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range max(*seeds/c.seedShare, 1) {
				f := newAnswerFleet(seed, c.hosts, c.engines)
				f.bad = func(part string, _ int64) bool { return part == "x" }
				choice := f.mixed
				if c.first {
					choice = f.badFirst
				}
				f.run(fromMillis, c.perSecond, choice(0, "x"))
				f.run(endMillis, c.perSecond, choice(badShare, "x"))
				if sent := f.sentAfterSettled(settledCount); sent > maxSent {
					t.Errorf("seed %d: bad part sent %d times after it must be known, allowed %d; %d crashes",
						seed, sent, maxSent, len(f.crashMillis))
				}
				served, refused := countIn(f.served, 20_000, endMillis), countIn(f.refused, 20_000, endMillis)
				if refused*20 > served {
					t.Errorf("seed %d: %d sound requests refused, %d served", seed, refused, served)
				}
			}
		})
	}
}

// TestAnsweredPollsServedWhileServersCrash replays servers that crash for other reasons, also right
// after answers, under polls and calls that come once. It guards against sound calls that are refused
// as their answers settle late.
func TestAnsweredPollsServedWhileServersCrash(t *testing.T) {
	cases := append([]crashCase{{"one after the other, quickly", 5, 12, 40, 300, 1, false, 1}}, pollCrashCases...)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.runPolls(t, answeringFleet) })
	}
}

// TestAnsweredPartsServedWhileEnginesCrash replays engines that crash for other reasons under requests
// of parts in use. It guards against sound parts that are refused as answers settle late.
func TestAnsweredPartsServedWhileEnginesCrash(t *testing.T) {
	for _, c := range partCrashCases {
		t.Run(c.name, func(t *testing.T) { c.runParts(t, answeringFleet) })
	}
}

// TestCrashAfterAnAnswerCounts guards against an answer that clears crashes which became known while
// its server might still end.
func TestCrashAfterAnAnswerCounts(t *testing.T) {
	crashes := func(table *Table, from int) {
		for n := from; n < from+3; n++ {
			table.RecordCrash(crashOf("e"+string(rune('0'+n)), "r"+string(rune('0'+n)), int64(n), "x"), at(0))
		}
	}
	before, after := &Table{}, &Table{}
	crashes(before, 0)
	answer := before.SnapshotEvidence([]string{"x"})
	if changes := before.RecordSettled(answer, at(1)); len(changes) != 2 || before.QuarantinedTraits() != nil {
		t.Errorf("an answer after the crashes left %v, changes %v", before.QuarantinedTraits(), changes)
	}
	if changes := before.RecordSettled(answer, at(2)); len(changes) != 0 {
		t.Errorf("the same answer is recorded again: %v", changes)
	}
	answer = after.SnapshotEvidence([]string{"x"})
	crashes(after, 0)
	if changes := after.RecordSettled(answer, at(1)); len(changes) != 0 || len(after.QuarantinedTraits()) != 1 {
		t.Errorf("an answer before the crashes left %v, changes %v", after.QuarantinedTraits(), changes)
	}
}

// TestOrderOfLossesDoesNotMatter guards against a crash that counts as unsure, or against what is in use,
// only because the answered request of a trait was noticed before or after the one without an answer.
func TestOrderOfLossesDoesNotMatter(t *testing.T) {
	answered := Loss{Request: "answered", Traits: []string{"call-x"}, Answered: true}
	lost := Loss{Request: "lost", Traits: []string{"call-x"}}
	cases := []struct {
		name          string
		losses        []Loss
		inUse, unsure bool
		requests      int
	}{
		{name: "only answered", losses: []Loss{answered}, unsure: true, requests: 1},
		{name: "answered first", losses: []Loss{answered, lost}, requests: 2},
		{name: "answered last", losses: []Loss{lost, answered}, requests: 2},
		{name: "in use, answered first", losses: []Loss{answered, lost}, inUse: true, requests: 1},
		{name: "in use, answered last", losses: []Loss{lost, answered}, inUse: true, requests: 1},
	}
	for _, c := range cases {
		for _, together := range []bool{true, false} {
			here, there := &Table{Host: 1}, &Table{Host: 2}
			here.watchedSince(at(-watchMillis))
			if c.inUse {
				here.RecordSound([]string{"call-x"}, at(0))
			}
			crashes := []Crash{{Server: "e", Losses: c.losses, AtUnixMillis: epochMillis}}
			if !together {
				crashes = nil
				for _, loss := range c.losses {
					crashes = append(crashes, Crash{Server: "e", Losses: []Loss{loss}, AtUnixMillis: epochMillis})
				}
			}
			for _, crash := range crashes {
				there.Apply(here.RecordCrash(crash, at(1)), at(1), epochMillis)
			}
			for _, table := range []*Table{here, there} {
				found := table.reports.byTrait["call-x"]
				if len(found) != 1 {
					t.Fatalf("%s: host %d holds %d suspects", c.name, table.Host, len(found))
				}
				s := found[0].suspect()
				if s.Sound != c.inUse || s.Unsure != c.unsure || len(s.Requests) != c.requests {
					t.Errorf("%s: host %d, noticed together %v: got %+v", c.name, table.Host, together, s)
				}
			}
		}
	}
}

// TestCrashesAtOnceStayAtOnce guards against a call in use that is refused because servers crash at one
// moment, when an earlier crash of which no host is sure makes them look spread over time.
func TestCrashesAtOnceStayAtOnce(t *testing.T) {
	const lastMillis = 2 * minSoundMillis
	cases := []struct {
		name string
		// firstUnsure says that no host is sure about the first crash, long before the others.
		firstUnsure bool
		want        int
	}{
		{name: "all sure", want: 1},
		{name: "first one unsure", firstUnsure: true},
	}
	for _, c := range cases {
		table := &Table{Host: 1}
		for n := range minSoundServers + 1 {
			millis := int64(lastMillis)
			if n == 0 {
				millis = 0
			}
			name := string(rune('a' + n))
			report := Report{Slot: n, Server: name, AtUnixMillis: epochMillis + millis, Suspects: []Suspect{
				{Trait: "call-x", Sound: n > 0, Unsure: n == 0 && c.firstUnsure, Requests: []string{name}},
			}}
			// The reports come late, one by one, so that the times at which they become known don't matter.
			table.Apply([]Change{report}, at(int64(n)*minUnsureMillis), epochMillis+lastMillis)
		}
		if got := table.QuarantinedTraits(); len(got) != c.want {
			t.Errorf("%s: quarantined %v, want %d traits", c.name, got, c.want)
		}
	}
}

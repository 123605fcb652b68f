package migration

import (
	"testing"

	"github.com/matryer/is"
)

func TestNext(t *testing.T) {
	own := Destination{Address: "own", FreeTokens: 10_000, SpareTokens: 10_000, FreeSlots: 5, SameZone: true}
	far := Destination{Address: "far", FreeTokens: 28_000, SpareTokens: 28_000, FreeSlots: 5}
	contended := Destination{Address: "contended", FreeTokens: 20_000, SpareTokens: 20_000, FreeSlots: 5, SameZone: true, Contended: true}
	long := Run{RequestID: "long", Tokens: 4000, Remaining: 1000}
	cases := []struct {
		name         string
		runs         []Run
		destinations []Destination
		leavesIn     int64
		run, to      string
	}{
		{"own zone before more room", []Run{long}, []Destination{far, own}, 2000, "long", "own"},
		{"another zone before a contended engine", []Run{long}, []Destination{far, contended}, 2000, "long", "far"},
		{"a contended engine when the copy to another zone is late", []Run{long}, []Destination{far, contended}, 400, "long", "contended"},
		{"no room", []Run{long}, []Destination{{Address: "small", FreeTokens: 4100, SpareTokens: 4100, FreeSlots: 1}}, 2000, "", ""},
		{"room for the copy, but not for the rest", []Run{long}, []Destination{{Address: "small", FreeTokens: 9000, SpareTokens: 1900, FreeSlots: 1}}, 2000, "", ""},
		{"room for all of it, but no reserve", []Run{long}, []Destination{{Address: "tight", FreeTokens: 9000, SpareTokens: 5500, FreeSlots: 1}}, 2000, "", ""},
		{"no place", []Run{long}, []Destination{{Address: "full", FreeTokens: 9000, SpareTokens: 9000}}, 2000, "", ""},
		{"no copy in time", []Run{long}, []Destination{own}, 100, "", ""},
		{"ends before its engine", []Run{{RequestID: "short", Tokens: 2000, Remaining: 20}}, []Destination{own}, 2000, "", ""},
		{"not known to end", []Run{{RequestID: "unknown", Tokens: 2000, Remaining: -1}}, []Destination{own}, 2000, "unknown", "own"},
		{"shortest copy first", []Run{long, {RequestID: "small", Tokens: 2000, Remaining: 900}}, []Destination{own}, 2000, "small", "own"},
		{"most to lose for its copy first", []Run{
			{RequestID: "small", Tokens: 2000, Remaining: 900, Worth: 9000},
			{RequestID: "dear", Tokens: 4000, Remaining: 900, Worth: 30_000},
		}, []Destination{own}, 2000, "dear", "own"},
		{"a copy in the zone before a dearer one to another", []Run{
			{RequestID: "wide", Tokens: 12_000, Remaining: 900, Worth: 40_000},
			{RequestID: "near", Tokens: 4000, Remaining: 900, Worth: 9000},
		}, []Destination{own, far}, 2000, "near", "own"},
		{"a link of its own before a contended one", []Run{
			{RequestID: "wide", Tokens: 9000, Remaining: 900, Worth: 22_000},
			{RequestID: "near", Tokens: 4000, Remaining: 900, Worth: 9000},
		}, []Destination{{Address: "own", FreeTokens: 7000, SpareTokens: 7000, FreeSlots: 5, SameZone: true}, contended}, 2000, "near", "own"},
		{"no copy in time over a slow link", []Run{long}, []Destination{
			{Address: "slow", FreeTokens: 10_000, SpareTokens: 10_000, FreeSlots: 5, SameZone: true, CopyTokensPerSecond: 2000},
		}, 2000, "", ""},
		{"a copy in time over a fast link", []Run{long}, []Destination{
			{Address: "fast", FreeTokens: 10_000, SpareTokens: 10_000, FreeSlots: 5, SameZone: true, CopyTokensPerSecond: 60_000},
		}, 100, "long", "fast"},
		{"spread over engines", []Run{long}, []Destination{
			{Address: "used", FreeTokens: 10_000, SpareTokens: 10_000, FreeSlots: 5, SameZone: true, Assigned: 2},
			{Address: "fresh", FreeTokens: 8000, SpareTokens: 8000, FreeSlots: 5, SameZone: true},
		}, 2000, "long", "fresh"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			step, ok := Next(c.runs, c.destinations, c.leavesIn)
			is.Equal(ok, c.run != "")
			is.Equal(step.Run.RequestID, c.run)
			is.Equal(step.Destination.Address, c.to)
		})
	}
}

// A full engine with two seconds of notice gets its runs away one after the
// other, when their copies stay in the zone.
func TestNextEmptiesAnEngine(t *testing.T) {
	is := is.New(t)
	runs := []Run{}
	for n, tokens := range []int{2600, 3100, 3500, 3900, 4400, 5100} {
		runs = append(runs, Run{RequestID: string(rune('a' + n)), Tokens: tokens, Remaining: 600})
	}
	destinations := []Destination{
		{Address: "x", FreeTokens: 20_000, SpareTokens: 20_000, FreeSlots: 20, SameZone: true},
		{Address: "y", FreeTokens: 18_000, SpareTokens: 18_000, FreeSlots: 20, SameZone: true},
	}
	left := int64(1900)
	for len(runs) > 0 {
		step, ok := Next(runs, destinations, left)
		is.True(ok)                    // every run has a place
		is.True(step.CanPreCopy(left)) // and pauses only for its last part
		left -= step.CopyMillis() + 10
		for i := range destinations {
			if destinations[i].Address == step.Destination.Address {
				destinations[i].Assigned++
				destinations[i].FreeTokens -= step.Run.Tokens
				destinations[i].SpareTokens -= step.Run.Tokens + step.Run.Remaining
			}
		}
		for i := range runs {
			if runs[i].RequestID == step.Run.RequestID {
				runs = append(runs[:i], runs[i+1:]...)
				break
			}
		}
	}
}

func TestDivide(t *testing.T) {
	is := is.New(t)
	ending := []Engine{{"l1", "a"}, {"l2", "a"}}
	destinations := []Engine{{"d1", "a"}, {"d2", "a"}, {"d3", "b"}, {"d4", "b"}}
	owners := AssignDestinations(ending, destinations)
	is.Equal(owners, map[string]string{"d1": "l1", "d2": "l2", "d3": "l1", "d4": "l2"})
	owners = AssignDestinations([]Engine{{"l2", "b"}, {"l1", "a"}}, destinations)
	is.Equal(owners, map[string]string{"d1": "l1", "d2": "l1", "d3": "l2", "d4": "l2"})
	is.Equal(len(AssignDestinations(nil, destinations)), 0)
}

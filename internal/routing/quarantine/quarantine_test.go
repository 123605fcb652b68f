package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// crashOf returns the crash of a server under a request with the parts.
func crashOf(server, request string, millis int64, parts ...string) Crash {
	return Crash{Server: server, Request: request, Parts: parts, AtUnixMillis: epochMillis + millis}
}

func at(millis int64) boottime.Instant {
	return boottime.Instant(1).AddMillis(millis)
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name string
		// sound holds the parts that were in use before.
		sound                  []string
		crashes                []Crash
		quarantined, suspected []string
	}{
		{
			name:    "one request that is lost three times proves nothing",
			crashes: []Crash{crashOf("e1", "r1", 0, "x"), crashOf("e2", "r1", 0, "x"), crashOf("e3", "r1", 0, "x")},

			suspected: []string{"x"},
		},
		{
			name:    "three requests at one engine prove nothing",
			crashes: []Crash{crashOf("e1", "r1", 0, "x"), crashOf("e1", "r2", 0, "x"), crashOf("e1", "r3", 0, "x")},
		},
		{
			name:    "two requests at three engines",
			crashes: []Crash{crashOf("e1", "r1", 0, "x"), crashOf("e2", "r1", 0, "x"), crashOf("e3", "r2", 0, "x")},

			quarantined: []string{"x"}, suspected: []string{"x"},
		},
		{
			name:  "the part further back, not the one before it",
			sound: []string{"f"},
			crashes: []Crash{
				crashOf("e1", "r1", 0, "f", "x"), crashOf("e2", "r2", 0, "f", "x"), crashOf("e3", "r3", 0, "f", "x"),
				crashOf("e3", "r4", 0, "f", "a"), crashOf("e2", "r5", 0, "f", "a"), crashOf("e1", "r6", 0, "f", "a"),
				crashOf("e4", "r7", 0, "f", "x"),
			},
			quarantined: []string{"x"}, suspected: []string{"x"},
		},
		{
			name: "the first part, if nothing else is common",
			crashes: []Crash{
				crashOf("e1", "r1", 0, "f", "a"), crashOf("e2", "r2", 0, "f", "b"), crashOf("e3", "r3", 0, "f", "c"),
			},
			quarantined: []string{"f"}, suspected: []string{"f"},
		},
		{
			name:  "two parts, each with its own crashes",
			sound: []string{"f"},
			crashes: []Crash{
				crashOf("e1", "r1", 0, "f", "x"), crashOf("e2", "r2", 100, "f", "x"), crashOf("e3", "r3", 200, "f", "x"),
				crashOf("e4", "r4", 300, "f", "y"), crashOf("e5", "r5", 400, "f", "y"), crashOf("e6", "r6", 500, "f", "y"),
			},
			quarantined: []string{"x", "y"}, suspected: []string{"x", "y"},
		},
		{
			name:  "a part in use, on engines that crash at once",
			sound: []string{"f"},
			crashes: []Crash{
				crashOf("e1", "r1", 0, "f"), crashOf("e2", "r2", 0, "f"), crashOf("e3", "r3", 0, "f"), crashOf("e4", "r4", 0, "f"),
				crashOf("e5", "r5", 0, "f"), crashOf("e6", "r6", 0, "f"), crashOf("e7", "r7", 0, "f"),
			},
		},
		{
			name:  "a part in use, one engine after the other",
			sound: []string{"f"},
			crashes: []Crash{
				crashOf("e1", "r1", 0, "f"), crashOf("e2", "r2", 100, "f"), crashOf("e3", "r3", 200, "f"),
				crashOf("e4", "r4", 300, "f"), crashOf("e5", "r5", 400, "f"), crashOf("e6", "r6", 500, "f"),
			},
			quarantined: []string{"f"}, suspected: []string{"f"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{}
			table.RecordSound(c.sound, at(0))
			for _, crash := range c.crashes {
				table.RecordCrash(crash, at(100))
			}
			is.Equal(table.QuarantinedParts(), c.quarantined)
			for _, part := range []string{"f", "x", "y", "a", "b"} {
				_, suspected := table.Suspected([]string{"other", part})
				is.Equal(suspected, contains(c.suspected, part)) // suspected
			}
		})
	}
}

func contains(all []string, part string) bool {
	for _, a := range all {
		if a == part {
			return true
		}
	}
	return false
}

// TestAnswerEndsEvidence checks that an answer to a request with a part ends all evidence
// against it, on the host that saw it and on those that read of it.
func TestAnswerEndsEvidence(t *testing.T) {
	is := is.New(t)
	here, there := &Table{}, &Table{}
	for n := range 4 {
		for _, e := range here.RecordCrash(crashOf(fmt.Sprint("e", n), fmt.Sprint("r", n), 0, "x"), at(0)) {
			there.Apply([]Change{e}, at(0), epochMillis)
		}
	}
	is.Equal(here.QuarantinedParts(), []string{"x"})
	is.Equal(there.QuarantinedParts(), []string{"x"})
	ended := here.RecordSound([]string{"x"}, at(1))
	is.Equal(len(ended), 4)
	is.Equal(len(here.RecordSound([]string{"x"}, at(2))), 0) // only once
	for _, key := range ended {
		there.Apply([]Change{Ended{key}}, at(3), epochMillis)
	}
	is.Equal(here.QuarantinedParts(), nil)
	is.Equal(there.QuarantinedParts(), nil)
}

// TestEvidenceHoldsForALimitedTime checks that old evidence is dropped, and not taken from the
// store again.
func TestEvidenceHoldsForALimitedTime(t *testing.T) {
	is := is.New(t)
	table := &Table{}
	var all []Change
	for n := range 3 {
		for _, e := range table.RecordCrash(crashOf(fmt.Sprint("e", n), fmt.Sprint("r", n), 0, "x"), at(0)) {
			all = append(all, e)
		}
	}
	table.Apply(nil, at(1), epochMillis+evidenceMillis-1)
	is.Equal(table.QuarantinedParts(), []string{"x"})
	table.Apply(all, at(1), epochMillis+evidenceMillis)
	is.Equal(table.QuarantinedParts(), nil)
	is.Equal(len(table.TakeLapsed()), 3)
	is.Equal(len(table.TakeLapsed()), 0)
	for _, c := range all {
		table.Apply([]Change{Ended{c.(Evidence).Key}}, at(2), epochMillis+evidenceMillis)
	}
	wrongClock := Evidence{Key: Key{"y", "e1"}, Request: "r", UntilUnixMillis: epochMillis + 4*evidenceMillis}
	table.Apply([]Change{wrongClock}, at(2), epochMillis+evidenceMillis)
	is.Equal(len(table.evidence), 0)
	again := table.RecordCrash(crashOf("e1", "r1", evidenceMillis, "x"), at(3))
	is.True(!again[0].Sound) // the deleted record did not say that the part is sound
}

// TestEvidenceIsBounded checks that many crashes with many parts take a bounded memory.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	table := &Table{}
	var all, lapsed []Change
	for n := range 2 * maxEvidence {
		key := Key{Part: fmt.Sprint("p", n), Server: "e"}
		all = append(all, Evidence{Key: key, Request: "r", UntilUnixMillis: 1000 + int64(n)})
		lapsed = append(lapsed, Evidence{Key: key, Request: "r", UntilUnixMillis: 1})
	}
	table.Apply(all, at(0), 1)
	table.Apply(lapsed, at(0), 1)
	is.Equal(len(table.evidence), maxEvidence)
	is.Equal(len(table.lapsed), maxLapsed)
	for n := range 3 * maxSoundParts {
		table.RecordSound([]string{fmt.Sprint("p", n)}, at(0))
	}
	is.Equal(len(table.soundUntil), maxSoundParts)
}

// TestNewestClaimOfATrialHolds checks that of two hosts that claim a trial at the same time one
// lets a request pass, once.
func TestNewestClaimOfATrialHolds(t *testing.T) {
	is := is.New(t)
	hosts := []*Table{{Host: 1}, {Host: 2}}
	for n := range 3 {
		for _, e := range hosts[0].RecordCrash(crashOf(fmt.Sprint("e", n), fmt.Sprint("r", n), 0, "x"), at(0)) {
			hosts[1].Apply([]Change{e}, at(0), epochMillis)
		}
	}
	parts := []string{"f", "x"}
	is.Equal(hosts[0].TryTrial(parts, at(0), epochMillis+trialMillis-1), NoTrial{})
	var claims []Change
	for _, h := range hosts {
		claim, ok := h.TryTrial(parts, at(1), epochMillis+trialMillis).(ClaimTrial)
		is.True(ok)
		claims = append(claims, claim.Trial)
	}
	for _, h := range hosts {
		h.Apply(claims, at(2), epochMillis+trialMillis)
		is.Equal(h.TryTrial(parts, at(3), epochMillis+trialMillis+1), NoTrial{}) // not settled yet
	}
	later := int64(epochMillis + trialMillis + 2*settleMillis)
	is.Equal(hosts[0].TryTrial(parts, at(2*settleMillis), later), NoTrial{})
	is.Equal(hosts[1].TryTrial(parts, at(2*settleMillis), later), PassTrial{})
	is.Equal(hosts[1].TryTrial(parts, at(2*settleMillis), later), NoTrial{})
}

func TestRecords(t *testing.T) {
	changes := []Change{
		Evidence{Key: Key{"5c1e", "i-1/a"}, Request: "r", Depth: 2, Sound: true, UntilUnixMillis: 7},
		Ended{Key{"5c1e", "i-1"}},
		Trial{Part: "5c1e", Host: 1 << 63, Count: 3, ClaimedAtUnixMillis: 9},
	}
	for _, c := range changes {
		is := is.New(t)
		key, value, valid := Encode(c)
		is.True(valid)
		got, err := Decode(key, value)
		is.NoErr(err)
		is.Equal(got, c)
	}
}

func TestInvalidRecords(t *testing.T) {
	for _, c := range []struct{ name, key, value string }{
		{"empty key", "", "{}"},
		{"no part", "/i-1", "{}"},
		{"no server", "5c1e/", "{}"},
		{"no JSON", "5c1e/i-1", "x"},
		{"no request", "5c1e/i-1", "{}"},
		{"negative depth", "5c1e/i-1", `{"Request":"r","Depth":-1}`},
		{"trial without value", "5c1e", ""},
		{"trial without count", "5c1e", "{}"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(c.key, []byte(c.value))
			is.New(t).True(err != nil)
		})
	}
	is := is.New(t)
	_, _, valid := Encode(Ended{Key{"5c1e", ""}})
	is.True(!valid)
	_, _, valid = Encode(Trial{Part: "5c/1e"})
	is.True(!valid)
}

// FuzzDecode checks that a record that is decoded is encoded to the same change.
func FuzzDecode(f *testing.F) {
	f.Add("5c1e/i-1", []byte(`{"Request":"r","Depth":1,"Sound":true,"UntilUnixMillis":7}`))
	f.Add("5c1e", []byte(`{"Host":1,"Count":2,"ClaimedAtUnixMillis":3}`))
	f.Add("5c1e/i-1", []byte{})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		change, err := Decode(key, value)
		if err != nil {
			return
		}
		text, encoded, valid := Encode(change)
		if !valid {
			return
		}
		again, err := Decode(text, encoded)
		is.New(t).NoErr(err)
		is.New(t).Equal(again, change)
	})
}

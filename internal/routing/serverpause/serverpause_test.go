package serverpause

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

const (
	start       = boottime.Instant(1_000_000_000)
	drainMillis = 4000
)

var desk = discovery.BackendServer{ID: "desk", BornUnixMillis: 7}

// TestStatus checks what may be sent to a server after its answers.
func TestStatus(t *testing.T) {
	type observation struct {
		atMillis int64
		answer   Answer
	}
	leaving := Answer{Leaving: true}
	tests := []struct {
		name     string
		observed []observation
		atMillis int64
		want     Status
	}{
		{"silent", nil, 0, Status{}},
		{"answer without a wish", []observation{{0, Answer{}}}, 1, Status{}},
		{"leaving", []observation{{0, leaving}}, drainMillis - 1, Status{Leaving: true}},
		{"leaving for long", []observation{{0, leaving}}, drainMillis, Status{Leaving: true, Closed: true}},
		{"the first answer counts", []observation{{0, leaving}, {3000, leaving}}, drainMillis, Status{Leaving: true, Closed: true}},
		{"an answer without the word", []observation{{0, leaving}, {100, Answer{}}}, 200, Status{Leaving: true}},
		{"paused", []observation{{0, Answer{PauseMillis: 800}}}, 799, Status{PausedUntil: start.AddMillis(800)}},
		{"pause over", []observation{{0, Answer{PauseMillis: 800}}}, 800, Status{}},
		{"the later end holds", []observation{{0, Answer{PauseMillis: 2000}}, {100, Answer{PauseMillis: 50}}}, 1000, Status{PausedUntil: start.AddMillis(2000)}},
		{"absurd pause", []observation{{0, Answer{PauseMillis: 1 << 60}}}, MaxPauseMillis, Status{}},
		{"negative pause", []observation{{0, Answer{PauseMillis: -1}}}, 0, Status{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{DrainMillis: drainMillis}
			for _, o := range tt.observed {
				table.Observe(desk, o.answer, start.AddMillis(o.atMillis))
			}
			is.Equal(table.Status(desk, start.AddMillis(tt.atMillis)), tt.want)
		})
	}
}

// TestOtherIncarnation checks that a server that was started again has asked for nothing.
func TestOtherIncarnation(t *testing.T) {
	is := is.New(t)
	table := &Table{DrainMillis: drainMillis}
	table.Observe(desk, Answer{Leaving: true, PauseMillis: 900}, start)
	again := desk
	again.BornUnixMillis++
	is.Equal(table.Status(again, start), Status{})
	is.True(table.Observe(again, Answer{PauseMillis: 100}, start))
	is.Equal(table.Status(again, start), Status{PausedUntil: start.AddMillis(100)})
}

// TestRepeatedAnswers checks which answers ask for more than the earlier ones.
func TestRepeatedAnswers(t *testing.T) {
	is := is.New(t)
	table := &Table{}
	is.True(table.Observe(desk, Answer{Leaving: true}, start))
	is.True(!table.Observe(desk, Answer{Leaving: true}, start.AddMillis(10)))
	is.True(table.Observe(desk, Answer{PauseMillis: 500}, start))
	is.True(!table.Observe(desk, Answer{PauseMillis: 100}, start))
	is.True(!table.Observe(desk, Answer{}, start))
}

// TestPrune checks that a leaving server is remembered while it is listed, and for a while
// afterwards, as a restored store may list it again.
func TestPrune(t *testing.T) {
	is := is.New(t)
	table := &Table{DrainMillis: drainMillis}
	table.Observe(desk, Answer{Leaving: true}, start)
	listed := func(string) bool { return true }
	unlisted := func(string) bool { return false }
	late := start.AddMillis(forgetMillis + 1)
	table.Prune(listed, late)
	table.Prune(unlisted, start.AddMillis(forgetMillis))
	is.True(table.Status(desk, late).Closed)
	table.Prune(unlisted, late)
	is.Equal(table.Status(desk, late), Status{})
}

package relay

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestStopsOfARun guards against an answer that is judged by a stop of before it was asked for, and against
// one that was cut by a later stop and passes for complete. The request "r" is sent to the engine "e", where
// its run is stopped by the order 5 of the monitor, and is sent to "e" again.
func TestStopsOfARun(t *testing.T) {
	stop := func(order uint64) Migration {
		return Migration{RequestID: "r", Stopped: true, StopOrder: order, Source: platform.Handle{Address: "e", ID: "h"}}
	}
	replyTo := func(run Run, m Migration) Migration {
		m.RequestID, m.Source.Address, m.Final, m.EndedAnswer = "r", "e", true, run.number
		return m
	}
	type runs struct{ first, second Run }
	for name, tt := range map[string]struct {
		// heard returns the messages after the second sending.
		heard func(runs) []Migration
		// stopped and known are what is known of the end of the second answer.
		stopped, known bool
	}{
		"nothing":                                {func(runs) []Migration { return nil }, false, false},
		"not stopped":                            {func(r runs) []Migration { return []Migration{replyTo(r.second, Migration{})} }, false, true},
		"only the stop of before":                {func(r runs) []Migration { return []Migration{replyTo(r.second, stop(5))} }, false, true},
		"stop of before once more":               {func(runs) []Migration { return []Migration{stop(5)} }, false, false},
		"stopped again":                          {func(runs) []Migration { return []Migration{stop(6)} }, true, true},
		"stopped again, as a reply":              {func(r runs) []Migration { return []Migration{replyTo(r.second, stop(6))} }, true, true},
		"stopped again, then the stop of before": {func(runs) []Migration { return []Migration{stop(6), stop(5)} }, true, true},
		"reply about the first answer":           {func(r runs) []Migration { return []Migration{replyTo(r.first, Migration{})} }, false, false},
		"reply about the first answer, late":     {func(r runs) []Migration { return []Migration{replyTo(r.first, stop(5))} }, false, false},
		"final message without a question": {func(runs) []Migration {
			return []Migration{{RequestID: "r", Final: true, Source: platform.Handle{Address: "e"}}}
		}, false, false},
		"stop at another engine":                  {func(runs) []Migration { m := stop(9); m.Source.Address = "d"; return []Migration{m} }, false, false},
		"stop of this host for the first answer":  {func(r runs) []Migration { m := stop(r.first.number); m.Own = true; return []Migration{m} }, false, false},
		"stop of this host for the second answer": {func(r runs) []Migration { m := stop(r.second.number + 1); m.Own = true; return []Migration{m} }, true, true},
		"monitor of an earlier version":           {func(runs) []Migration { return []Migration{stop(0)} }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &Migrations{}
			r := m.Register("r")
			defer r.Unregister()
			first := r.Begin("e")
			m.Announce(stop(5))
			_, known := first.Latest()
			is.True(known)
			second := r.Begin("e")
			_, known = second.Latest()
			is.True(!known)
			for _, heard := range tt.heard(runs{first, second}) {
				m.Announce(heard)
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel() // what is not known yet is not waited for
			reply := second.AwaitEnd(ctx)
			_, stopped := reply.(answerend.MonitorStopped)
			_, silent := reply.(answerend.MonitorSilent)
			is.Equal([]bool{stopped, !silent}, []bool{tt.stopped, tt.known})
			latest, _ := second.Latest()
			is.Equal(latest.Stopped, tt.stopped)
		})
	}
}

// TestOwnStopOrders guards against an order of this host for an earlier answer that makes a later one
// doubtful, and against a later order that is forgotten with an earlier one.
func TestOwnStopOrders(t *testing.T) {
	is := is.New(t)
	m := &Migrations{}
	r := m.Register("r")
	defer r.Unregister()
	first := r.Begin("e")
	lost := m.OrderStop("r", "e") // its reply never comes
	is.True(first.StopOrdered())
	second := r.Begin("e")
	is.True(!second.StopOrdered())
	order := m.OrderStop("r", "e")
	is.True(second.StopOrdered())
	m.WithdrawStop("r", "e", lost)
	is.True(second.StopOrdered())
	m.WithdrawStop("r", "e", order)
	is.True(!second.StopOrdered())
	is.Equal(m.OrderStop("other", "e"), uint64(0))
}

package stoporder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// step is something that a table takes in.
type step interface{ step() }

type (
	// reports is a report of an engine that is about to shut down, with the run "r" or without it.
	reports struct {
		atMillis int64
		running  bool
	}
	// ready is a report of an engine that is not.
	ready struct{}
	// orders, stops and finds are an order and its reply: the run was stopped, or there was none.
	orders struct{ number uint64 }
	stops  struct {
		number   uint64
		atMillis int64
	}
	findsNone struct{ number uint64 }
)

func (reports) step()   {}
func (ready) step()     {}
func (orders) step()    {}
func (stops) step()     {}
func (findsNone) step() {}

// TestEndOfARun guards against a stop that judges what a run that has gone on answers later, and against
// a later stop that is missed, as an earlier one came to nothing.
func TestEndOfARun(t *testing.T) {
	const start = boottime.Instant(1_000_000_000_000)
	for name, tt := range map[string]struct {
		steps []step
		want  End
		rests bool
	}{
		"no order":                             {[]step{ready{}, reports{10, true}}, NotStopped{}, false},
		"order without a reply":                {[]step{ready{}, orders{1}}, Unknown{Pending: true}, false},
		"stopped":                              {[]step{ready{}, orders{1}, stops{1, 5}}, Stopped{1}, true},
		"stopped, older report":                {[]step{ready{}, orders{1}, stops{1, 5}, reports{4, true}}, Stopped{1}, true},
		"stopped, gone on":                     {[]step{ready{}, orders{1}, stops{1, 5}, reports{9, true}}, Stopped{1}, false},
		"gone on, ordered again":               {[]step{ready{}, orders{1}, stops{1, 5}, reports{9, true}, orders{2}}, Unknown{Pending: true}, false},
		"gone on, stopped again":               {[]step{ready{}, orders{1}, stops{1, 5}, reports{9, true}, orders{2}, stops{2, 12}}, Stopped{2}, true},
		"gone on, ended before the next order": {[]step{ready{}, orders{1}, stops{1, 5}, reports{9, true}, orders{2}, findsNone{2}}, Stopped{1}, false},
		"stopped, then none":                   {[]step{ready{}, orders{1}, stops{1, 5}, orders{2}, findsNone{2}}, Stopped{1}, true},
		"lost reply, then none":                {[]step{ready{}, orders{1}, orders{2}, findsNone{2}}, Unknown{Pending: true}, false},
		"lost reply, then stopped":             {[]step{ready{}, orders{1}, orders{2}, stops{2, 5}}, Stopped{2}, true},
		"reply to an order for an earlier run": {[]step{ready{}, stops{1, 5}}, NotStopped{}, false},
		"late reply beside a new order":        {[]step{ready{}, orders{7}, stops{1, 5}}, Unknown{Pending: true}, false},

		"started after the notice":                      {[]step{reports{0, true}, reports{900, true}}, Unknown{}, false},
		"started after the notice, seen to run":         {[]step{reports{0, true}, reports{1000, true}}, NotStopped{}, false},
		"started after the notice, stopped before":      {[]step{reports{0, false}, reports{1500, false}}, Unknown{}, false},
		"started after the notice, none found":          {[]step{reports{0, true}, orders{4}, findsNone{4}}, Unknown{}, false},
		"started after the notice, seen, stopped again": {[]step{reports{0, true}, reports{1000, true}, orders{4}, stops{4, 1200}}, Stopped{4}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			for _, s := range tt.steps {
				switch s := s.(type) {
				case ready:
					table.Observe(false, nil, start)
				case reports:
					var ids []string
					if s.running {
						ids = []string{"r"}
					}
					table.Observe(true, ids, start.AddMillis(s.atMillis))
				case orders:
					table.Order("r", s.number)
				case stops:
					table.SetStopped("r", s.number, start.AddMillis(s.atMillis))
				case findsNone:
					table.SetNone("r", s.number)
				}
			}
			is.Equal(table.End("r"), tt.want)
			is.Equal(table.Rests("r"), tt.rests)
		})
	}
}

package answerend

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	endedAt = boottime.Instant(1_000_000_000_000)
	born    = 70
)

// reportOf returns a report of the incarnation that the request was sent to, as of a time after the end.
func reportOf(afterMillis int64, ready bool) EngineReport {
	return EngineReport{AsOf: endedAt.AddMillis(afterMillis), BornUnixMillis: born, Ready: ready}
}

// TestDecide guards against an end of which nothing is known that counts as that of a whole answer, and
// against one that counts as broken off although somebody can tell. It has a row for all that can be known.
func TestDecide(t *testing.T) {
	engine := Knowledge{EndedAt: endedAt, BornUnixMillis: born, Engine: true, Port: PortOpen{}}
	plain := Knowledge{EndedAt: endedAt, BornUnixMillis: born}
	ownOrder, leaving := engine.WithOrders(true, false), engine.WithOrders(false, true)
	unborn, cut, cutOpen := engine, plain, plain.WithPort(PortOpen{})
	unborn.BornUnixMillis, cut.CutRequest, cutOpen.CutRequest = 0, true, true
	ready, notReady := reportOf(0, true), reportOf(0, false)
	next, nameless := ready, ready
	next.BornUnixMillis, nameless.BornUnixMillis = born+1, 0
	for name, tt := range map[string]struct {
		knowledge Knowledge
		verdict   Verdict
		basis     Basis
	}{
		"request cut":                            {cut, CutRequest, ByRequest},
		"request cut, server up":                 {cutOpen, CutRequest, ByRequest},
		"plain, up":                              {plain.WithPort(PortOpen{}), Whole, ByPort},
		"plain, ended":                           {plain.WithPort(PortClosed{}), ServerEnded, ByPort},
		"plain, silent":                          {plain.WithPort(PortSilent{}), Unknown, ByPort},
		"plain, not asked":                       {plain, Unknown, ByPort},
		"engine, ended":                          {engine.WithPort(PortClosed{}), ServerEnded, ByPort},
		"engine, ended, not stopped":             {engine.WithPort(PortClosed{}).WithMonitor(MonitorNotStopped{}), ServerEnded, ByPort},
		"engine, nobody asked":                   {engine, Unknown, ByNobody},
		"engine, nobody replies":                 {engine.WithMonitor(MonitorSilent{}).WithReport(EngineSilent{}), Unknown, ByNobody},
		"engine, nobody replies, path silent":    {engine.WithPort(PortSilent{}).WithMonitor(MonitorSilent{}), Unknown, ByNobody},
		"monitor: stopped":                       {engine.WithMonitor(MonitorStopped{}), RunStopped, ByMonitor},
		"monitor: stopped, report ready":         {engine.WithMonitor(MonitorStopped{}).WithReport(ready), RunStopped, ByMonitor},
		"monitor: not stopped":                   {engine.WithMonitor(MonitorNotStopped{}), Whole, ByMonitor},
		"monitor: not stopped, leaving":          {leaving.WithMonitor(MonitorNotStopped{}), Whole, ByMonitor},
		"monitor: not stopped, report not ready": {engine.WithMonitor(MonitorNotStopped{}).WithReport(notReady), Whole, ByMonitor},
		"monitor: not stopped, own order":        {ownOrder.WithMonitor(MonitorNotStopped{}), Unknown, ByOwnOrder},
		"monitor: not stopped, path silent":      {engine.WithPort(PortSilent{}).WithMonitor(MonitorNotStopped{}), Unknown, ByPort},
		"monitor: not stopped, another life":     {engine.WithMonitor(MonitorNotStopped{}).WithReport(next), ServerEnded, ByReport},
		"own order":                              {ownOrder, Unknown, ByOwnOrder},
		"own order, report ready":                {ownOrder.WithReport(ready), Unknown, ByOwnOrder},
		"leaving":                                {leaving, Unknown, ByNotice},
		"leaving, report ready":                  {leaving.WithReport(ready), Unknown, ByNotice},
		"report ready":                           {engine.WithReport(ready), Whole, ByReport},
		"report ready, later":                    {engine.WithReport(reportOf(9, true)), Whole, ByReport},
		"report ready, path silent before":       {engine.WithPort(PortSilent{}).WithReport(ready), Whole, ByReport},
		"report ready, may be older":             {engine.WithReport(reportOf(-1, true)), Unknown, ByReport},
		"report not ready":                       {engine.WithReport(notReady), Unknown, ByReport},
		"report of another life":                 {engine.WithReport(next), ServerEnded, ByReport},
		"report of no named life":                {engine.WithReport(nameless), Unknown, ByReport},
		"report, no life known":                  {unborn.WithReport(ready), Unknown, ByReport},
		"report, no life known or named":         {unborn.WithReport(nameless), Whole, ByReport},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			verdict, basis := Decide(tt.knowledge)
			is.Equal(verdict.String(), tt.verdict.String())
			is.Equal(basis.String(), tt.basis.String())
		})
	}
}

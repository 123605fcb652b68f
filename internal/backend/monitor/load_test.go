package monitor

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestReportsOfABusyEngine replays ten seconds of an engine whose load changes with each
// query and which gets a request every 400 ms: few hosts hear of every change soon, many
// hosts together cause no more messages than reportWatchers of them.
func TestReportsOfABusyEngine(t *testing.T) {
	const playMillis, placedMillis = 10_000, 400
	play := func(watchers int) int {
		var reported platform.EngineReport
		reports, reportedAt, placed := 0, int64(0), false
		for now := int64(0); now < playMillis; now += pollMillis {
			report := platform.EngineReport{UsedTokens: int(now + 1)}
			placed = placed || now%placedMillis == 0
			if due(reported, report, placed, now-reportedAt, watchers) {
				reported, reportedAt, placed = report, now, false
				reports++
			}
		}
		return reports
	}
	is := is.New(t)
	few := play(5)
	is.True(few >= playMillis/reportMillis)
	is.Equal(play(reportWatchers), few)
	const many = 4 * reportWatchers
	is.True(play(many)*many <= few*reportWatchers)
	is.True(play(many) >= playMillis/(4*reportMillis+2*pollMillis))
}

// TestReportsOfAnIdleEngine checks that a load that does not change is still reported, and one
// that changes no later than that, so that the hosts do not take it for unknown.
func TestReportsOfAnIdleEngine(t *testing.T) {
	is := is.New(t)
	var report platform.EngineReport
	const manyHosts = 900
	is.True(due(report, platform.EngineReport{Running: 1}, true, idleReportMillis, manyHosts))
	is.True(!due(report, report, false, idleReportMillis-1, manyHosts))
	is.True(due(report, report, false, idleReportMillis, manyHosts))
}

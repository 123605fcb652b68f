package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestEntryHostsRememberedWhenMonitorsRestart replays the restart of all monitors: each
// reports at first only the hosts that have connected again. A host that took that number
// for the number of all hosts would use more than its share of what they share.
func TestEntryHostsRememberedWhenMonitorsRestart(t *testing.T) {
	is := is.New(t)
	l := &LoadTable{}
	report := func(server string, watchers int, at boottime.Instant) {
		l.SetReport(server, Report{Watchers: watchers, ReceivedAt: at})
	}
	is.Equal(l.EntryHosts(), assumedEntryHosts)
	report("a", 5, rateStart)
	report("b", 5, rateStart)
	is.Equal(l.EntryHosts(), 5)
	l.Forget("a")
	l.Forget("b")
	is.Equal(l.EntryHosts(), 5)
	report("a", 1, rateStart.AddMillis(600))
	is.Equal(l.EntryHosts(), 5)
	report("a", 4, rateStart.AddMillis(700))
	is.Equal(l.EntryHosts(), 5)
	report("a", 4, rateStart.AddMillis(rememberedMillis+1)) // the fifth host did not come back
	is.Equal(l.EntryHosts(), 5)
	report("a", 1, rateStart.AddMillis(2*rememberedMillis+2)) // a monitor that was restarted
	is.Equal(l.EntryHosts(), 4)
	report("b", 0, rateStart.AddMillis(2*rememberedMillis+3)) // a first report does not say it
	is.Equal(l.EntryHosts(), 4)
	report("a", 6, rateStart.AddMillis(2*rememberedMillis+4))
	is.Equal(l.EntryHosts(), 6)
}

package lossreport

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/requestlog"
)

const (
	placedLine = `{"Time":"2026-01-01T00:00:01Z","Message":"placed","Request":"r","Tokens":3500,"Millis":10,"UnreadTokens":0}`
	streamed   = `{"Time":"2026-01-01T00:00:09Z","Message":"streamed","Request":"r","AimMillis":1800,"MaxPauseMillis":180,`
	lostLine   = `{"Time":"2026-01-01T00:00:09Z","Message":"stream lost","Request":"r"}`
	refused    = `{"Time":"2026-01-01T00:00:10Z","Message":"request refused","Request":"r","Reason":`
	brokenOff  = `{"Time":"2026-01-01T00:00:08Z","Message":"answer broken off","Request":"r",`
	endedBy    = `{"Time":"2026-01-01T00:00:07Z","Message":"answer ended with its connection","Request":"r",`
	notMoved   = `{"Time":"2026-01-01T00:00:08Z","Message":"run not migrated","Request":"r","Obstacle":`
)

func TestFind(t *testing.T) {
	cases := []struct {
		name  string
		lines []string
		want  Cause
	}{
		{"in time", []string{placedLine, streamed + `"FirstMillis":500,"PauseMillis":60,"Moves":1}`}, ""},
		{"no aim known", []string{placedLine, `{"Time":"2026-01-01T00:00:09Z","Message":"streamed","Request":"r","FirstMillis":9000}`}, ""},
		{"waited for room", []string{strings.Replace(placedLine, `"Millis":10`, `"Millis":1100`, 1), streamed + `"FirstMillis":1900}`}, WaitedForRoom},
		{"prompts ahead", []string{strings.Replace(placedLine, `"UnreadTokens":0`, `"UnreadTokens":9000`, 1), streamed + `"FirstMillis":1900}`}, QueuedBehindPrompts},
		{"slow engine", []string{placedLine, streamed + `"FirstMillis":1900}`}, SlowFirstEvent},
		{"pause at a migration", []string{placedLine, streamed + `"FirstMillis":500,"PauseMillis":400,"Moves":1}`}, PausedAtMigration},
		{"pause without a migration", []string{placedLine, streamed + `"FirstMillis":500,"PauseMillis":400,"Moves":0}`}, PausedByEngine},
		{"no room at the shutdown", []string{placedLine, notMoved + `"NoRoomToGrow"}`, lostLine}, NoRoomAtShutdown},
		{"no time at the shutdown", []string{placedLine, notMoved + `"NoTime"}`, lostLine}, NoTimeAtShutdown},
		{"lost after a migration", []string{placedLine, `{"Time":"2026-01-01T00:00:08Z","Message":"migrated stream is being resumed","Request":"r"}`, lostLine}, MigrationFailed},
		{"server broke off", []string{placedLine, lostLine}, ServerBroke},
		{"lost before the first event", []string{placedLine, lostLine, refused + `"ReplyLost"}`}, ServerBroke},
		{"engine crashed", []string{placedLine, brokenOff + `"Ended":true}`, lostLine}, EngineCrashed},
		{"run stopped", []string{placedLine, endedBy + `"Verdict":"RunStopped"}`, lostLine}, RunStopped},
		{"end unknown", []string{placedLine, endedBy + `"Verdict":"Unknown"}`, brokenOff + `"Ended":false}`, lostLine}, EndUnknown},
		{"engine went on", []string{placedLine, brokenOff + `"Ended":false}`, lostLine}, ServerBroke},
		{"process ended", []string{placedLine}, ProcessEnded},
		{"failed by its server", []string{`{"Time":"2026-01-01T00:00:02Z","Message":"answered","Request":"r","Status":500}`}, FailedByServer},
		{"answered", []string{`{"Time":"2026-01-01T00:00:02Z","Message":"answered","Request":"r","Status":200}`}, ""},
		{"refused", []string{refused + `"EnginesFull"}`}, "RefusedEnginesFull"},
		{"caller left", []string{placedLine, `{"Time":"2026-01-01T00:00:02Z","Message":"caller disconnected","Request":"r"}`}, CallerLeft},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lines, skipped, err := requestlog.Read(strings.NewReader(strings.Join(c.lines, "\n")))
			is.NoErr(err)
			is.Equal(skipped, 0)
			losses := Find(lines)
			if c.want == "" {
				is.Equal(len(losses), 0)
				return
			}
			is.Equal(len(losses), 1)
			is.Equal(losses[0].Cause, c.want)
			is.Equal(losses[0].Request, "r")
		})
	}
}

func TestSum(t *testing.T) {
	is := is.New(t)
	rows := Sum([]Loss{
		{Request: "a", Cause: ServerBroke, Tokens: 100},
		{Request: "b", Cause: NoRoomAtShutdown, Tokens: 3000},
		{Request: "c", Cause: NoRoomAtShutdown, Tokens: 4000},
	})
	is.Equal(rows, []Row{
		{Cause: NoRoomAtShutdown, Count: 2, Tokens: 7000, First: "b"},
		{Cause: ServerBroke, Count: 1, Tokens: 100, First: "a"},
	})
}

// Package lossreport finds out from log lines which requests were lost, late or refused,
// gives each of them one cause, and sums them by cause.
package lossreport

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fulmarvalve/fulmarvalve/internal/records/requestlog"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
)

// Cause is why a request was lost, late or refused.
type Cause string

// Causes of lost requests.
const (
	// NoRoomAtShutdown means that the engine shut down and no other one had the memory,
	// a slot or a free link for the run.
	NoRoomAtShutdown Cause = "NoRoomAtShutdown"
	// NoTimeAtShutdown means that the engine shut down before the run was copied.
	NoTimeAtShutdown Cause = "NoTimeAtShutdown"
	// MigrationFailed means that the stream broke after its run had been migrated.
	MigrationFailed Cause = "MigrationFailed"
	// ServerBroke means that the backend server broke the answer off without notice.
	ServerBroke Cause = "ServerBroke"
	// RunStopped means that the engine had stopped the run for a migration, and that the stream did not go
	// on elsewhere.
	RunStopped Cause = "RunStopped"
	// EndUnknown means that the answer ended with its connection, and that nobody could tell whether it was
	// whole.
	EndUnknown Cause = "EndUnknown"
	// EngineCrashed means that the engine ended without notice.
	EngineCrashed Cause = "EngineCrashed"
	// ProcessEnded means that the log of the request ends with its process.
	ProcessEnded Cause = "ProcessEnded"
	// FailedByServer means that the backend server answered with a failure.
	FailedByServer Cause = "FailedByServer"
	// CallerLeft means that the caller disconnected.
	CallerLeft Cause = "CallerLeft"
)

// Causes of late requests.
const (
	// WaitedForRoom means that most of the time to the first event was spent on waiting
	// for an engine with room.
	WaitedForRoom Cause = "WaitedForRoom"
	// QueuedBehindPrompts means that the engine had other prompts to process first.
	QueuedBehindPrompts Cause = "QueuedBehindPrompts"
	// SlowFirstEvent means that the first event was late for no reason that the entry
	// host knew of.
	SlowFirstEvent Cause = "SlowFirstEvent"
	// PausedAtMigration means that a stream with a migration paused too long.
	PausedAtMigration Cause = "PausedAtMigration"
	// PausedByEngine means that a stream paused too long without a migration; the
	// engine preempted the run or was slow.
	PausedByEngine Cause = "PausedByEngine"
)

// Causes of refused requests begin with this text, before the reason of the refusal.
const refusedPrefix = "Refused"

// waitedShare is the share of the time to the first event from which a wait for room is
// the cause of a late one.
const waitedShare = 0.5

// Loss is one request that was lost, late or refused.
type Loss struct {
	Request string
	Cause   Cause
	// Tokens is the expected size of a generation; zero for other requests.
	Tokens int
}

// Row is the sum of the losses with one cause.
type Row struct {
	Cause Cause
	Count int
	// Tokens is the sum of the expected sizes of generations.
	Tokens int
	// First is the ID of the first request.
	First string
}

// Sum sums losses by cause, the most frequent cause first.
func Sum(losses []Loss) []Row {
	at := make(map[Cause]int)
	var rows []Row
	for _, l := range losses {
		i, ok := at[l.Cause]
		if !ok {
			i = len(rows)
			at[l.Cause] = i
			rows = append(rows, Row{Cause: l.Cause, First: l.Request})
		}
		rows[i].Count++
		rows[i].Tokens += l.Tokens
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return rows
}

// Find returns the losses among the requests of the logs, in the order in which the
// requests first appear.
func Find(lines []requestlog.Line) []Loss {
	var losses []Loss
	for _, s := range stories(lines) {
		if cause, lost := s.cause(); lost {
			losses = append(losses, Loss{Request: s.request, Cause: cause, Tokens: s.tokens()})
		}
	}
	return losses
}

// story holds what the logs say of one request.
type story struct {
	request string
	// placed is the last placement, and end the line that ended the request; their
	// messages are empty when there is none.
	placed requestlog.Line
	end    requestlog.Line
	// obstacle is why the run was not migrated; empty when that was not logged.
	obstacle string
	// resumed says that the stream was resumed after a migration.
	resumed bool
	// verdict is the last one on the end of an answer without a length or chunks; empty if there is none.
	verdict string
	// crashed says that an engine ended without notice under the request.
	crashed bool
}

// stories collects the lines of each request.
func stories(lines []requestlog.Line) []*story {
	byRequest := make(map[string]*story)
	var all []*story
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b requestlog.Line) int { return a.Time.Compare(b.Time) })
	for _, line := range sorted {
		if line.Request == "" {
			continue
		}
		s, ok := byRequest[line.Request]
		if !ok {
			s = &story{request: line.Request}
			byRequest[line.Request] = s
			all = append(all, s)
		}
		s.add(line)
	}
	return all
}

func (s *story) add(line requestlog.Line) {
	switch line.Message {
	case "placed":
		s.placed = line
	case "run not migrated":
		s.obstacle, _ = line.Fields["Obstacle"].(string)
	case "migrated stream is being resumed":
		s.resumed = true
	case "answer ended with its connection":
		s.verdict, _ = line.Fields["Verdict"].(string)
	case "answer broken off":
		ended, _ := line.Fields["Ended"].(bool)
		s.crashed = s.crashed || ended
	case "streamed", "stream lost", "answered", "request refused", "caller disconnected":
		// A stream that was lost before its first event is also refused; the loss is the
		// cause.
		if s.end.Message != "stream lost" {
			s.end = line
		}
	}
}

// cause returns the cause of the loss, or false when the request was served in time.
func (s *story) cause() (Cause, bool) {
	switch s.end.Message {
	case "streamed":
		return s.lateCause()
	case "stream lost":
		return s.lostCause(), true
	case "answered":
		return FailedByServer, number(s.end, "Status") >= 500
	case "request refused":
		reason, _ := s.end.Fields["Reason"].(string)
		return Cause(refusedPrefix + strings.TrimSpace(reason)), true
	case "caller disconnected":
		return CallerLeft, true
	default:
		return ProcessEnded, s.placed.Message != ""
	}
}

// lateCause returns why a complete stream was late, or false when it was on time.
func (s *story) lateCause() (Cause, bool) {
	first, aim := number(s.end, "FirstMillis"), number(s.end, "AimMillis")
	if aim > 0 && first > aim {
		return s.lateFirstCause(first), true
	}
	pause, most := number(s.end, "PauseMillis"), number(s.end, "MaxPauseMillis")
	if most <= 0 || pause <= most {
		return "", false
	}
	if number(s.end, "Moves") > 0 {
		return PausedAtMigration, true
	}
	return PausedByEngine, true
}

func (s *story) lateFirstCause(first float64) Cause {
	switch {
	case number(s.placed, "Millis") > waitedShare*first:
		return WaitedForRoom
	case number(s.placed, "UnreadTokens") > 0:
		return QueuedBehindPrompts
	default:
		return SlowFirstEvent
	}
}

// lostCause returns why a stream was lost.
func (s *story) lostCause() Cause {
	switch {
	case s.obstacle == "NoTime":
		return NoTimeAtShutdown
	case s.obstacle != "":
		return NoRoomAtShutdown
	case s.resumed:
		return MigrationFailed
	case s.crashed:
		return EngineCrashed
	case s.verdict == answerend.RunStopped.String():
		return RunStopped
	case s.verdict == answerend.Unknown.String():
		return EndUnknown
	default:
		return ServerBroke
	}
}

func (s *story) tokens() int {
	return int(number(s.placed, "Tokens"))
}

// number returns a numeric field of a line; zero when there is none.
func number(line requestlog.Line, name string) float64 {
	value, _ := line.Fields[name].(float64)
	return value
}

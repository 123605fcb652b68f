// Package answerend decides whether an answer that ended with its connection is whole. Such an answer has
// neither a length nor chunks, so that nothing in it shows its end: the connection ends in the same way
// after the last byte, when the server ends, and when an engine stops the run for a migration.
//
// Knowledge holds what the entry host was told by those that it asked, and Decide is the only place that
// says what follows from it. An end of which nothing is known is neither that of a whole answer nor that
// of a broken one: the host goes on asking while the verdict is Unknown, and then breaks the answer off.
// The package does no I/O and reads no clock.
package answerend

import (
	"net/http"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// EndsWithConnection reports whether an answer has neither a length nor chunks, so that its end is that of
// the connection. An answer to HEAD ends with its head.
func EndsWithConnection(answer *http.Response) bool {
	if answer.Request != nil && answer.Request.Method == http.MethodHead {
		return false
	}
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

// PortResult is what a connection attempt to the server has shown after the end.
type PortResult interface{ portResult() }

type (
	// PortSilent says that the attempt was neither accepted nor refused.
	PortSilent struct{}
	// PortOpen says that a server listens at the address.
	PortOpen struct{}
	// PortClosed says that nothing listens at the address any more.
	PortClosed struct{}
)

func (PortSilent) portResult() {}
func (PortOpen) portResult()   {}
func (PortClosed) portResult() {}

// MonitorReply is the reply of the engine's monitor, the process beside it, to the question whether it has
// ordered the engine to stop the run.
type MonitorReply interface{ monitorReply() }

type (
	// MonitorSilent says that no reply came: the monitor was not reached, or does not know.
	MonitorSilent struct{}
	// MonitorStopped says that the engine has stopped the run, or may have.
	MonitorStopped struct{}
	// MonitorNotStopped says that the engine has not stopped the run by an order of the monitor.
	MonitorNotStopped struct{}
)

func (MonitorSilent) monitorReply()     {}
func (MonitorStopped) monitorReply()    {}
func (MonitorNotStopped) monitorReply() {}

// EngineReply is the engine's own report of its state.
type EngineReply interface{ engineReply() }

type (
	// EngineSilent says that no report came.
	EngineSilent struct{}
	// EngineReport is a report that was asked for after the end.
	EngineReport struct {
		// AsOf is the earliest time whose state the report may show. It is before the time at which the
		// report was asked for, as engines report what they knew a while ago.
		AsOf boottime.Instant
		// BornUnixMillis is the start time of the incarnation that reports; zero when it does not say.
		BornUnixMillis int64
		// Ready says that the engine is not about to shut down. Without it the engine leaves, or does not say.
		Ready bool
	}
)

func (EngineSilent) engineReply() {}
func (EngineReport) engineReply() {}

// Knowledge is what is known of the end of an answer. It is immutable. A reply that is nil was not asked for,
// and counts as none.
type Knowledge struct {
	// EndedAt is the time at which the host saw the end.
	EndedAt boottime.Instant
	// BornUnixMillis is the start time of the incarnation that the request was sent to; zero when not known.
	BornUnixMillis int64
	// CutRequest says that the request was not sent whole.
	CutRequest bool
	// Engine says that the server is a model engine. Only engines stop runs, and only those that are about
	// to shut down are ordered to.
	Engine bool
	// OwnOrder says that this host has ordered the engine to stop the run, and that the outcome is not known.
	OwnOrder bool
	// Leaving says that the engine has announced its shutdown, by any sign. That stays true, however old the
	// sign is. That a host has not heard of it proves nothing.
	Leaving bool
	Port    PortResult
	Monitor MonitorReply
	Report  EngineReply
}

// WithPort returns the knowledge with the result of a connection attempt.
func (k Knowledge) WithPort(result PortResult) Knowledge {
	k.Port = result
	return k
}

// WithMonitor returns the knowledge with the reply of the monitor.
func (k Knowledge) WithMonitor(reply MonitorReply) Knowledge {
	k.Monitor = reply
	return k
}

// WithReport returns the knowledge with a report of the engine.
func (k Knowledge) WithReport(reply EngineReply) Knowledge {
	k.Report = reply
	return k
}

// WithOrders returns the knowledge with what the host knows of the orders to stop the run, which may change
// while others are asked.
func (k Knowledge) WithOrders(own, leaving bool) Knowledge {
	k.OwnOrder, k.Leaving = own, leaving
	return k
}

// Decide returns the verdict on the end of an answer, and what it is based on.
func Decide(k Knowledge) (Verdict, Basis) {
	switch {
	case k.CutRequest:
		return CutRequest, ByRequest
	case k.portClosed():
		return ServerEnded, ByPort
	case k.otherIncarnation():
		return ServerEnded, ByReport
	}
	basis := ByPort
	if k.Engine {
		var verdict Verdict
		if verdict, basis = k.decideRun(); verdict != Whole {
			return verdict, basis
		}
	}
	if !k.isUp() {
		return Unknown, ByPort
	}
	return Whole, basis
}

// decideRun decides whether the run was stopped. Whole means that it was not.
func (k Knowledge) decideRun() (Verdict, Basis) {
	switch k.Monitor.(type) {
	case MonitorStopped:
		return RunStopped, ByMonitor
	case MonitorNotStopped:
		if k.OwnOrder {
			return Unknown, ByOwnOrder // the monitor does not know the orders of hosts
		}
		return Whole, ByMonitor
	}
	switch {
	case k.OwnOrder:
		return Unknown, ByOwnOrder
	case k.Leaving:
		return Unknown, ByNotice
	case k.readyAfterEnd():
		return Whole, ByReport
	}
	if _, reported := k.Report.(EngineReport); reported {
		return Unknown, ByReport
	}
	return Unknown, ByNobody
}

// NeedsReport reports whether a report of the engine that is asked for now may decide. Once an engine has
// said that it leaves, or does not say, only the monitor can tell.
func (k Knowledge) NeedsReport() bool {
	verdict, basis := Decide(k)
	report, reported := k.Report.(EngineReport)
	return k.Engine && verdict == Unknown && basis != ByOwnOrder && basis != ByNotice && (!reported || report.Ready)
}

// readyAfterEnd reports whether the engine was not about to shut down after the end. Nobody could then have
// ordered it to stop the run before.
func (k Knowledge) readyAfterEnd() bool {
	report, ok := k.Report.(EngineReport)
	return ok && report.Ready && report.BornUnixMillis == k.BornUnixMillis && !report.AsOf.Before(k.EndedAt)
}

// otherIncarnation reports whether another incarnation has taken the place of the server.
func (k Knowledge) otherIncarnation() bool {
	report, ok := k.Report.(EngineReport)
	return ok && report.BornUnixMillis != 0 && k.BornUnixMillis != 0 && report.BornUnixMillis != k.BornUnixMillis
}

func (k Knowledge) portClosed() bool {
	_, closed := k.Port.(PortClosed)
	return closed
}

// isUp reports whether the server has given a sign of life after the end.
func (k Knowledge) isUp() bool {
	_, open := k.Port.(PortOpen)
	report, ok := k.Report.(EngineReport)
	return open || (ok && report.BornUnixMillis == k.BornUnixMillis)
}

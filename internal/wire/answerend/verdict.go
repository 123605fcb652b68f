package answerend

// Verdict is the decision on the end of an answer.
type Verdict int

const (
	// Unknown says that the answer may be whole or broken off. It is not passed on as whole.
	Unknown Verdict = iota
	// Whole says that the answer is complete.
	Whole
	// RunStopped says that the engine has stopped the run for a migration.
	RunStopped
	// ServerEnded says that the server has ended.
	ServerEnded
	// CutRequest says that the answer ended before its request was sent whole.
	CutRequest
)

var verdictNames = map[Verdict]string{
	Unknown: "Unknown", Whole: "Whole", RunStopped: "RunStopped", ServerEnded: "ServerEnded", CutRequest: "CutRequest",
}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Basis names what decides, or what keeps the verdict Unknown.
type Basis int

const (
	// ByNobody says that nobody has replied.
	ByNobody Basis = iota
	// ByRequest is the sending of the request.
	ByRequest
	// ByPort is the connection attempt.
	ByPort
	// ByMonitor is the reply of the monitor.
	ByMonitor
	// ByReport is the report of the engine.
	ByReport
	// ByOwnOrder is an order of the host whose outcome is not known.
	ByOwnOrder
	// ByNotice is the engine's announcement of its shutdown.
	ByNotice
)

var basisNames = map[Basis]string{
	ByNobody: "Nobody", ByRequest: "Request", ByPort: "Port", ByMonitor: "Monitor", ByReport: "Report",
	ByOwnOrder: "OwnOrder", ByNotice: "Notice",
}

// String returns the name of the basis in logs.
func (b Basis) String() string { return basisNames[b] }

// NameOf returns the name of a reply in logs; Silent also for one that was not asked for.
func NameOf(reply any) string {
	switch r := reply.(type) {
	case PortOpen:
		return "Open"
	case PortClosed:
		return "Closed"
	case MonitorStopped:
		return "Stopped"
	case MonitorNotStopped:
		return "NotStopped"
	case EngineReport:
		if r.Ready {
			return "Ready"
		}
		return "NotReady"
	default:
		return "Silent"
	}
}

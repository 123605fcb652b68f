package logging

// Part is the name of a part of a process that writes log messages.
type Part string

// Parts of a process. docs/LOGS.md describes them. The values are part of the log
// format and do not change, so some differ from the names of the packages.
const (
	Process  Part = "process"
	Intake   Part = "intake"
	Visit    Part = "visit"
	Roster   Part = "roster"
	Keeper   Part = "keeper"
	Foreman  Part = "foreman"
	Desk     Part = "desk"
	Holder   Part = "holder"
	HostList Part = "hostlist"
	Edition  Part = "edition"
	Peer     Part = "peer"
)

// Prefix returns the text that starts every message of the part.
func (p Part) Prefix() string {
	return string(p) + ": "
}

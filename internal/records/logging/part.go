package logging

// Part is the name of a part of a process that writes log messages.
type Part string

// Parts of a process. docs/LOGS.md describes them. The values are part of the log
// format and do not change, so some differ from the names of the packages.
const (
	// Process is the start and the shutdown of a process: package lifecycle.
	Process Part = "process"
	// Intake is the admission of callers' requests: package quota.
	Intake Part = "intake"
	// Visit is the handling of one request at an entry host: package dispatch.
	Visit Part = "visit"
	// Roster is the polling of hosts and of their load: package poller.
	Roster Part = "roster"
	// Keeper is the owner of an engine: package engineowner.
	Keeper Part = "keeper"
	// Foreman sends an engine its orders: package reconciler.
	Foreman Part = "foreman"
	// Desk is the owner of a plain service: package serviceowner.
	Desk Part = "desk"
	// Holder holds the leases of claim partitions: package leaseholder.
	Holder Part = "holder"
	// HostList is the registration of a backend server's host in the host list:
	// package backendhost.
	HostList Part = "hostlist"
	// Edition is the version of the operator file: package configversion.
	Edition Part = "edition"
	// Peer sends the calls of an entry host for decision records: package
	// entryhost.
	Peer Part = "peer"
)

// Prefix returns the text that starts every message of the part.
func (p Part) Prefix() string {
	return string(p) + ": "
}

// Package endtoend tests small deployments end to end. The entry hosts and the
// processes beside the backend servers run as operating-system processes (type
// program). The stand-ins of the platform run inside the test process, where tests
// inject faults and count executions.
//
// There are two kinds of deployments:
//
//   - A deployment has a process beside each backend server, the owner, which is the
//     only client of the backend server. Entry hosts send requests to owners. The
//     platform's log stores the operator file and the bindings of idempotency keys.
//   - A platformSite uses the direct path: entry hosts send requests to backend servers
//     themselves, and read the configuration and the server entries from the platform's
//     store. The process beside an engine is its monitor, which reports the load of the
//     engine and migrates its runs before a shutdown. TestPlatform... and TestSoak use
//     this kind.
//
// TestSlopes and TestSizesOfToday are measurements, which run only with the flags
// -slopes and -sizes.
package endtoend

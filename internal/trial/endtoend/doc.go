// Package endtoend tests small deployments end to end. The entry hosts and the
// processes beside the backend servers run as operating-system processes. The
// stand-ins of the platform run inside the test process, where tests inject
// faults and count executions.
package endtoend

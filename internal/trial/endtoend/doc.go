// Package endtoend tests small deployments end to end. The entry hosts and the
// processes beside the backend servers run as processes of their own, while the
// platform's stand-ins run inside the test, where faults are switched and
// executions are counted.
package endtoend

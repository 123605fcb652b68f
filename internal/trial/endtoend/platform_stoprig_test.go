package endtoend

import (
	"net/http"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// withGrace returns a change of settings that gives an entry host a grace period.
func withGrace(seconds float64) func(*process.DirectEntry) {
	return func(settings *process.DirectEntry) { settings.GraceSeconds = seconds }
}

// openCall sends a call that may run only once, and waits until it has reached the server, where it runs for
// the given time. It returns a function that waits for the reply.
func (s *platformSite) openCall(runMillis int) (await func() callerReply) {
	s.t.Helper()
	s.setPlainFaults(replica.Faults{RunMillis: runMillis})
	await = s.sendInBackground(callerRequest{method: http.MethodPost, target: oncePath, id: "open", key: platformKey, body: "{}"})
	eventually(s.t, "the call has reached the server", func() error {
		if len(s.arrivals()) == 0 {
			return errNotYet
		}
		return nil
	})
	return await
}

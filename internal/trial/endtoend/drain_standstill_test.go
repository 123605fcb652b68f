package endtoend

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// TestDrainDeadlineCountsAStandstill guards against a drain that is counted from the end of a standstill in
// which its signal came: the process is killed with its open requests before the drain ends.
func TestDrainDeadlineCountsAStandstill(t *testing.T) {
	t.Parallel()
	const drainSeconds, standstillMillis, lastMillis = 3, 2000, 1500
	tests := []struct {
		name   string
		target func(*deployment) *program
	}{
		{"entry host", func(d *deployment) *program { return d.entries[0].program }},
		{"backend server", func(d *deployment) *program { return d.backends[1].program }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, layout{
				entries: 1, engines: 1, plainServices: 1,
				changeEntry:   func(s *process.Entry) { s.DrainSeconds, s.ProgressMillis = drainSeconds, 2*standstillMillis },
				changeBackend: func(s *process.Backend) { s.DrainSeconds = drainSeconds },
			})
			d.waitKeyBinding(t)
			d.slowCalls()
			requests := wholeRequests()[2:]
			group := openAtBackends(t, d, requests)
			p := tt.target(d)
			p.freeze()
			p.terminate()
			endBy := time.Now().Add(drainSeconds*time.Second + lastMillis*time.Millisecond)
			platform := time.AfterFunc(time.Until(endBy), func() { _ = p.command.Process.Kill() })
			defer platform.Stop()
			time.Sleep(standstillMillis * time.Millisecond)
			p.thaw()
			is.NoErr(group.Wait())
			for _, r := range requests {
				r.check(t, http.StatusBadGateway, resultcode.DrainCut)
			}
			is.Equal(p.exitCode(), 0)
		})
	}
}

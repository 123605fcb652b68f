package endtoend

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlannedStopAnswersAfterStandstill guards against open calls whose connections are reset without an
// answer since, by the count of a process that has stood still, they should have been closed before.
func TestPlannedStopAnswersAfterStandstill(t *testing.T) {
	t.Parallel()
	const graceMillis, runMillis = stopGraceSeconds * 1000, 20_000
	sleep := func(millis int) { time.Sleep(time.Duration(millis) * time.Millisecond) }
	for name, stop := range map[string]func(*program){
		"that ends shortly after the signal": func(p *program) {
			p.freeze()
			sleep(graceMillis + 500) // longer than the grace period, as the process counts it
			p.terminate()
			p.thaw()
		},
		"at the end of the grace period": func(p *program) {
			p.terminate()
			sleep(graceMillis - 400) // before open requests are ended
			p.freeze()
			sleep(300) // until connections should have been closed
			p.thaw()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newAdjustedSite(t, 0, 1, withGrace(stopGraceSeconds))
			await := s.openCall(runMillis)
			stop(s.entry)
			got := await()
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway) // promises nothing, as the call may have run
			is.Equal(s.entry.exitCode(), 0)
		})
	}
}

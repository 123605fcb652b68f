package dispatch

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
)

// probeRetryMillis is the retry time of a request while another one finds out whether servers crash
// under requests like it.
const probeRetryMillis = 1000

// checkQuarantine returns the result of a request that must not be sent to a backend server, as
// servers crash under requests like it; otherwise nil. Now and then one of them passes as a trial.
func (j *job) checkQuarantine() *resultcode.Result {
	if j.Quarantine == nil || j.trial || j.attempt > 0 && !j.quarantined() {
		return nil
	}
	trait, found := j.Quarantine.Quarantined(j.traits)
	if !found && j.Quarantine.MayProbe(j.traits, boottime.Now()) {
		return nil
	}
	if !found {
		return resultcode.New(resultcode.RequestQuarantined, "another request finds out whether backend servers crash under requests like it").
			WithRetryAt(time.Now().Add(probeRetryMillis * time.Millisecond))
	}
	if j.trial = j.tryTrial(); j.trial {
		return nil
	}
	return resultcode.New(resultcode.RequestQuarantined, "backend servers crash under requests with trait %s", trait)
}

func (j *job) quarantined() bool {
	_, found := j.Quarantine.Quarantined(j.traits)
	return found
}

// tryTrial reports whether the request passes as a trial. Entry hosts of this path claim trials
// each for itself: a trial that crashes a server is reported to all, and puts off the next ones.
func (j *job) tryTrial() bool {
	now, unixMillis := boottime.Now(), time.Now().UnixMilli()
	switch d := j.Quarantine.TryTrial(j.traits, now, unixMillis).(type) {
	case quarantine.PassTrial:
		return true
	case quarantine.ClaimTrial:
		j.Quarantine.Apply([]quarantine.Change{d.Trial}, now, unixMillis)
	}
	return false
}

// suspected reports whether the request must not be sent to a further server after one may have
// failed it, as servers may crash under requests like it.
func (j *job) suspected() bool {
	if j.Quarantine == nil {
		return false
	}
	_, found := j.Quarantine.Suspected(j.traits)
	return found
}

// noteAnswer records that the request was answered, so that nothing in it crashes servers.
func (j *job) noteAnswer(result *resultcode.Result) {
	answered := result.Code == resultcode.OK || result.Code == resultcode.OKLength
	if j.Quarantine != nil && answered && !j.resumed {
		j.Quarantine.RecordSound(j.traits, boottime.Now())
	}
}

// Package crashreport holds what the owner of a backend server saw of its crashes: which requests
// had no answer then, and what they may have in common with others. The reports go to entry hosts
// with the load of the server. On the direct path entry hosts see crashes themselves.
package crashreport

import (
	"fmt"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// sameCrashMillis is the time from the first lost request within which others are lost by the
	// same crash.
	sameCrashMillis = 2000
	// ownCrashMillis is the time from the first lost request after which a request that is sent reaches a
	// server that has started again. Its loss is another crash: a probe would find out nothing otherwise.
	ownCrashMillis = 500
	// reportMillis is the time for which a crash goes with each load. All entry hosts that watch
	// the server ask for its load meanwhile.
	reportMillis = 10_000
	// maxReportedSuspects bounds the suspects of a crash that go with a load.
	maxReportedSuspects = 128
)

// Reports holds what the owner saw. Its exported fields are set before use. It is safe for
// concurrent use.
type Reports struct {
	// Backend is the name of the backend server, and Incarnation that of its owner.
	Backend     string
	Incarnation uint64

	table quarantine.Table

	mu sync.Mutex
	// count is the number of crashes, and current the name of the newest one.
	count   int
	current string
	// sameUntil is the time until which a lost request belongs to the current crash, unless it was sent
	// from ownFrom on.
	sameUntil, ownFrom boottime.Instant
}

// Lose records that a request got no answer, as the connection to the backend server broke. Some of
// these breaks are no crash; then other requests like it are answered. SentAt is the time at which it was
// sent, or zero if that is not known.
func (r *Reports) Lose(request string, content quarantine.Content, sentAt boottime.Instant) {
	now := boottime.Now()
	r.table.RecordCrash(quarantine.Crash{
		Server:       r.crashAt(sentAt, now),
		Losses:       []quarantine.Loss{{Request: request, Traits: content.Traits()}},
		AtUnixMillis: time.Now().UnixMilli(),
	}, now)
}

// crashAt returns the name of the crash by which a request was lost.
func (r *Reports) crashAt(sentAt, now boottime.Instant) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 || !now.Before(r.sameUntil) || !sentAt.Before(r.ownFrom) {
		r.count++
		r.current = fmt.Sprintf("%s/%x/%d", r.Backend, r.Incarnation, r.count)
		r.sameUntil = now.AddMillis(sameCrashMillis)
		r.ownFrom = now.AddMillis(ownCrashMillis)
	}
	return r.current
}

// Answer records that a request was answered, so that nothing in it crashes the server.
func (r *Reports) Answer(content quarantine.Content) {
	r.table.RecordSound(content.Traits(), boottime.Now())
}

// Recent returns the crashes that go with the load now.
func (r *Reports) Recent() []*message.Crash {
	var recent []*message.Crash
	for _, report := range r.table.OwnReports(time.Now().UnixMilli() - reportMillis) {
		recent = append(recent, encode(report))
	}
	return recent
}

func encode(report quarantine.Report) *message.Crash {
	crash := &message.Crash{Server: report.Server, AtUnixMillis: report.AtUnixMillis}
	for _, s := range report.Suspects[:min(len(report.Suspects), maxReportedSuspects)] {
		crash.Suspects = append(crash.Suspects, &message.CrashSuspect{
			Trait: s.Trait, Depth: uint32(s.Depth), Sound: s.Sound, Unsure: s.Unsure, Requests: s.Requests,
		})
	}
	return crash
}

// Decode returns the reports that came with a load. Those that lack what a decision needs are left
// out.
func Decode(crashes []*message.Crash) []quarantine.Change {
	var reports []quarantine.Change
	for _, crash := range crashes {
		var suspects []quarantine.Suspect
		for _, s := range crash.GetSuspects() {
			suspects = append(suspects, quarantine.Suspect{
				Trait: s.GetTrait(), Depth: int(s.GetDepth()), Sound: s.GetSound(), Unsure: s.GetUnsure(), Requests: s.GetRequests(),
			})
		}
		if report, err := quarantine.NewReport(crash.GetServer(), crash.GetAtUnixMillis(), suspects); err == nil {
			reports = append(reports, report)
		}
	}
	return reports
}

package relay

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// probeRetryMillis is the retry time of a request while another one finds out whether servers
	// crash under requests like it.
	probeRetryMillis = 1000
	// soundEventMillis is the time from the first event of a stream to a later one that shows
	// that the engine did not crash at the beginning of the answer.
	soundEventMillis = 1000
)

// errQuarantined says that the request was not sent, as backend servers crash under requests like
// it.
var errQuarantined = errors.New("request is quarantined")

// content returns what the request consists of.
func (q *request) content() quarantine.Content {
	in := q.exchange.Request
	parts := slices.Clone(q.caller.SharedParts)
	if q.caller.OwnPart != "" {
		parts = append(parts, q.caller.OwnPart)
	}
	return quarantine.Content{
		Account:     q.account.Name,
		Method:      in.Method,
		Host:        in.Host,
		Target:      in.RequestURI,
		Body:        q.exchange.Body,
		PromptParts: parts,
	}
}

// quarantined reports whether the request must not be sent to a server, as servers crash under
// requests like it. A request whose answer has begun goes on.
func (q *request) quarantined() bool {
	if q.sound || q.trial {
		return false
	}
	_, found := q.relay.Quarantine.Quarantined(q.traits)
	return found
}

// checkQuarantine returns a refusal and false for a request that must not be sent to a server, as
// servers crash under requests like it, or as another such request finds out just now. Now and then
// one with a quarantined trait is sent as a trial.
func (q *request) checkQuarantine() (Refusal, bool) {
	if q.quarantined() {
		q.trial = q.relay.Crashes.TryTrial(q.traits)
		if q.trial {
			q.log("sent as trial of a quarantined trait", "Traits", q.traits)
		}
		return Refusal{resultcode.RequestQuarantined, 0}, q.trial
	}
	if !q.relay.Crashes.MayProbe(q.traits) {
		return Refusal{resultcode.RequestQuarantined, probeRetryMillis}, false
	}
	return Refusal{}, true
}

// probed reports whether the request finds out whether servers crash under requests like it. One
// request at a time does that.
func (q *request) probed() bool {
	return !q.sound && q.relay.Quarantine.Probed(q.traits)
}

// suspected reports whether the request must not be sent to a further server after one has
// failed it, as servers may crash under requests like it.
func (q *request) suspected() bool {
	if q.sound {
		return false
	}
	trait, found := q.relay.Quarantine.Suspected(q.traits)
	if found {
		q.log("not sent again, servers may crash under requests with a trait", "Trait", trait)
	}
	return found
}

// markSound records that the answer has begun and that its server went on.
func (q *request) markSound() {
	if q.sound {
		return
	}
	q.sound = true
	q.closeCalls()
	q.relay.Crashes.RecordSound(q.traits)
}

// markAnswered records that a server has answered completely. If it stays up for a while, nothing in
// the request crashes servers. A server that fails requests on its own answers them with a status
// that proves nothing.
func (q *request) markAnswered(server string, proves bool) {
	if q.sound {
		return
	}
	var answer quarantine.Answer
	if proves {
		q.sound = true
		answer = q.relay.Quarantine.SnapshotEvidence(q.traits)
	}
	q.calls[server].Answer(answer, boottime.Now())
	if proves {
		q.closeCalls()
	}
}

// closeCalls ends the watch of the request at all servers but those that lost it, or that answered
// it a moment ago.
func (q *request) closeCalls() {
	for _, call := range q.calls {
		call.Close()
	}
	clear(q.calls)
}

// loss returns the request as one that was lost.
func (q *request) loss() quarantine.Loss {
	return quarantine.Loss{Request: q.caller.ID, Traits: q.traits}
}

// noticeBroken logs that a server broke its answer off, and records a crash if the server has
// ended before the answer had begun. A server that is about to shut down, or that is not listed
// any more, does not crash: its streams break as their runs migrate, and go on without delay.
func (q *request) noticeBroken(ctx context.Context, server discovery.BackendServer, events int, cause error) {
	silent := ctx.Err() != nil
	q.relay.recordCrash(server, q.calls[server.ID].Lose(silent, boottime.Now()))
	if silent || errors.Is(cause, errCallerGone) {
		return
	}
	if q.relay.mayLeave(server) {
		return
	}
	ended := errors.Is(cause, errServerEnded) || hasEnded(ctx, server.Address)
	q.log("answer broken off", "Server", server.ID, "Events", events, "Ended", ended,
		"Traits", q.traits, "Error", cause)
	if ended && !q.sound {
		q.relay.recordCrash(server, q.relay.Ends.End(serverend.IncarnationOf(server), boottime.Now()))
	}
}

// noticeRefused records the crash of a server that has refused a connection under the requests that it
// answered a moment ago. A later check may find the next incarnation at the same address.
func (r *Relay) noticeRefused(server discovery.BackendServer, cause error) {
	if r.mayLeave(server) {
		return
	}
	if errors.Is(cause, syscall.ECONNREFUSED) {
		r.recordCrash(server, r.Ends.End(serverend.IncarnationOf(server), boottime.Now()))
	}
}

// NoticeUnlisted records the crashes of servers that have ended by the list of servers, unless they
// had said that they were leaving.
func (r *Relay) NoticeUnlisted(servers []discovery.BackendServer) {
	for _, server := range servers {
		switch {
		case r.isLeaving(server):
		case r.isReplaced(server):
			r.recordCrash(server, r.Ends.Replace(serverend.IncarnationOf(server), boottime.Now()))
		default:
			r.recordCrash(server, r.Ends.Unlist(serverend.IncarnationOf(server), boottime.Now()))
		}
	}
}

// isReplaced reports whether the list of servers holds another incarnation in place of a server.
func (r *Relay) isReplaced(server discovery.BackendServer) bool {
	return slices.ContainsFunc(r.StoreWatcher.Servers().List.All(), func(other discovery.BackendServer) bool {
		if other.ID == server.ID {
			return other.BornUnixMillis != server.BornUnixMillis
		}
		return other.Address == server.Address
	})
}

// noticeSuperseded records the crash of a server at whose address another one has answered, unless it
// had said that it was leaving.
func (r *Relay) noticeSuperseded(server discovery.BackendServer) {
	if !r.isLeaving(server) {
		r.recordCrash(server, r.Ends.Replace(serverend.IncarnationOf(server), boottime.Now()))
	}
}

// recordCrash records that a server has ended under requests, of which there may be none.
func (r *Relay) recordCrash(server discovery.BackendServer, losses []quarantine.Loss) {
	if len(losses) == 0 {
		return
	}
	answered := 0
	for _, loss := range losses {
		if loss.Answered {
			answered++
		}
	}
	r.Log.Info("backend server ended under requests", "Server", server.ID, "Requests", len(losses),
		"Answered", answered, "First", losses[0].Request)
	r.Crashes.RecordCrash(quarantine.Crash{Server: server.ID, Losses: losses, AtUnixMillis: time.Now().UnixMilli()})
}

// hasEnded reports whether nothing listens at the address of a backend server any more. A
// server that can't be reached at all may still run.
func hasEnded(ctx context.Context, address string) bool {
	return errors.Is(transport.DialPort(ctx, address), syscall.ECONNREFUSED)
}

package engineowner

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/preemption"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/prompt"
)

const (
	// permille is a ratio of 1 in thousandths.
	permille = 1000
)

// admit decides whether to accept a request. It returns nil if the request is open
// now or is already in the replay buffer, and a refusal otherwise. A refused
// request has not run here. The refusal of a non-idempotent request is recorded, so
// that it does not run here later either.
func (o *Owner) admit(in *message.GenerateRequest, now time.Time) *resultcode.Result {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, held := o.Replay.Find(in.GetRequestId()); held {
		return nil
	}
	forgetAt, refusal := o.PermitChecker.ForgetAt(in.GetRequestId())
	if refusal != nil {
		return refusal
	}
	class, refusal := o.check(in, now)
	if refusal == nil {
		refusal = o.offer(in, class, forgetAt, now)
	}
	if refusal == nil || in.GetRepeatable() {
		return refusal
	}
	return o.PermitChecker.RefusePermanently(in.GetRequestId(), refusal, forgetAt)
}

// check refuses requests that can't be served however long they wait in the queue.
// Otherwise it returns the class of the request.
func (o *Owner) check(in *message.GenerateRequest, now time.Time) (operatorfile.Class, *resultcode.Result) {
	var none operatorfile.Class
	if o.leaving.Load() {
		return none, o.PermitChecker.Leaving(now)
	}
	if !in.GetRepeatable() && !o.PermitChecker.Permits(in.GetRequestId(), in.GetPermit()) {
		return none, o.PermitChecker.NotOwner(now)
	}
	o.adoptConfiguration()
	if o.applied == nil {
		return none, resultcode.New(resultcode.NotConfigured, "no configuration is in force yet").
			WithRetryAt(permitcheck.RetryAt(now))
	}
	class, found := o.applied.Class(in.GetClass())
	if !found {
		return none, resultcode.New(resultcode.InvalidRequest, "class %q is not configured", in.GetClass())
	}
	if in.GetModel() != o.Settings.Model {
		return none, resultcode.New(resultcode.EngineRefused, "the engine serves model %s, not %s", o.Settings.Model, in.GetModel()).
			WithRetryAt(permitcheck.RetryAt(now))
	}
	return class, nil
}

// offer passes the request to the admission controller, and opens the request
// unless the controller refuses it. The caller holds the mutex.
func (o *Owner) offer(
	in *message.GenerateRequest, class operatorfile.Class, forgetAt, now time.Time,
) *resultcode.Result {
	id := in.GetRequestId()
	request := admission.Request{
		RequestID:    id,
		Account:      in.GetAccount(),
		Class:        class.Name,
		Priority:     class.Priority,
		Urgent:       class.Urgent,
		Repeatable:   in.GetRepeatable(),
		PromptTokens: prompt.Tokens(in.GetPrompt()) + 1,
		PrefixHash:   prompt.PrefixHash(in.GetPrompt()),
		PrefixTokens: prompt.PrefixTokens(in.GetPrompt()),
		MaxTokens:    int(in.GetMaxTokens()),
		Deadline:     permitcheck.TimeFromNanos(in.GetDeadlineUnixNanos()),
	}
	switch d := o.Admission.Offer(request, now).(type) {
	case admission.Refuse:
		return refusalOf(d)
	case admission.Admit:
		o.Records.Record(id, explanation.Admitted{Reason: "memory and batch have room"})
		return o.open(in, class, forgetAt, true)
	case admission.Wait:
		o.Records.Record(id, o.waited(d, request))
		return o.open(in, class, forgetAt, false)
	default:
		return resultcode.New(resultcode.EngineRefused, "no decision")
	}
}

// waited returns the record of a request that was queued. The caller holds the
// mutex.
func (o *Owner) waited(d admission.Wait, request admission.Request) explanation.Waited {
	load := o.Admission.Load()
	return explanation.Waited{
		Reason:           d.Reason.String(),
		QueueLength:      uint32(d.Position - 1),
		ForecastPermille: uint32(load.ForecastPermille),
		LimitPermille:    permille,
		GiveUpAt:         request.Deadline,
	}
}

// open adds the request to the replay buffer and to the open jobs, and starts it if
// it was admitted. The caller holds the mutex.
func (o *Owner) open(in *message.GenerateRequest, class operatorfile.Class, forgetAt time.Time, admitted bool) *resultcode.Result {
	id := in.GetRequestId()
	entry, _, err := o.Replay.Start(id, forgetAt)
	if err != nil {
		o.Admission.Release(id)
		return permitcheck.StartRefusal(err, time.Now())
	}
	j := &job{
		request: engine.Request{
			ID:         id,
			Model:      in.GetModel(),
			Prompt:     in.GetPrompt(),
			MaxTokens:  int(in.GetMaxTokens()),
			Priority:   preemption.EnginePriority(class.Priority, in.GetRepeatable()),
			PrefixHash: prompt.PrefixHash(in.GetPrompt()),
		},
		content:     quarantine.GenerationContent(in.GetAccount(), in.GetService(), in.GetModel(), in.GetPrompt()),
		account:     in.GetAccount(),
		class:       class.Name,
		repeatable:  in.GetRepeatable(),
		urgent:      class.Urgent,
		priority:    class.Priority,
		deadline:    permitcheck.TimeFromNanos(in.GetDeadlineUnixNanos()),
		sequence:    entry.Sequence,
		abandonedAt: time.Now(),
	}
	o.jobs[id] = j
	if admitted {
		o.launch(j)
	}
	return nil
}

// refusalOf converts a refusal of the admission controller to a result.
func refusalOf(d admission.Refuse) *resultcode.Result {
	code := resultcode.QueueFull
	switch d.Reason {
	case admission.ReasonDeadline:
		code = resultcode.DeadlinePassed
	case admission.ReasonTooLarge:
		code = resultcode.InvalidRequest
	default:
	}
	return resultcode.New(code, "%s", d.Reason).WithRetryAt(d.RetryAt)
}

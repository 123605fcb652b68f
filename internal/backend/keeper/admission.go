package keeper

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/booking"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/precedence"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/warden"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/prompt"
)

const (
	// permille is the number of parts of a whole.
	permille = 1000
)

// admit decides on a request that this incarnation does not hold. A nil
// result means that it is open now. Every refusal is truthful: the request was
// not run here, and one that may not be repeated never will be.
func (k *Keeper) admit(in *message.GenerateRequest, now time.Time) *receipt.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, held := k.Logbook.Find(in.GetRequestId()); held {
		return nil
	}
	forgetAt, refusal := k.Warden.ForgetAt(in.GetRequestId())
	if refusal != nil {
		return refusal
	}
	class, refusal := k.check(in, now)
	if refusal == nil {
		refusal = k.offer(in, class, forgetAt, now)
	}
	if refusal == nil || in.GetRepeatable() {
		return refusal
	}
	return k.Warden.RefuseForGood(in.GetRequestId(), refusal, forgetAt)
}

// check refuses what no queue can help.
func (k *Keeper) check(in *message.GenerateRequest, now time.Time) (agreement.Class, *receipt.Result) {
	var none agreement.Class
	if k.leaving.Load() {
		return none, k.Warden.Leaving(now)
	}
	if !in.GetRepeatable() && !k.Warden.Permits(in.GetRequestId(), in.GetPermit()) {
		return none, k.Warden.NotOwner(now)
	}
	k.adoptConfiguration()
	if k.applied == nil {
		return none, receipt.New(receipt.NotConfigured, "no configuration is in force yet").
			WithRetryAt(warden.RetryAt(now))
	}
	class, found := k.applied.Class(in.GetClass())
	if !found {
		return none, receipt.New(receipt.InvalidRequest, "class %q is not configured", in.GetClass())
	}
	if in.GetModel() != k.Settings.Model {
		return none, receipt.New(receipt.EngineRefused, "the engine serves model %s, not %s", k.Settings.Model, in.GetModel()).
			WithRetryAt(warden.RetryAt(now))
	}
	return class, nil
}

// offer asks the book and opens the request where it has a place. The caller
// holds the mutex.
func (k *Keeper) offer(
	in *message.GenerateRequest, class agreement.Class, forgetAt, now time.Time,
) *receipt.Result {
	id := in.GetRequestId()
	request := booking.Request{
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
		Deadline:     warden.TimeFromNanos(in.GetDeadlineUnixNanos()),
	}
	switch d := k.Book.Offer(request, now).(type) {
	case booking.Refuse:
		return refusalOf(d)
	case booking.Admit:
		k.Records.Record(id, explanation.Admitted{Reason: "memory and batch have room"})
		return k.open(in, class, forgetAt, true)
	case booking.Wait:
		k.Records.Record(id, k.waited(d, request))
		return k.open(in, class, forgetAt, false)
	default:
		return receipt.New(receipt.EngineRefused, "no decision")
	}
}

// waited describes a wait in the queue. The caller holds the mutex.
func (k *Keeper) waited(d booking.Wait, request booking.Request) explanation.Waited {
	load := k.Book.Load()
	return explanation.Waited{
		Reason:           d.Reason.String(),
		QueueLength:      uint32(d.Position - 1),
		ForecastPermille: uint32(load.ForecastPermille),
		LimitPermille:    permille,
		GiveUpAt:         request.Deadline,
	}
}

// open holds the request from now on and starts it where it is admitted.
func (k *Keeper) open(in *message.GenerateRequest, class agreement.Class, forgetAt time.Time, admitted bool) *receipt.Result {
	id := in.GetRequestId()
	entry, _, err := k.Logbook.Start(id, forgetAt)
	if err != nil {
		k.Book.Release(id)
		return warden.StartRefusal(err, time.Now())
	}
	j := &job{
		request: engine.Request{
			ID:         id,
			Model:      in.GetModel(),
			Prompt:     in.GetPrompt(),
			MaxTokens:  int(in.GetMaxTokens()),
			Priority:   precedence.EnginePriority(class.Priority, in.GetRepeatable()),
			PrefixHash: prompt.PrefixHash(in.GetPrompt()),
		},
		account:     in.GetAccount(),
		class:       class.Name,
		repeatable:  in.GetRepeatable(),
		urgent:      class.Urgent,
		priority:    class.Priority,
		deadline:    warden.TimeFromNanos(in.GetDeadlineUnixNanos()),
		sequence:    entry.Sequence,
		abandonedAt: time.Now(),
	}
	k.jobs[id] = j
	if admitted {
		k.launch(j)
	}
	return nil
}

// refusalOf maps the book's refusal to a result code.
func refusalOf(d booking.Refuse) *receipt.Result {
	code := receipt.QueueFull
	switch d.Reason {
	case booking.ReasonDeadline:
		code = receipt.DeadlinePassed
	case booking.ReasonTooLarge:
		code = receipt.InvalidRequest
	default:
	}
	return receipt.New(code, "%s", d.Reason).WithRetryAt(d.RetryAt)
}

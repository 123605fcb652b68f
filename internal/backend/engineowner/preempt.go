package engineowner

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/preemption"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
)

const (
	// medianQuantile is the quantile of the remaining length that a victim's
	// cost is reckoned with.
	medianQuantile = 0.5
	// orderMillis bounds one order of preemption.
	orderMillis = 500
)

// preemptFor preempts generations for an urgent one that the engine has queued when
// its memory does not hold the prompt or its batch has no place. Left to itself,
// the engine would let the urgent prompt wait. The urgent one is queued first,
// since the engine would resume the others at once.
func (o *Owner) preemptFor(ctx context.Context, j *job) {
	if !j.urgent {
		return
	}
	for _, victim := range o.chooseVictims(j) {
		o.Records.Record(victim.RequestID, explanation.Preempted{
			Reason:     "an urgent request needs the memory or the place",
			InFavourOf: j.request.ID,
		})
		o.preempt(ctx, victim.RequestID)
	}
}

// chooseVictims chooses the generations to preempt, none while memory and batch
// suffice. Those chosen count as pushed aside from then on.
func (o *Owner) chooseVictims(urgent *job) []preemption.Victim {
	o.mu.Lock()
	defer o.mu.Unlock()
	need := preemption.Need{
		Tokens:   o.Admission.Forecast().NowTokens - o.Admission.CapacityTokens,
		Slots:    o.Admission.Excess() - o.preemptedCount(),
		Urgent:   true,
		Priority: urgent.priority,
	}
	rules := preemption.CostWeights{
		StallWeight:      o.Admission.Policy.StallWeight,
		PreemptionWeight: o.Admission.Policy.PreemptionWeight,
	}
	decision, found := preemption.Choose(need, o.generations(), rules).(preemption.Preempt)
	if !found {
		return nil
	}
	for _, victim := range decision.Victims {
		o.jobs[victim.RequestID].preempted = true
	}
	return decision.Victims
}

// preemptedCount counts the generations that hold no place in the batch. The
// caller holds the mutex.
func (o *Owner) preemptedCount() int {
	count := 0
	for _, j := range o.jobs {
		if j.preempted {
			count++
		}
	}
	return count
}

// generations returns the generations that hold memory. The caller holds the
// mutex.
func (o *Owner) generations() []preemption.Generation {
	var all []preemption.Generation
	for _, r := range o.Admission.Running() {
		j, open := o.jobs[r.RequestID]
		if !open || j.preempted {
			continue
		}
		all = append(all, o.generationOf(j, r))
	}
	return all
}

func (o *Owner) generationOf(j *job, r admission.Running) preemption.Generation {
	return preemption.Generation{
		RequestID:    r.RequestID,
		Priority:     r.Priority,
		Urgent:       r.Urgent,
		Repeatable:   r.Repeatable,
		PromptTokens: r.PromptTokens,
		CachedTokens: r.PrefixTokens,
		Produced:     r.Produced,
		Delivered:    r.Produced,
		Remaining:    o.Admission.Lengths.Remaining(r.Class, r.Account, r.Produced, medianQuantile),
		Preemptions:  j.preemptions,
	}
}

// preempt orders the engine to push a generation aside; it resumes by itself
// when memory is free.
func (o *Owner) preempt(ctx context.Context, id string) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(orderMillis*time.Millisecond))
	defer stop()
	order := engine.Order{Kind: engine.Preempt, RequestID: id, Fence: o.ConfigVersion()}
	if err := o.Engine.Order(ctx, order); err != nil {
		o.Log.Warn("generation not preempted", "Request", id, "Cause", err)
		o.clearPreempted(id)
	}
}

// clearPreempted takes back that a generation was pushed aside.
func (o *Owner) clearPreempted(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j, open := o.jobs[id]; open {
		j.preempted = false
	}
}

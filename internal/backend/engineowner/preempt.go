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
	// medianQuantile is the quantile of the remaining length with which the cost of
	// preempting a generation is computed.
	medianQuantile = 0.5
	// orderMillis is the timeout of one preemption order.
	orderMillis = 500
)

// preemptFor preempts generations for an urgent job when the engine has too little
// memory for its prompt or no free batch slot. Without an order to preempt, the
// engine would let the urgent prompt wait. It is called only once the engine has
// queued the urgent generation, since the engine would otherwise resume the
// preempted ones at once.
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

// chooseVictims selects the generations to preempt, and none if memory and batch
// slots suffice. It marks the selected ones as preempted.
func (o *Owner) chooseVictims(urgent *job) []preemption.Victim {
	o.mu.Lock()
	defer o.mu.Unlock()
	need := preemption.Need{
		Tokens:   o.Admission.Forecast().NowTokens - o.Admission.CapacityTokens,
		Slots:    o.Admission.Excess() - o.preemptedCount(),
		Urgent:   true,
		Priority: urgent.priority,
	}
	weights := preemption.CostWeights{
		StallWeight:      o.Admission.Policy.StallWeight,
		PreemptionWeight: o.Admission.Policy.PreemptionWeight,
	}
	decision, found := preemption.Choose(need, o.generations(), weights).(preemption.Preempt)
	if !found {
		return nil
	}
	for _, victim := range decision.Victims {
		o.jobs[victim.RequestID].preempted = true
	}
	return decision.Victims
}

// preemptedCount returns the number of preempted generations, which occupy no batch
// slot. The caller holds the mutex.
func (o *Owner) preemptedCount() int {
	count := 0
	for _, j := range o.jobs {
		if j.preempted {
			count++
		}
	}
	return count
}

// generations returns the running generations that occupy memory, which are those
// that are not preempted. The caller holds the mutex.
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

// generationOf describes a running generation to package preemption. Every produced
// token counts as delivered, since the readers can read it from the replay buffer at
// once.
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

// preempt orders the engine to preempt a generation. The engine resumes it by itself
// when memory is free, so the Resume of a preemption.Victim is not used here.
func (o *Owner) preempt(ctx context.Context, id string) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(orderMillis*time.Millisecond))
	defer stop()
	order := engine.Order{Kind: engine.Preempt, RequestID: id, Fence: o.ConfigVersion()}
	if err := o.Engine.Order(ctx, order); err != nil {
		o.Log.Warn("generation not preempted", "Request", id, "Cause", err)
		o.clearPreempted(id)
	}
}

// clearPreempted marks a generation as not preempted, after the order to preempt it
// has failed.
func (o *Owner) clearPreempted(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j, open := o.jobs[id]; open {
		j.preempted = false
	}
}

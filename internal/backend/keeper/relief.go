package keeper

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/booking"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/precedence"
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

// relieve preempts generations for an urgent one that the engine has queued when
// its memory does not hold the prompt or its batch has no place. Left to itself,
// the engine would let the urgent prompt wait. The urgent one is queued first,
// since the engine would resume the others at once.
func (k *Keeper) relieve(ctx context.Context, j *job) {
	if !j.urgent {
		return
	}
	for _, victim := range k.victims(j) {
		k.Records.Record(victim.RequestID, explanation.Preempted{
			Reason:     "an urgent request needs the memory or the place",
			InFavourOf: j.request.ID,
		})
		k.preempt(ctx, victim.RequestID)
	}
}

// victims chooses the generations to preempt, none while memory and batch
// suffice. Those chosen count as pushed aside from then on.
func (k *Keeper) victims(urgent *job) []precedence.Victim {
	k.mu.Lock()
	defer k.mu.Unlock()
	need := precedence.Need{
		Tokens:   k.Book.Forecast().NowTokens - k.Book.CapacityTokens,
		Places:   k.Book.Excess() - k.pushedAsideCount(),
		Urgent:   true,
		Priority: urgent.priority,
	}
	rules := precedence.Rules{
		StallWeight:      k.Book.Policy.StallWeight,
		PreemptionWeight: k.Book.Policy.PreemptionWeight,
	}
	decision, found := precedence.Choose(need, k.generations(), rules).(precedence.Preempt)
	if !found {
		return nil
	}
	for _, victim := range decision.Victims {
		k.jobs[victim.RequestID].preempted = true
	}
	return decision.Victims
}

// pushedAsideCount counts the generations that hold no place in the batch. The
// caller holds the mutex.
func (k *Keeper) pushedAsideCount() int {
	count := 0
	for _, j := range k.jobs {
		if j.preempted {
			count++
		}
	}
	return count
}

// generations returns the generations that hold memory. The caller holds the
// mutex.
func (k *Keeper) generations() []precedence.Generation {
	var all []precedence.Generation
	for _, r := range k.Book.Running() {
		j, open := k.jobs[r.RequestID]
		if !open || j.preempted {
			continue
		}
		all = append(all, k.generationOf(j, r))
	}
	return all
}

func (k *Keeper) generationOf(j *job, r booking.Running) precedence.Generation {
	return precedence.Generation{
		RequestID:    r.RequestID,
		Priority:     r.Priority,
		Urgent:       r.Urgent,
		Repeatable:   r.Repeatable,
		PromptTokens: r.PromptTokens,
		CachedTokens: r.PrefixTokens,
		Produced:     r.Produced,
		Delivered:    r.Produced,
		Remaining:    k.Book.Lengths.Remaining(r.Class, r.Account, r.Produced, medianQuantile),
		Preemptions:  j.preemptions,
	}
}

// preempt orders the engine to push a generation aside; it resumes by itself
// when memory is free.
func (k *Keeper) preempt(ctx context.Context, id string) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(orderMillis*time.Millisecond))
	defer stop()
	order := engine.Order{Kind: engine.Preempt, RequestID: id, Fence: k.ConfigVersion()}
	if err := k.Engine.Order(ctx, order); err != nil {
		k.Log.Warn("generation not preempted", "Request", id, "Cause", err)
		k.keptInBatch(id)
	}
}

// keptInBatch takes back that a generation was pushed aside.
func (k *Keeper) keptInBatch(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j, open := k.jobs[id]; open {
		j.preempted = false
	}
}

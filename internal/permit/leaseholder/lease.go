package leaseholder

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// renewSeconds is when a lease record is appended again.
	renewSeconds = claim.LeaseSeconds / 2
	// takeoverResetSeconds is how long after a takeover may begin the next one is
	// treated as the first.
	takeoverResetSeconds = 120
)

// ensureLease makes this entry host the holder, as far as it has read the stream, or
// returns the refusal to give. What it finds is no proof: a batch counts only
// by its place in the stream.
func (p *partition) ensureLease(ctx context.Context) *message.ClaimReply {
	if p.holdsLease() && time.Now().Before(p.renewAt) {
		return nil
	}
	if other := p.blockingHolder(); other != "" {
		return notHolderReply(other, p.takeoverAt)
	}
	if err := p.catchUp(ctx, 0, nil); err != nil {
		return refuse(CodeLogUnavailable, "partition could not be read", p.backOffLog(ctx, err))
	}
	p.checkLeaseLoss()
	if other := p.blockingHolder(); other != "" {
		return notHolderReply(other, p.takeoverAt)
	}
	now, renewal := time.Now(), p.holdsLease()
	if !renewal {
		p.epoch = newToken()
	}
	if err := p.appendLease(ctx); err != nil {
		if !renewal {
			p.epoch = ""
		}
		return refuse(CodeLogUnavailable, "lease could not be recorded", p.backOffLog(ctx, err))
	}
	p.renewAt = now.Add(renewSeconds * time.Second)
	if !renewal {
		p.delayTakeover(now)
		p.holder.logger().Info("took partition", "Partition", p.number)
	}
	if p.checkLeaseLoss() {
		return notHolderReply(p.otherHolder(), p.takeoverAt)
	}
	return nil
}

// appendLease appends a lease record of the present epoch and reads it back.
func (p *partition) appendLease(ctx context.Context) error {
	l := claim.Lease{Holder: p.holder.Name, HolderAddress: p.holder.Address, Epoch: p.epoch}
	data, err := claim.Encode(l)
	if err != nil {
		return err
	}
	p.count(func(c *Counts) { c.Leases++ })
	return p.appendAndReadBack(ctx, data, func(r claim.Record) bool {
		read, ok := r.(claim.Lease)
		return ok && read.Epoch == l.Epoch
	})
}

// blockingHolder returns the address of the holder when it is another entry host
// and this one may not take the partition yet.
func (p *partition) blockingHolder() string {
	if p.holdsLease() || !time.Now().Before(p.takeoverAt) {
		return ""
	}
	return p.otherHolder()
}

// checkLeaseLoss reports whether another entry host took the partition from this
// one, which then leaves it there for a while.
func (p *partition) checkLeaseLoss() bool {
	if p.epoch == "" || p.holdsLease() {
		return false
	}
	p.epoch = ""
	p.delayTakeover(time.Now())
	p.holder.logger().Info("lost partition", "Partition", p.number, "Holder", p.otherHolder())
	return true
}

// holdsLease tells whether the lease in force, as far as read, is this process's.
func (p *partition) holdsLease() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil || p.epoch == "" {
		return false
	}
	l, _ := p.state.Lease()
	return l.Epoch == p.epoch
}

// otherHolder returns the address of the entry host whose lease is in force;
// empty when it is this one's or there is none.
func (p *partition) otherHolder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return ""
	}
	l, _ := p.state.Lease()
	if l.HolderAddress == p.holder.Address {
		return ""
	}
	return l.HolderAddress
}

// delayTakeover sets the earliest next takeover, so that two entry hosts that
// cannot reach each other do not take a partition from each other in a loop.
func (p *partition) delayTakeover(now time.Time) {
	if now.After(p.takeoverAt.Add(takeoverResetSeconds * time.Second)) {
		p.takeoverBackoff.Reset()
	}
	p.takeoverAt = now.Add(p.takeoverBackoff.NextBackOff())
}

// refuseUnbound returns the reply for a key that a batch left unbound.
func (p *partition) refuseUnbound(key string) *message.ClaimReply {
	if p.checkLeaseLoss() || !p.holdsLease() {
		return notHolderReply(p.otherHolder(), p.takeoverAt)
	}
	p.mu.Lock()
	latest := p.state.Latest()
	p.mu.Unlock()
	oldest := claim.OldestKeyTime(latest, p.holder.keyWindowSeconds())
	if err := claim.CheckKey(key, latest, oldest); err != nil {
		return refuseKey(err)
	}
	// The lease record may be too old: the next batch renews it first.
	p.renewAt = time.Time{}
	return refuse(CodeClaimUnknown, "claim took no effect", time.Now())
}

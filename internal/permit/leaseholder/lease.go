package leaseholder

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// renewSeconds is the age at which a lease is renewed.
	renewSeconds = claim.LeaseSeconds / 2
	// takeoverResetSeconds is the time after takeoverAt from which a takeover or loss
	// is treated as the first one again, which resets the takeover backoff.
	takeoverResetSeconds = 120
)

// ensureLease acquires or renews the lease of the partition, or returns a refusal
// for its claims. The result is only this entry host's view of the stream so far:
// whether a batch is accepted depends on its place in the stream.
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
		p.holder.logger().Info("acquired lease of partition", "Partition", p.number)
	}
	if p.checkLeaseLoss() {
		return notHolderReply(p.otherHolder(), p.takeoverAt)
	}
	return nil
}

// appendLease appends a lease record of the current epoch and reads it back.
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

// blockingHolder returns the address of another entry host that holds the lease, if
// this one may not take it over yet. Otherwise it returns an empty string.
func (p *partition) blockingHolder() string {
	if p.holdsLease() || !time.Now().Before(p.takeoverAt) {
		return ""
	}
	return p.otherHolder()
}

// checkLeaseLoss reports whether another entry host has taken over the lease that
// this entry host held. If so, it starts the takeover backoff, before the end of which
// this entry host does not take the lease back.
func (p *partition) checkLeaseLoss() bool {
	if p.epoch == "" || p.holdsLease() {
		return false
	}
	p.epoch = ""
	p.delayTakeover(time.Now())
	p.holder.logger().Info("lost lease of partition", "Partition", p.number, "Holder", p.otherHolder())
	return true
}

// holdsLease reports whether this process holds the lease in force, as far as the
// stream was read.
func (p *partition) holdsLease() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil || p.epoch == "" {
		return false
	}
	l, _ := p.state.Lease()
	return l.Epoch == p.epoch
}

// otherHolder returns the address of the entry host whose lease is in force. It is
// empty if this entry host holds the lease or there is none.
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

// delayTakeover sets the earliest time of the next takeover, with exponential
// backoff. It prevents two entry hosts that cannot reach each other from taking
// over the lease from each other in a loop.
func (p *partition) delayTakeover(now time.Time) {
	if now.After(p.takeoverAt.Add(takeoverResetSeconds * time.Second)) {
		p.takeoverBackoff.Reset()
	}
	p.takeoverAt = now.Add(p.takeoverBackoff.NextBackOff())
}

// refuseUnbound returns the refusal for a key that is still unbound after its batch
// was read back.
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
	// The batch may have been rejected because the lease record is too old, so
	// the next batch renews it first.
	p.renewAt = time.Time{}
	return refuse(CodeClaimUnknown, "claim took no effect", time.Now())
}

package membership

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe records a reply that carried a load. The request was sent at
// requestedAt. Observe returns ErrUnknownHost or ErrStale if the reply is not
// accepted.
func (t *Table) Observe(load *message.Load, requestedAt, now time.Time) error {
	reply := Reply{
		Host:        load.GetBackend(),
		Incarnation: load.GetIncarnation(),
		RequestedAt: requestedAt,
		SeenAt:      now,
		Leaving:     load.GetLeaving(),
	}
	return t.applyReply(reply, func(m Member) Member { return m.WithLoad(loadOf(load)) })
}

// ObserveReply records a reply without a load, such as one from an entry host or a
// refusal by a draining process. It returns the same errors as Observe.
func (t *Table) ObserveReply(r Reply) error {
	return t.applyReply(r, func(m Member) Member { return m })
}

// DialFailed records that a connection to the host could not be opened, or that it
// stalled.
func (t *Table) DialFailed(name string, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, err := t.find(name)
	if err != nil {
		return err
	}
	t.replace(i, t.members[i].WithFailedDial(now))
	return nil
}

// applyReply records a reply and applies change to the member if the reply is
// accepted.
func (t *Table) applyReply(r Reply, change func(Member) Member) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, err := t.find(r.Host)
	if err != nil {
		return err
	}
	m, accepted := t.members[i].WithReply(r)
	if !accepted {
		return errors.Wrapf(ErrStale, "host %s incarnation %d", r.Host, r.Incarnation)
	}
	t.replace(i, change(m))
	return nil
}

func loadOf(l *message.Load) Load {
	return Load{
		Running:          l.GetRunning(),
		Waiting:          l.GetWaiting(),
		MemoryPermille:   l.GetMemoryPermille(),
		ForecastPermille: l.GetForecastPermille(),
		ConfigVersion:    l.GetConfigVersion(),
		Prefixes:         l.GetPrefixes(),
	}
}

package membership

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe takes the load that came with an answer.
func (t *Table) Observe(load *message.Load, askedAt, now time.Time) error {
	answer := Answer{
		Host:        load.GetBackend(),
		Incarnation: load.GetIncarnation(),
		AskedAt:     askedAt,
		SeenAt:      now,
		Leaving:     load.GetLeaving(),
	}
	return t.applyAnswer(answer, func(m Member) Member { return m.WithLoad(loadOf(load)) })
}

// Answered takes an answer that came without a load, such as one from an entry
// host, or a refusal as leaving.
func (t *Table) Answered(a Answer) error {
	return t.applyAnswer(a, func(m Member) Member { return m })
}

// DialFailed records that no connection could be made, or that one went
// silent.
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

func (t *Table) applyAnswer(a Answer, change func(Member) Member) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, err := t.find(a.Host)
	if err != nil {
		return err
	}
	m, accepted := t.members[i].WithAnswer(a)
	if !accepted {
		return errors.Wrapf(ErrStale, "host %s incarnation %d", a.Host, a.Incarnation)
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

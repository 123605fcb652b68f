package roster

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe takes the load that came with an answer.
func (r *Roster) Observe(load *message.Load, askedAt, now time.Time) error {
	answer := Answer{
		Host:        load.GetBackend(),
		Incarnation: load.GetIncarnation(),
		AskedAt:     askedAt,
		SeenAt:      now,
		Leaving:     load.GetLeaving(),
	}
	return r.answer(answer, func(m Member) Member { return m.WithLoad(loadOf(load)) })
}

// Answered takes an answer that came without a load, such as one from an entry
// host, or a refusal as leaving.
func (r *Roster) Answered(a Answer) error {
	return r.answer(a, func(m Member) Member { return m })
}

// DialFailed records that no connection could be made, or that one went
// silent.
func (r *Roster) DialFailed(name string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, err := r.find(name)
	if err != nil {
		return err
	}
	r.replace(i, r.members[i].WithFailedDial(now))
	return nil
}

func (r *Roster) answer(a Answer, change func(Member) Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, err := r.find(a.Host)
	if err != nil {
		return err
	}
	m, accepted := r.members[i].WithAnswer(a)
	if !accepted {
		return errors.Wrapf(ErrStale, "host %s incarnation %d", a.Host, a.Incarnation)
	}
	r.replace(i, change(m))
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

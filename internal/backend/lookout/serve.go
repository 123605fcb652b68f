package lookout

import (
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/moment"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// publish puts a report into every outbox. An entry host that takes none loses
// its stream and watches anew.
func (l *Lookout) publish(s *sighting.Sighting) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.EngineBornUnixMillis = l.latest.BornUnixMillis
	s.EngineId = l.engineID
	if s.GetLoad() != nil {
		s.Load.Watchers = uint32(len(l.watchers))
	}
	for w := range l.watchers {
		select {
		case w.outbox <- s:
		default:
			delete(l.watchers, w)
			close(w.outbox)
		}
	}
}

// Watch serves one entry host until either side ends the stream.
func (l *Lookout) Watch(stream sighting.DRPCLookout_WatchStream) error {
	w := l.enter()
	defer l.leave(w)
	group, ctx := errgroup.WithContext(stream.Context())
	group.Go(func() error {
		for {
			message, err := stream.Recv()
			if err != nil {
				l.leave(w)
				return err
			}
			if message.GetPlacement() != nil {
				l.place(message.GetPlacement())
				continue
			}
			l.takeAdvice(message)
		}
	})
	group.Go(func() error {
		for {
			select {
			case s, open := <-w.outbox:
				if !open {
					return stream.Close()
				}
				if err := stream.Send(s); err != nil {
					return err
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	return group.Wait()
}

// enter adds a watcher and gives it the newest report.
func (l *Lookout) enter() *watcher {
	w := &watcher{outbox: make(chan *sighting.Sighting, outboxLength)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watchers == nil {
		l.watchers = make(map[*watcher]struct{})
	}
	l.watchers[w] = struct{}{}
	w.outbox <- l.load(l.latest)
	if l.leavesAt != 0 {
		w.outbox <- noticeSighting(l.leavesAt, moment.Now())
	}
	return w
}

// leave removes a watcher.
func (l *Lookout) leave(w *watcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, watching := l.watchers[w]; watching {
		delete(l.watchers, w)
		close(w.outbox)
	}
}

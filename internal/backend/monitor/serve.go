package monitor

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// publish queues a message for every watching entry host. A host whose outbox is
// full loses its stream and has to connect again.
func (m *Monitor) publish(s *sighting.Sighting) {
	m.publishWithin(outboxLength, s)
}

// publishOptional queues a message that a later one makes up for. A host whose outbox is
// half full does not get it.
func (m *Monitor) publishOptional(s *sighting.Sighting) {
	m.publishWithin(outboxLength/2-1, s)
}

// publishWithin queues a message for the watching entry hosts with at most that many messages
// in their outboxes.
func (m *Monitor) publishWithin(most int, s *sighting.Sighting) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.identifySighting(s)
	for w := range m.watchers {
		if len(w.outbox) <= most {
			m.enqueue(w, s)
		}
	}
}

// send queues a message for one watching entry host.
func (m *Monitor) send(w *watcher, s *sighting.Sighting) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.identifySighting(s)
	if _, watching := m.watchers[w]; watching {
		m.enqueue(w, s)
	}
}

// identifySighting adds the engine's identity to a message. The caller holds the mutex.
func (m *Monitor) identifySighting(s *sighting.Sighting) {
	s.EngineBornUnixMillis = m.latest.BornUnixMillis
	s.EngineId = m.engineID
	if s.GetLoad() != nil {
		s.Load.Watchers = uint32(len(m.watchers))
	}
}

// enqueue puts a message into a watcher's outbox, or removes a watcher whose outbox is
// full. The caller holds the mutex.
func (m *Monitor) enqueue(w *watcher, s *sighting.Sighting) {
	select {
	case w.outbox <- s:
	default:
		delete(m.watchers, w)
		close(w.outbox)
	}
}

// Watch serves the stream of one entry host until either side ends it.
func (m *Monitor) Watch(stream sighting.DRPCLookout_WatchStream) error {
	w, ok := m.addWatcher()
	if !ok {
		return errStopping
	}
	defer m.endStream(w)
	group, ctx := errgroup.WithContext(stream.Context())
	group.Go(func() error {
		for {
			message, err := stream.Recv()
			if err != nil {
				m.removeWatcher(w)
				return err
			}
			switch {
			case message.GetRateLimits() != nil:
				m.rateLimits.add(message.GetRateLimits())
				continue
			case message.GetUnresponsive() != nil:
				m.unresponsive.add(message.GetUnresponsive(), boottime.Now())
				continue
			case message.GetPlacement() != nil:
				m.addPlacement(message.GetPlacement())
				continue
			case message.GetReservation() != nil:
				m.answerReservation(w, message.GetReservation())
				continue
			case message.GetEndedRequestId() != "":
				m.answerEnded(endQuestion{watcher: w, requestID: message.GetEndedRequestId(), answer: message.GetEndedAnswer()})
				continue
			}
			m.storeAdvice(message)
		}
	})
	group.Go(func() error {
		for {
			select {
			case s, open := <-w.outbox:
				if !open {
					return closeAfterDelivery(ctx, stream)
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

// closeAfterDelivery ends a stream after its last message. A connection that is closed with data of
// the entry host unread is reset, and the messages that the host has not read are lost with it. So
// the host closes it first, which ends ctx.
func closeAfterDelivery(ctx context.Context, stream sighting.DRPCLookout_WatchStream) error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	transport.AwaitClose(ctx)
	return stream.Close()
}

// addWatcher adds a watcher and queues the current load for it, and the shutdown
// notice if there is one. It returns false if the process is about to end.
func (m *Monitor) addWatcher() (*watcher, bool) {
	w := &watcher{outbox: make(chan *sighting.Sighting, outboxLength)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.plannedStop.closed {
		return nil, false
	}
	m.openStreams++
	if m.watchers == nil {
		m.watchers = make(map[*watcher]struct{})
	}
	m.watchers[w] = struct{}{}
	w.outbox <- m.load(m.latest)
	if m.leavesAt != 0 {
		w.outbox <- shutdownNotice(m.leavesAt, boottime.Now(), false)
	}
	return w, true
}

// endStream records the end of the stream of a watcher.
func (m *Monitor) endStream(w *watcher) {
	m.removeWatcher(w)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openStreams--
}

// removeWatcher removes a watcher and closes its outbox.
func (m *Monitor) removeWatcher(w *watcher) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, watching := m.watchers[w]; watching {
		delete(m.watchers, w)
		close(w.outbox)
	}
}

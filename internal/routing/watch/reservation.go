package watch

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// reserveMillis bounds the wait for the answer to a reservation.
const reserveMillis = 60

// Reserve asks an engine's monitor for memory for a request, and so reports the request
// to the other entry hosts. It returns false when the monitor says that there is none.
// Without an answer it returns true, as the engine itself queues or declines the request.
func (w *Watch) Reserve(ctx context.Context, server, request string, generation placement.Generation) bool {
	o, ok := w.streams.find(server)
	if !ok {
		return true
	}
	answer := w.streams.expect(request)
	defer w.streams.forget(request)
	message := &sighting.Advice{Reservation: newPlacement(request, generation).GetPlacement()}
	if err := o.send(message); err != nil {
		w.Log.Warn("memory not reserved at engine", "Request", request, "Server", server, "Error", err)
		return true
	}
	timeout := time.NewTimer(reserveMillis * time.Millisecond)
	defer timeout.Stop()
	select {
	case granted := <-answer:
		return granted
	case <-timeout.C:
		w.Log.Info("reservation not answered", "Request", request, "Server", server)
		return true
	case <-ctx.Done():
		return true
	}
}

// expect returns the channel on which the answer to a reservation arrives.
func (s *streams) expect(request string) <-chan bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reservations == nil {
		s.reservations = make(map[string]chan bool)
	}
	answer := make(chan bool, 1)
	s.reservations[request] = answer
	return answer
}

func (s *streams) forget(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reservations, request)
}

// answer passes a monitor's answer on to the request that waits for it, if it still
// does.
func (s *streams) answer(room *sighting.Room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer, ok := s.reservations[room.GetRequestId()]; ok {
		answer <- room.GetGranted()
		delete(s.reservations, room.GetRequestId())
	}
}

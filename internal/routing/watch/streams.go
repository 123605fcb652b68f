package watch

import (
	"maps"
	"slices"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// streams holds the streams to the processes beside engines. It is safe for
// concurrent use.
type streams struct {
	mu sync.Mutex
	// all by the ID of the engine.
	all map[string]*openStream
}

// openStream is a stream to the process beside an engine.
type openStream struct {
	server discovery.BackendServer

	mu     sync.Mutex
	stream sighting.DRPCLookout_WatchClient
}

// send sends a message. Streams take one message at a time.
func (o *openStream) send(message *sighting.Advice) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stream.Send(message)
}

func (s *streams) open(server discovery.BackendServer, stream sighting.DRPCLookout_WatchClient) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[string]*openStream)
	}
	s.all[server.ID] = &openStream{server: server, stream: stream}
}

func (s *streams) find(id string) (*openStream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.all[id]
	return o, ok
}

func (s *streams) close(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, id)
}

func (s *streams) list() []*openStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.all))
}

// NotifyPlaced tells the process beside an engine that a request is on its way, so
// that the other entry hosts learn of it at once.
func (w *Watch) NotifyPlaced(server, request string, tokens int) {
	o, ok := w.streams.find(server)
	if !ok {
		return
	}
	if err := o.send(&sighting.Advice{Placement: &sighting.Placement{Tokens: uint32(tokens), RequestId: request}}); err != nil {
		w.Log.Warn("engine not told of a request", "Server", server, "Error", err)
	}
}

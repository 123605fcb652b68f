package watch

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// streams holds the open streams to the monitors of engines. It is safe for
// concurrent use.
type streams struct {
	mu sync.Mutex
	// all holds the streams by the ID of the engine.
	all map[string]*openStream
	// reservations holds the reservations without an answer by request ID.
	reservations map[string]chan bool
}

// openStream is a stream to the monitor of an engine.
type openStream struct {
	server discovery.BackendServer
	// heardAt is the boottime.Instant of the last message.
	heardAt atomic.Int64

	// mu serializes the sending of messages.
	mu     sync.Mutex
	stream sighting.DRPCLookout_WatchClient
}

// send sends a message. It may be called concurrently.
func (o *openStream) send(message *sighting.Advice) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stream.Send(message)
}

// open adds a stream to the monitor of a server.
func (s *streams) open(server discovery.BackendServer, stream sighting.DRPCLookout_WatchClient) *openStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[string]*openStream)
	}
	o := &openStream{server: server, stream: stream}
	s.all[server.ID] = o
	return o
}

// heardSince returns the streams with a message since the given time.
func (s *streams) heardSince(since boottime.Instant) []*openStream {
	return slices.DeleteFunc(s.list(), func(o *openStream) bool {
		return boottime.Instant(o.heardAt.Load()).Before(since)
	})
}

// Monitored reports whether the monitor of an engine has sent a message lately.
func (w *Watch) Monitored(server string) bool {
	o, ok := w.streams.find(server)
	return ok && boottime.Instant(o.heardAt.Load()).AddMillis(relayMillis) > boottime.Now()
}

func (s *streams) find(id string) (*openStream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.all[id]
	return o, ok
}

// findIncarnation returns the stream to the monitor of an incarnation of an engine.
func (s *streams) findIncarnation(server discovery.BackendServer) (*openStream, bool) {
	o, ok := s.find(server.ID)
	return o, ok && o.server.BornUnixMillis == server.BornUnixMillis
}

// close removes a stream, unless one to the monitor of another incarnation has taken its place.
func (s *streams) close(o *openStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all[o.server.ID] == o {
		delete(s.all, o.server.ID)
	}
}

func (s *streams) list() []*openStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.all))
}

// NotifyPlaced notifies an engine's monitor of a request that is being sent to the
// engine, so that the monitor can report it to the other entry hosts at once.
func (w *Watch) NotifyPlaced(server, request string, generation placement.Generation) {
	o, ok := w.streams.find(server)
	if !ok {
		return
	}
	if err := o.send(newPlacement(request, generation)); err != nil {
		w.Log.Warn("placement not reported to engine monitor", "Server", server, "Error", err)
	}
}

// AskEnded asks an engine's monitor whether the engine has stopped the run of an answer that has
// ended. The reply is a migration with the number of the answer. It returns false when the monitor is not
// reached, or watches another incarnation of the engine, which knows nothing of the run.
func (w *Watch) AskEnded(server discovery.BackendServer, request string, answer uint64) bool {
	o, ok := w.streams.findIncarnation(server)
	if !ok {
		return false
	}
	err := o.send(&sighting.Advice{EndedRequestId: request, EndedAnswer: answer})
	if err != nil {
		w.Log.Warn("engine monitor not asked for the end of a run", "Request", request, "Server", server.ID, "Error", err)
	}
	return err == nil
}

// SilentMillis returns the time since the last message of an engine's monitor; negative if none came on
// its connection.
func (w *Watch) SilentMillis(server discovery.BackendServer) int64 {
	o, ok := w.streams.findIncarnation(server)
	if !ok || o.heardAt.Load() == 0 {
		return -1
	}
	return boottime.Now().MillisSince(boottime.Instant(o.heardAt.Load()))
}

// newPlacement returns the message that announces a request at an engine.
func newPlacement(request string, g placement.Generation) *sighting.Advice {
	return &sighting.Advice{Placement: &sighting.Placement{
		RequestId:      request,
		PromptTokens:   uint32(g.PromptTokens),
		ProducedTokens: uint32(g.ProducedTokens),
		MedianTokens:   g.Output.MedianTokens,
		Spread:         g.Output.Spread,
		MaxTokens:      uint32(g.Output.MaxTokens),
		Priority:       uint32(g.Priority),
	}}
}
